// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/retry"
)

const (
	// maxBudgetPart and firstPart are the parts of an entry's share of the slack that it
	// has, and that it begins with. An entry that is restarted, even twice in a window,
	// then spends no more than its share.
	maxBudgetPart     = 0.7
	initialBudgetPart = 0.15
)

// RetryBudget is the platform's bound on further sends: of the requests for a service within
// some time, so large a share may be sent again and so many beside, by all entries
// together. Ends returns the end of that time for its beginning.
type RetryBudget struct {
	Share     float64
	Slack     float64
	WindowEnd func(begin time.Time) time.Time
}

// serviceBudgets is this entry's part of the bound for each service.
type serviceBudgets struct {
	limit RetryBudget

	mutex    sync.Mutex
	entries  float64
	fullFrom time.Time // from when what the process before spent counts no longer
	windows  map[string]*retry.WindowBudget
}

// start begins among that many entries.
func (b *serviceBudgets) start(r RetryBudget, entries int, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = r
	b.entries = float64(max(1, entries))
	b.fullFrom = r.WindowEnd(now)
}

// setEntries tells how many entries there are now.
func (b *serviceBudgets) setEntries(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.entries = float64(max(1, n))
}

// recordFirst notes a request for a service.
func (b *serviceBudgets) recordFirst(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.window(service, now).RecordFirst(now)
}

// takeRetry takes one further send of a request for a service.
func (b *serviceBudgets) takeRetry(service string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.window(service, now).Spend(now)
}

// decide asks what to do with a request for a service after a send without a good answer.
func (b *serviceBudgets) decide(service string, q retry.FailedAttempt) retry.Action {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.window(service, q.Now).Decide(q)
}

// window returns the budget window a service with the slack that it has now. The mutex is held.
func (b *serviceBudgets) window(service string, now time.Time) *retry.WindowBudget {
	w := b.windows[service]
	if w == nil {
		if b.windows == nil {
			b.windows = make(map[string]*retry.WindowBudget)
		}
		w = &retry.WindowBudget{Share: b.limit.Share, SpanEnd: b.limit.WindowEnd}
		b.windows[service] = w
	}
	part := initialBudgetPart
	if !now.Before(b.fullFrom) {
		part = maxBudgetPart
	}
	w.Slack = part * b.limit.Slack / b.entries
	return w
}

// InitRetryBudget begins the budget of further sends among that many entries.
func (f *Forwarder) InitRetryBudget(r RetryBudget, entries int, now time.Time) {
	f.entryCount.Store(int64(entries))
	f.retryBudgets.start(r, entries, now)
}

// EntryCount returns how many entries there may be.
func (f *Forwarder) EntryCount() int { return int(f.entryCount.Load()) }

// SetEntryCount tells how many entries there are now.
func (f *Forwarder) SetEntryCount(entries int) {
	f.entryCount.Store(int64(entries))
	f.retryBudgets.setEntries(entries)
}

// entriesPerDataCenter returns how many entries send to the engines of one data center: about
// as many in each.
func (f *Forwarder) entriesPerDataCenter(service string) float64 {
	return max(1, float64(f.entryCount.Load())/float64(max(1, len(f.Registry.EngineDataCenters(service)))))
}
