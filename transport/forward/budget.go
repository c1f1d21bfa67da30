// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/retry"
)

const (
	// mostPart and firstPart are the parts of an entry's share of the slack that it
	// has, and that it begins with. An entry that is restarted, even twice in a window,
	// then spends no more than its share.
	mostPart  = 0.7
	firstPart = 0.15
)

// RetryBudget is the platform's bound on further sends: of the requests for a service within
// some time, so large a share may be sent again and so many beside, by all entries
// together. Ends returns the end of that time for its beginning.
type RetryBudget struct {
	Share     float64
	Slack     float64
	WindowEnd func(begin time.Time) time.Time
}

// budgets is this entry's part of the bound for each service.
type budgets struct {
	bound RetryBudget

	mutex   sync.Mutex
	entries float64
	fillAt  time.Time // from when what the process before spent counts no longer
	windows map[string]*retry.WindowBudget
}

// open begins among that many entries.
func (b *budgets) open(r RetryBudget, entries int, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.bound = r
	b.entries = float64(max(1, entries))
	b.fillAt = r.WindowEnd(now)
}

// setEntries tells how many entries there are now.
func (b *budgets) setEntries(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.entries = float64(max(1, n))
}

// first notes a request for a service.
func (b *budgets) first(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(service, now).RecordFirst(now)
}

// take takes one further send of a request for a service.
func (b *budgets) take(service string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.of(service, now).Spend(now)
}

// resend asks what to do with a request for a service after a send without a good answer.
func (b *budgets) resend(service string, q retry.FailedAttempt) retry.Action {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.of(service, q.Now).Decide(q)
}

// of returns the budget of a service with the slack that it has now. The mutex is held.
func (b *budgets) of(service string, now time.Time) *retry.WindowBudget {
	w := b.windows[service]
	if w == nil {
		if b.windows == nil {
			b.windows = make(map[string]*retry.WindowBudget)
		}
		w = &retry.WindowBudget{Share: b.bound.Share, SpanEnd: b.bound.WindowEnd}
		b.windows[service] = w
	}
	part := firstPart
	if !now.Before(b.fillAt) {
		part = mostPart
	}
	w.Slack = part * b.bound.Slack / b.entries
	return w
}

// InitRetryBudget begins the budget of further sends among that many entries.
func (f *Forwarder) InitRetryBudget(r RetryBudget, entries int, now time.Time) {
	f.entries.Store(int64(entries))
	f.budgets.open(r, entries, now)
}

// EntryCount returns how many entries there may be.
func (f *Forwarder) EntryCount() int { return int(f.entries.Load()) }

// SetEntryCount tells how many entries there are now.
func (f *Forwarder) SetEntryCount(entries int) {
	f.entries.Store(int64(entries))
	f.budgets.setEntries(entries)
}

// sharers returns how many entries send to the engines of one data center: about
// as many in each.
func (f *Forwarder) sharers(service string) float64 {
	return max(1, float64(f.entries.Load())/float64(max(1, len(f.Roster.EngineDataCenters(service)))))
}
