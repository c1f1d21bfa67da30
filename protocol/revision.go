// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"strconv"
)

// Revision is a position in the history of the platform's store. The store counts its changes by
// Number. When it comes back from a copy, it gives out the numbers since the copy again, for other
// changes, and begins a new Era. So revisions are ordered by era first: what the store holds in a
// later era replaces what it held in earlier ones. The zero value is before every revision and
// says that there is nothing.
type Revision struct {
	_      struct{} `cbor:",toarray"`
	Era    uint64
	Number uint64
}

// IsZero reports whether there is nothing at this revision.
func (r Revision) IsZero() bool { return r.Number == 0 }

// Compare returns -1 if r is earlier than other, 1 if it is later, and 0 if they are the same.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is earlier than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// LaterRevision returns the later of two revisions.
func LaterRevision(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}

// String returns the number, or the era and the number if the store names eras.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatUint(r.Era, 10) + "/" + number
}

// MarshalJSON encodes the number. The store names its era in a header, for all objects of an answer.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(r.Number) }

// UnmarshalJSON decodes the number.
func (r *Revision) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &r.Number) }

// LogAttr returns the attributes of a log line about something at this revision, as an inlined group.
func (r Revision) LogAttr() slog.Attr {
	return slog.Group("", slog.Uint64("revision", r.Number), slog.Uint64("era", r.Era))
}
