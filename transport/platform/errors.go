// SPDX-License-Identifier: Apache-2.0

package platform

import "pinerun.example/pinerun/protocol"

// Compacted reports that the platform no longer has the changes since a revision.
type Compacted struct{}

// Error names the remedy.
func (*Compacted) Error() string {
	return "the platform no longer has the changes since that revision; list the objects and watch from there"
}

// NewUnavailable returns the error of a call that had no effect.
func NewUnavailable(cause error) error { return &Unavailable{cause: cause} }

// NewUncertain returns the error of a write that may have taken effect.
func NewUncertain(cause error) error { return &Uncertain{cause: cause} }

// NewConflict returns the error of a write that found another version, the zero one if the object
// does not exist.
func NewConflict(version protocol.Revision) error { return &Conflict{version: version} }

// NewNotFound returns the error for an object that does not exist.
func NewNotFound(kind, name string) error { return &NotFound{kind: kind, name: name} }

// NeverSent reports whether no connection was made, in which case the call has no effect.
func NeverSent(err error) bool { return neverSent(err) }
