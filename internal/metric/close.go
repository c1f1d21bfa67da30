// SPDX-License-Identifier: Apache-2.0

package metric

// CloseReason is why an entry closes a caller's connection that brings no request.
type CloseReason string

// The reasons for closing a connection: it was idle for too long, its request's header did not come in time, there were
// too many, or the entry stops.
const (
	ClosedIdle     CloseReason = "idle"
	ClosedLate     CloseReason = "header_late"
	ClosedExcess   CloseReason = "too_many"
	ClosedStopping CloseReason = "stopping"
)
