// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// Incarnation tells one life of an endpoint's process from the others under the same ID: the
// Unix millisecond of its start by the clock of its machine, 0 when the endpoint does not
// tell.
type Incarnation int64

// Known reports whether the endpoint told its start.
func (l Incarnation) Known() bool { return l > 0 }

// Before reports whether l is an earlier life than another one. Where either is not told,
// it is not known to be.
func (l Incarnation) Before(other Incarnation) bool { return l.Known() && other.Known() && l < other }

// Start returns when the process started, by the clock of its machine.
func (l Incarnation) Start() time.Time { return time.UnixMilli(int64(l)) }
