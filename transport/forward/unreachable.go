// SPDX-License-Identifier: Apache-2.0

package forward

import "time"

const (
	// silentGrace is how long endpoints that do not accept a connection may be only silent: a sound one may be for a
	// second or so.
	silentGrace = 1500 * time.Millisecond
	// minNoPath is how many endpoints in a row no entry that was asked must have reached before none counts as
	// reachable. One of them may be silent while the entries asked reach too few others to tell.
	minNoPath = 2
	// minSilentDial is how long an attempt to connect must have taken to have failed by a silence: other entries
	// answer at once if they know of no path.
	minSilentDial = 100 * time.Millisecond
)

// dialFailures is what a request's last attempts to connect to endpoints found. The zero value is nothing.
type dialFailures struct {
	silent bool // the last endpoint did not accept the connection in time
	noPath int  // attempts in a row that found that no entry reaches any endpoint
	none   bool // no entry reaches any endpoint
}

// recordDialFailure records why an attempt could not connect.
func (x *exchange) recordDialFailure(a *attempt, cause error, now time.Time) {
	u := &x.unreachable
	if !reachesNone(cause) {
		*u = dialFailures{silent: isSilence(cause)}
		return
	}
	heard := time.Unix(0, x.forwarder.lastHeard.Load())
	u.noPath++
	u.silent = now.Sub(a.sentAt) >= minSilentDial
	mayGoOn := u.silent && heard.After(now.Add(-silentGrace))
	u.none = u.noPath >= minNoPath && !mayGoOn
}

// silentUntil returns until when it is too early to give up endpoints, zero if they were not silent.
func (x *exchange) silentUntil() time.Time {
	if !x.unreachable.silent {
		return time.Time{}
	}
	return x.begun.Add(silentGrace)
}
