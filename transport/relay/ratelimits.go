// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/ratelimit"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// maxRateReports bounds the reports of rate limits that are kept for later followers. The oldest are
// dropped first, since a limit is reported again as long as requests are sent to its endpoint.
const maxRateReports = 4096

// RateLimits holds the rate limits of endpoints that this entry knows and its shares of them, and
// passes reports about them on along the relay tree as lossReports does. Get one from a Source, or
// use a zero value and send what ReportsSince returns to the peers.
type RateLimits struct {
	// OnChange is called with a report that changes a limit; nil for no call.
	OnChange func(r ratelimit.Report, change ratelimit.LimitChanged)

	mutex    sync.Mutex
	tracker  ratelimit.Tracker
	nonEmpty atomic.Bool // whether the tracker knows any endpoint
	log      reportLog
}

// SetMembers sets the name of this entry and those of all entries that share limits.
func (l *RateLimits) SetMembers(self string, names []string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tracker.SetMembers(self, names)
}

// Empty reports whether no endpoint has a limit.
func (l *RateLimits) Empty() bool { return !l.nonEmpty.Load() }

// AddTracked adds the IDs of the endpoints that have a limit to a set.
func (l *RateLimits) AddTracked(ids map[string]bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tracker.AddTracked(ids)
}

// Limit returns the limit of an endpoint in requests a second, 0 for none.
func (l *RateLimits) Limit(target protocol.EndpointProcess) float64 {
	if l.Empty() {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tracker.Limit(target)
}

// RecordAnswer records the limit that an answer of an endpoint names, 0 for none. The answer's
// request was sent at sentAt.
func (l *RateLimits) RecordAnswer(target protocol.EndpointProcess, limit float64, sentAt time.Time) {
	if limit == 0 && l.Empty() {
		return
	}
	now := clock.Now()
	l.mutex.Lock()
	r, change := l.tracker.RecordAnswer(target, limit, sentAt, now)
	l.publish(r, change, "", now)
	l.mutex.Unlock()
	l.notify(r, change)
}

// Want notes that this entry has a request for an endpoint, and reports to the other entries if its
// share of the endpoint's limit is too small.
func (l *RateLimits) Want(target protocol.EndpointProcess, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if r, ok := l.tracker.Want(target, now); ok {
		l.publish(r, ratelimit.SharesChanged{}, "", now)
	}
}

// NextAt returns when this entry may send the next request to an endpoint, now or earlier if it may
// at once.
func (l *RateLimits) NextAt(target protocol.EndpointProcess, now time.Time) time.Time {
	if l.Empty() {
		return now
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tracker.NextAt(target, now)
}

// TakeAll takes one request from this entry's share of each of some endpoints, and reports whether
// all allow it. If one does not, it takes none.
func (l *RateLimits) TakeAll(targets []protocol.EndpointProcess, now time.Time) bool {
	if l.Empty() {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.tracker.TakeAll(targets, now)
}

// Maintain lends the shares that this entry does not use, and forgets the endpoints that do not exist
// any more.
func (l *RateLimits) Maintain(exists func(endpoint string) bool, now time.Time) {
	if l.Empty() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lend(now)
	l.tracker.Sweep(exists, now)
	l.nonEmpty.Store(!l.tracker.Empty())
}

// lend lends the shares that this entry does not use. The caller holds the mutex.
func (l *RateLimits) lend(now time.Time) {
	for _, r := range l.tracker.Lend(now) {
		l.publish(r, ratelimit.SharesChanged{}, "", now)
	}
}

// Receive applies the reports that a peer just sent.
func (l *RateLimits) Receive(messages []protocol.RateReport, from string) {
	now := clock.Now()
	for i := range messages {
		r := ratelimit.NewReport(messages[i], messages[i].At(now))
		l.mutex.Lock()
		change := l.tracker.Apply(r, now)
		l.publish(r, change, from, now)
		if r.Observation() == protocol.RateLimitWanted {
			l.lend(now)
		}
		l.mutex.Unlock()
		l.notify(r, change)
	}
}

// publish keeps a report that says something new to be passed on. The caller holds the mutex.
func (l *RateLimits) publish(r ratelimit.Report, change ratelimit.Change, from string, now time.Time) {
	if _, nothing := change.(ratelimit.NoChange); nothing {
		return
	}
	l.nonEmpty.Store(true)
	l.log.add(r, from, now.Add(-ratelimit.Retention), maxRateReports)
}

// notify calls OnChange if a limit has changed.
func (l *RateLimits) notify(r ratelimit.Report, change ratelimit.Change) {
	if c, ok := change.(ratelimit.LimitChanged); ok && l.OnChange != nil {
		l.OnChange(r, c)
	}
}

// ReportsSince returns the reports of this entry and of others after a number that must be sent to a
// peer, and the number of the last.
func (l *RateLimits) ReportsSince(number uint64, peer string, now time.Time) ([]protocol.RateReport, uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reports, last := l.log.since(number, peer, now.Add(-ratelimit.Retention))
	var messages []protocol.RateReport
	for _, r := range reports {
		messages = append(messages, r.(ratelimit.Report).Message(now))
	}
	return messages, last
}
