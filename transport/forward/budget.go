// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/coordination/retry"
)

const (
	// mostPart and firstPart are the parts of an entry's share of the slack that it
	// holds at most and begins with. An entry that is restarted, even twice in a
	// window, then spends no more than its share.
	mostPart  = 0.7
	firstPart = 0.15
)

// OpenBudget begins the budget of further sends with this entry's part of a slack
// among that many entries. From fillAt on, what the process before it may have spent
// counts no longer.
func (f *Forwarder) OpenBudget(entries int, slack float64, fillAt time.Time) {
	f.entries.Store(int64(entries))
	f.spending.Lock()
	defer f.spending.Unlock()
	f.fillAt = fillAt
	each := slack / float64(entries)
	f.Budget.Open(max(1, mostPart*each), max(1, firstPart*each))
}

// fillBudget gives the whole credit once the process before counts no longer.
func (f *Forwarder) fillBudget(now time.Time) {
	f.spending.Lock()
	defer f.spending.Unlock()
	if f.fillAt.IsZero() || now.Before(f.fillAt) {
		return
	}
	f.fillAt = time.Time{}
	f.Budget.Fill(f.spent)
}

// Entries returns how many entries there may be.
func (f *Forwarder) Entries() int { return int(f.entries.Load()) }

// SetEntries tells how many entries there are now.
func (f *Forwarder) SetEntries(entries int, slack float64) {
	f.entries.Store(int64(entries))
	f.spending.Lock()
	defer f.spending.Unlock()
	f.Budget.SetMost(max(1, mostPart*slack/float64(entries)))
}

// sharers returns how many entries send to the engines of one data center: about
// as many in each.
func (f *Forwarder) sharers(service string) float64 {
	return max(1, float64(f.entries.Load())/float64(max(1, len(f.Roster.Centers(service)))))
}

func (f *Forwarder) noteFirst() {
	f.spending.Lock()
	defer f.spending.Unlock()
	f.Budget.First()
}

// resend asks the retry budget about a request.
func (f *Forwarder) resend(q retry.Forwarded) retry.Next {
	f.spending.Lock()
	defer f.spending.Unlock()
	before := f.Budget.Left()
	next := f.Budget.Resend(q)
	f.spent += before - f.Budget.Left()
	return next
}

// takeSend takes one further send from the budget.
func (f *Forwarder) takeSend() bool {
	f.spending.Lock()
	defer f.spending.Unlock()
	taken := f.Budget.Take()
	if taken {
		f.spent++
	}
	return taken
}
