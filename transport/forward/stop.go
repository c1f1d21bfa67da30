// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
)

// answerTimeWeight is the weight of an answer in the mean time that the answers of a service take.
const answerTimeWeight = 0.1

// stop is the planned end of a Forwarder. The zero value says that none is planned.
type stop struct {
	refusing  atomic.Bool
	endsAt    atomic.Pointer[time.Time] // when open requests are ended
	announced lifecycle.Done            // closed once endsAt is set
	cutOff    lifecycle.Done            // closed when open requests are ended
}

// StopAt announces that open requests are ended at a time. What would not be answered by then is no longer
// sent to an endpoint, so that its caller can send it elsewhere.
func (f *Forwarder) StopAt(at time.Time) {
	f.stop.endsAt.Store(&at)
	f.stop.announced.Close()
}

// RefuseNew makes the forwarder refuse every further request. An entry that stops calls it, because
// it would not finish the request in time.
func (f *Forwarder) RefuseNew() { f.stop.refusing.Store(true) }

// CutOff ends every open request, with a refusal if its caller has nothing yet, and refuses every further
// one.
func (f *Forwarder) CutOff() {
	f.RefuseNew()
	f.stop.cutOff.Close()
}

// latestStart returns until when an attempt at the request may begin, and false if there is no such bound: no
// end is planned, or the request is a stream that has begun and may go on until then.
func (x *exchange) latestStart() (time.Time, bool) {
	endsAt := x.forwarder.stop.endsAt.Load()
	if endsAt == nil || x.headSent {
		return time.Time{}, false
	}
	return endsAt.Add(-x.forwarder.answerTimes.expected(x.service, x.route)), true
}

// stopsTooSoon reports whether an attempt that begins now would not be answered before the entry stops.
func (x *exchange) stopsTooSoon(now time.Time) bool {
	latest, bounded := x.latestStart()
	return bounded && now.After(latest)
}

// waitUntil returns the earlier of a time and the end of a wait that the planned stop makes useless.
func (x *exchange) waitUntil(at time.Time) time.Time {
	if latest, bounded := x.latestStart(); bounded && latest.Before(at) {
		return latest.Add(time.Nanosecond) // stopsTooSoon from then on
	}
	return at
}

// endUselessWait ends a request that waits to be sent, if that can't happen in time before the entry stops.
// It reports whether it did.
func (x *exchange) endUselessWait(now time.Time) bool {
	if x.queued == nil && x.isolation == nil || !x.stopsTooSoon(now) {
		return false
	}
	x.dequeue()
	x.endIsolationWait()
	x.endCutOff(now)
	return true
}

// answerTimes holds how long the answers of each service take, in the mean. The zero value knows none.
type answerTimes struct {
	mutex sync.Mutex
	means map[string]time.Duration
}

// record adds the time that a whole answer took since its request was sent.
func (t *answerTimes) record(service string, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.means == nil {
		t.means = make(map[string]time.Duration)
	}
	mean, known := t.means[service]
	if !known {
		t.means[service] = took
		return
	}
	t.means[service] = mean + time.Duration(answerTimeWeight*float64(took-mean))
}

// expected returns how long an answer is expected to take: as long as usual, or as the operator wants it if that
// is longer or nothing is known.
func (t *answerTimes) expected(s *protocol.RoutedService, r *protocol.Route) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var zero time.Time
	return max(t.means[s.Name], r.FirstEventBy(zero).Sub(zero))
}
