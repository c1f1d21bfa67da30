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

// Forwarded is what the decision on a forwarded request depends on. Allowed says
// whether there is an endpoint that its route lets it be sent to next; Unsent
// counts those that could not be reached.
type Forwarded struct {
	Result    Result
	MayRepeat bool
	MayHave   bool // an earlier send of the request may have run
	Allowed   bool
	Ready     bool // an endpoint can take it now
	Unsent    int
	Now       time.Time
	Deadline  time.Time
	Hope      time.Time // until when it is of use to wait for one, zero if not at all
}

// maxUnsent is how many endpoints are tried that can't be reached. Each may cost
// a connect timeout.
const maxUnsent = 3

// Next is what to do with a forwarded request: one of the constants below.
type Next uint8

// Again: send it to another endpoint. Deliver: pass the endpoint's own failure
// on. Refuse: tell the caller that it has not run and never will. Fail: tell the
// caller that it may have run. Expire: its time is over. Hold: wait until an endpoint
// can take it.
const (
	Again Next = iota
	Deliver
	Refuse
	Fail
	Expire
	Hold
)

// Resend decides on a forwarded request after a send without a good answer. A
// request that may not be repeated is sent again only if it is certain that it
// has not run. Each further endpoint that it is sent to is taken from the budget.
func (w *Window) Resend(f Forwarded) Next {
	if !f.Now.Before(f.Deadline) {
		return Expire
	}
	mayRun := f.MayHave || f.Result == Failed || f.Result == Broken
	if f.Allowed && (f.MayRepeat || !mayRun) {
		if f.Ready && f.Result == NeverSent && f.Unsent <= maxUnsent {
			return Again
		}
		if f.Ready && f.Result != NeverSent && w.Take(f.Now) {
			return Again
		}
		if f.Now.Before(f.Hope) {
			return Hold
		}
	}
	return Ending(f.Result, mayRun)
}

// Ending returns how a request ends that is not sent again: after a send with that
// result, and whether an earlier one may have run.
func Ending(r Result, mayHave bool) Next {
	switch {
	case r == Failed:
		return Deliver
	case mayHave || r == Broken:
		return Fail
	default:
		return Refuse
	}
}
