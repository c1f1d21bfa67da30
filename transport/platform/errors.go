// SPDX-License-Identifier: Apache-2.0

package platform

import "pinerun.example/pinerun/protocol"

// Compacted reports that the platform no longer has the changes since a revision.
type Compacted struct{}

// Error names the remedy.
func (*Compacted) Error() string {
	return "the platform no longer has the changes since that revision; list the objects and watch from there"
}

// ConnectionSilent reports that a call got no answer on its connection, while the platform answers calls
// on others.
type ConnectionSilent struct{ kind string }

// NewConnectionSilent returns the error of a call for objects of a kind.
func NewConnectionSilent(kind string) error { return &ConnectionSilent{kind: kind} }

// Error names the kind and the remedy.
func (c *ConnectionSilent) Error() string {
	return "the connection of a call for " + c.kind + " went silent; list the objects over a new one"
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
