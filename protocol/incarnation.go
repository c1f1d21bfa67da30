// SPDX-License-Identifier: Apache-2.0

package protocol

import "time"

// Incarnation distinguishes the processes that an endpoint has run under the same ID. It is the
// Unix time in milliseconds at which the process started, by the clock of its machine, or 0
// if the endpoint does not report it.
type Incarnation int64

// Known reports whether the endpoint reported its start time.
func (i Incarnation) Known() bool { return i > 0 }

// Before reports whether i is known to be an earlier incarnation than other. It is false if
// either is unknown.
func (i Incarnation) Before(other Incarnation) bool { return i.Known() && other.Known() && i < other }

// EndpointProcess is one incarnation of an endpoint, 0 if it is not known which.
type EndpointProcess struct {
	ID          string
	Incarnation Incarnation
}

// Start returns when the process started, by the clock of its machine.
func (i Incarnation) Start() time.Time { return time.UnixMilli(int64(i)) }
