// SPDX-License-Identifier: Apache-2.0

package platform

// Forgotten says that the platform no longer has the changes since a revision.
type Forgotten struct{}

// Error tells the remedy.
func (*Forgotten) Error() string {
	return "the platform forgot the changes since that revision; list the objects and watch from there"
}

// Unreached returns the error of a call that had no effect.
func Unreached(cause error) error { return &Unavailable{cause: cause} }

// InDoubt returns the error of a write that may have taken effect.
func InDoubt(cause error) error { return &Uncertain{cause: cause} }

// Raced returns the error of a write that met another version, 0 for none.
func Raced(held uint64) error { return &Conflict{held: held} }

// Missing returns the error for an object that does not exist.
func Missing(kind, name string) error { return &NotFound{kind: kind, name: name} }

// NeverSent reports whether no connection was made, so that nothing can have
// taken effect.
func NeverSent(err error) bool { return neverSent(err) }
