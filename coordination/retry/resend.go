// SPDX-License-Identifier: Apache-2.0

package retry

import "time"

// Result is how a send to an endpoint ended without a good answer.
type Result uint8

// NeverSent: no byte can have reached the endpoint. NotRun: the endpoint says
// that it did not run the request. Failed: it ran it and answered with a failure
// of its own. Broken: the answer was cut, spoilt or never came.
const (
	NeverSent Result = iota
	NotRun
	Failed
	Broken
)

// FailedAttempt is what the decision on a forwarded request depends on. Allowed says
// whether there is an endpoint that its route lets it be sent to next; Unsent
// counts those that could not be reached.
type FailedAttempt struct {
	Result          Result
	MayRepeat       bool
	MayHaveRun      bool // an earlier send of the request may have run
	EndpointAllowed bool
	EndpointReady   bool // an endpoint can take it now
	Unreachable     int
	Now             time.Time
	Deadline        time.Time
	WaitUntil       time.Time // until when it is of use to wait for one, zero if not at all
}

// maxUnsent is how many endpoints are tried that can't be reached. Each may cost
// a connect timeout.
const maxUnsent = 3

// Action is what to do with a forwarded request: one of the constants below.
type Action uint8

// Resend: send it to another endpoint. Deliver: pass the endpoint's own failure
// on. Refuse: tell the caller that it has not run and never will. Fail: tell the
// caller that it may have run. Expire: its time is over. Enqueue: wait until an endpoint
// can take it.
const (
	Resend Action = iota
	Deliver
	Refuse
	Fail
	Expire
	Enqueue
)

// Decide decides on a forwarded request after a send without a good answer. A
// request that may not be repeated is sent again only if it is certain that it
// has not run. Each further endpoint that it is sent to is taken from the budget.
func (w *WindowBudget) Decide(f FailedAttempt) Action {
	if !f.Now.Before(f.Deadline) {
		return Expire
	}
	mayRun := f.MayHaveRun || f.Result == Failed || f.Result == Broken
	if f.EndpointAllowed && (f.MayRepeat || !mayRun) {
		if f.EndpointReady && f.Result == NeverSent && f.Unreachable <= maxUnsent {
			return Resend
		}
		if f.EndpointReady && f.Result != NeverSent && w.Spend(f.Now) {
			return Resend
		}
		if f.Now.Before(f.WaitUntil) {
			return Enqueue
		}
	}
	return FinalAction(f.Result, mayRun)
}

// FinalAction returns how a request ends that is not sent again: after a send with that
// result, and whether an earlier one may have run.
func FinalAction(r Result, mayHave bool) Action {
	switch {
	case r == Failed:
		return Deliver
	case mayHave || r == Broken:
		return Fail
	default:
		return Refuse
	}
}
