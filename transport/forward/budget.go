// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/retry"
)

const (
	// maxBudgetPart and initialBudgetPart are the parts of an entry's share of the slack that it
	// may use: after one window, and at the start. With them, an entry that restarts, even twice in
	// a window, spends no more than its share.
	maxBudgetPart     = 0.7
	initialBudgetPart = 0.15
)

// RetryBudget is the platform's bound on further attempts. Within one window, all entries together
// may retry Share of the requests for a service, and Slack requests beyond that. WindowEnd returns
// the end of the window that begins at a given time.
type RetryBudget struct {
	Share     float64
	Slack     float64
	WindowEnd func(begin time.Time) time.Time
}

// serviceBudgets holds this entry's part of the retry budget for each service.
type serviceBudgets struct {
	limit RetryBudget

	mutex    sync.Mutex
	entries  float64
	fullFrom time.Time // when retries of the entry's previous process no longer count
	windows  map[string]*retry.WindowBudget
}

// start initializes the budget of an entry that shares the limit with the given number of entries,
// itself included.
func (b *serviceBudgets) start(r RetryBudget, entries int, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.limit = r
	b.entries = float64(max(1, entries))
	b.fullFrom = r.WindowEnd(now)
}

// setEntries sets how many entries there are now.
func (b *serviceBudgets) setEntries(n int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.entries = float64(max(1, n))
}

// recordFirst records the first attempt of a request for a service.
func (b *serviceBudgets) recordFirst(service string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.window(service, now).RecordFirst(now)
}

// takeRetry takes one further attempt for a service from the budget, and reports whether one was
// left.
func (b *serviceBudgets) takeRetry(service string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.window(service, now).Spend(now)
}

// decide applies the retry policy to a request for a service after an attempt without a good
// response.
func (b *serviceBudgets) decide(service string, q retry.FailedAttempt) retry.Action {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.window(service, q.Now).Decide(q)
}

// window returns the budget of a service with its current slack. The caller holds the mutex.
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

// InitRetryBudget initializes the retry budget of an entry that shares the limit with the given
// number of entries, itself included.
func (f *Forwarder) InitRetryBudget(r RetryBudget, entries int, now time.Time) {
	f.entryCount.Store(int64(entries))
	f.retryBudgets.start(r, entries, now)
}

// EntryCount returns how many entries there may be.
func (f *Forwarder) EntryCount() int { return int(f.entryCount.Load()) }

// SetEntryCount sets how many entries there are now.
func (f *Forwarder) SetEntryCount(entries int) {
	f.entryCount.Store(int64(entries))
	f.retryBudgets.setEntries(entries)
}

// entriesPerDataCenter returns how many entries send to the engines of one data center of a
// service. Entries are spread about evenly over data centers.
func (f *Forwarder) entriesPerDataCenter(service string) float64 {
	return max(1, float64(f.entryCount.Load())/float64(max(1, len(f.Registry.View().EngineDataCenters(service)))))
}
