// SPDX-License-Identifier: Apache-2.0

package platform

// Compacted says that the platform no longer has the changes since a revision.
type Compacted struct{}

// Error tells the remedy.
func (*Compacted) Error() string {
	return "the platform forgot the changes since that revision; list the objects and watch from there"
}

// NewUnavailable returns the error of a call that had no effect.
func NewUnavailable(cause error) error { return &Unavailable{cause: cause} }

// NewUncertain returns the error of a write that may have taken effect.
func NewUncertain(cause error) error { return &Uncertain{cause: cause} }

// NewConflict returns the error of a write that met another version, 0 for none.
func NewConflict(held uint64) error { return &Conflict{held: held} }

// NewNotFound returns the error for an object that does not exist.
func NewNotFound(kind, name string) error { return &NotFound{kind: kind, name: name} }

// NeverSent reports whether no connection was made, so that nothing can have
// taken effect.
func NeverSent(err error) bool { return neverSent(err) }
