// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/backoff"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
)

// backoffs holds the endpoints that asked this entry for backoff, or that said that they leave. The zero
// value has none.
type backoffs struct {
	mutex    sync.Mutex
	tracker  backoff.Tracker
	nonEmpty atomic.Bool // whether the tracker tracks any endpoint
}

// empty reports whether every endpoint takes requests.
func (b *backoffs) empty() bool { return !b.nonEmpty.Load() }

// addTracked adds the IDs of the tracked endpoints to a set.
func (b *backoffs) addTracked(ids map[string]bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.AddTracked(ids)
}

// nextAt returns when an endpoint takes the next request, now or earlier if at once, and false if it
// takes none any more.
func (b *backoffs) nextAt(endpoint protocol.EndpointProcess, now time.Time) (at time.Time, ever bool) {
	if b.empty() {
		return now, true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.tracker.NextAt(endpoint, now)
}

// takeAll reports whether all endpoints take a request now.
func (b *backoffs) takeAll(endpoints []protocol.EndpointProcess, now time.Time) bool {
	if b.empty() {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, e := range endpoints {
		if at, ever := b.tracker.NextAt(e, now); !ever || at.After(now) {
			return false
		}
	}
	for _, e := range endpoints {
		b.tracker.Take(e, now)
	}
	return true
}

// recordAnswer records what an answer says about further requests, and reports whether it is the first
// by which its endpoint says that it leaves.
func (b *backoffs) recordAnswer(endpoint protocol.EndpointProcess, a backoff.Answer, now time.Time) (leaves bool) {
	if b.empty() && a.RetryAt.IsZero() && !a.Leaving {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	leaves = b.tracker.RecordAnswer(endpoint, a, now)
	b.nonEmpty.Store(!b.tracker.Empty())
	return leaves
}

// sweep forgets endpoints that do not exist any more.
func (b *backoffs) sweep(exists func(endpoint string) bool, now time.Time) {
	if b.empty() {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tracker.Sweep(exists, now)
	b.nonEmpty.Store(!b.tracker.Empty())
}

// recordBackoff records whether an answer asks for backoff, and whether its endpoint leaves. An answer of
// another process at the endpoint's address says nothing about the endpoint.
func (a *attempt) recordBackoff(status int, terms *protocol.AnswerTerms) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	f := a.forwarder
	answer := backoff.Answer{RetryAt: terms.RetryAt, Leaving: terms.Leaving, SentAt: a.sentAt}
	leaves := f.backoffs.recordAnswer(a.process(), answer, clock.Now())
	if !terms.RetryAt.IsZero() {
		f.log(event.BackoffAsked, slog.String("endpoint", a.endpoint.Name()), slog.String("request", a.id), slog.Int64("retry_after_ms", clock.Until(terms.RetryAt).Milliseconds()))
	}
	if leaves {
		if f.Quarantine != nil {
			f.Quarantine.RecordLeaving(a.endpoint.Name(), a.incarnation, clock.Now())
		}
		f.log(event.LeavingTold, slog.String("endpoint", a.endpoint.Name()))
	}
}

// process returns the incarnation of the endpoint to which the attempt was sent.
func (a *attempt) process() protocol.EndpointProcess {
	return protocol.EndpointProcess{ID: a.endpoint.Name(), Incarnation: a.incarnation}
}
