// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
)

// workNewsMost bounds the reports of work that are kept to be passed on, also to entries that
// begin to follow later. The oldest are dropped first.
const workNewsMost = 1024

// unsaidMost bounds the reports of this entry that wait for the end of their endpoint: the fresh
// requests of an entry.
const unsaidMost = 256

// Quarantine holds the reports of work that may end what runs it, which this entry made or was
// told, and passes them on along the relay tree as losses are. Get one from a Source, or set
// Self before use and pass on what News returns.
type Quarantine struct {
	Self string // the name of this entry

	mutex  sync.Mutex
	book   quarantine.Tracker
	known  atomic.Bool         // whether the book says anything
	unsaid []quarantine.Report // of this entry, not told while the end is not known
	queue  queue
	met    part.Signal // told when this entry or another one met something
}

// Report notes what this entry met, and tells the others as soon as some work was at an end that
// is known: answers break off for other reasons all the time, and each report goes to each entry. It
// fills in the witness.
func (q *Quarantine) Report(news protocol.RelayWork, at time.Time) {
	news.Observer = q.Self
	r := quarantine.NewReport(news, at)
	now := clock.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	known := !r.Observation().Broke() && q.book.Confirmed(&r)
	if !q.book.Apply(r, now) {
		return
	}
	q.known.Store(true)
	q.met.Tell()
	switch {
	case known || q.book.Confirmed(&r):
		q.passOn(r, "", now)
	case r.Observation().Broke():
		q.unsaid = append(q.unsaid[max(0, len(q.unsaid)-unsaidMost+1):], r)
	}
}

// RecordCrash notes that a life of an endpoint ended, which each entry hears by itself, and tells what
// it proves.
func (q *Quarantine) RecordCrash(endpoint string, life protocol.Incarnation, at time.Time) {
	now := clock.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.book.RecordCrash(endpoint, life, at)
	left := q.unsaid[:0]
	for i := range q.unsaid {
		r := q.unsaid[i]
		switch {
		case q.book.Confirmed(&r):
			q.passOn(r, "", now)
		case now.Sub(r.At()) <= quarantine.UnconfirmedRetention:
			left = append(left, r)
		}
	}
	q.unsaid = left
}

// RecordUnresolved notes that it may turn out soon whether a life of an endpoint has ended.
func (q *Quarantine) RecordUnresolved(endpoint string, life protocol.Incarnation, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.book.RecordUnresolved(endpoint, life, now)
}

// RecordAnswer notes that an endpoint answered a question that was asked at a time, in the same
// life as far as it told.
func (q *Quarantine) RecordAnswer(endpoint string, life protocol.Incarnation, same bool, asked time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.book.RecordAnswer(endpoint, life, same, asked)
}

// ReportUnresolved tells the others what broke here at a life of an endpoint of which it is not clear
// whether it has ended: they must not send such work to further ones meanwhile.
func (q *Quarantine) ReportUnresolved(endpoint string, life protocol.Incarnation) {
	now := clock.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	left := q.unsaid[:0]
	for i := range q.unsaid {
		r := q.unsaid[i]
		if r.Endpoint() != endpoint || r.Incarnation() != life {
			left = append(left, r)
			continue
		}
		q.passOn(r, "", now)
	}
	q.unsaid = left
}

// Changed returns a channel that closes with the next report that changes anything.
func (q *Quarantine) Changed() <-chan struct{} { return q.met.Awaited() }

// Empty reports whether nothing is known against any work.
func (q *Quarantine) Empty() bool { return !q.known.Load() }

// Status returns what some work may do now.
func (q *Quarantine) Status(work protocol.Fingerprint, now time.Time) quarantine.Status {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.book.Status(work, now)
}

// IsSuspected reports whether anything was met of some work that running well would clear.
func (q *Quarantine) IsSuspected(work protocol.Fingerprint) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.book.IsSuspected(work)
}

// ReservedEndpoints returns the endpoints at which other work is on trial.
func (q *Quarantine) ReservedEndpoints(work protocol.Fingerprint, now time.Time) []string {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.book.ReservedEndpoints(work, now)
}

// MayStartIsolatedRun reports whether a trial begins that may begin at this look.
func (q *Quarantine) MayStartIsolatedRun(now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.book.MayStartIsolatedRun(now, rand.Float64())
}

// NewRefusals returns the work that is refused since the last call. Day is the time of day.
func (q *Quarantine) NewRefusals(now, day time.Time) []quarantine.Refusal {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	all := q.book.NewRefusals(now, day)
	q.known.Store(!q.book.Empty())
	return all
}

// RestoreRefusal takes what the platform keeps of refused work, and reports whether that counts.
func (q *Quarantine) RestoreRefusal(work protocol.Fingerprint, r *protocol.RefusedWork, now, day time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	held := q.book.RestoreRefusal(work, r, now, day)
	q.known.Store(!q.book.Empty())
	return held
}

// Release forgets refused work, as an operator asks, and reports whether it was refused.
func (q *Quarantine) Release(work protocol.Fingerprint, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.book.Release(work, now) {
		return false
	}
	q.queue.items = slices.DeleteFunc(q.queue.items, func(i queued) bool { return i.report.(*quarantine.Report).Work() == work }) // entries to come need not hear of it
	return true
}

// StoredRefusals returns the work that is refused by what the platform keeps.
func (q *Quarantine) StoredRefusals() []protocol.Fingerprint {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.book.StoredRefusals()
}

// hearWork takes the reports of work that a peer tells.
func (s *Source) hearWork(all []protocol.RelayWork, via string) {
	now := clock.Now()
	for _, n := range all {
		at := n.At(now)
		if n.Observation.Broke() && s.isOver(n.Endpoint, n.Incarnation) {
			s.quarantine.RecordCrash(n.Endpoint, n.Incarnation, at)
		}
		s.quarantine.hear(quarantine.NewReport(n, at).AsUnresolved(), via)
	}
}

// isOver reports whether a life of an endpoint is over by what its record says: an entry that
// has started since did not hear of its end.
func (s *Source) isOver(endpoint string, life protocol.Incarnation) bool {
	now := s.lifetimeOf(endpoint)
	return life.Known() && (!now.Known() || life.Before(now))
}

// Receive takes the reports that a peer told just now.
func (q *Quarantine) Receive(all []protocol.RelayWork, via string) {
	now := clock.Now()
	for _, n := range all {
		q.hear(quarantine.NewReport(n, n.At(now)).AsUnresolved(), via)
	}
}

// ReportsSince returns the reports to tell peers, of this entry and of others, after one's number, and the
// number of the last.
func (q *Quarantine) ReportsSince(after uint64, now time.Time) ([]protocol.RelayWork, uint64) {
	return q.since(after, q.Self, now)
}

// hear takes a report of a peer and passes it on if it changes anything.
func (q *Quarantine) hear(r quarantine.Report, via string) {
	now := clock.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.book.Apply(r, now) {
		return
	}
	q.known.Store(true)
	q.met.Tell()
	q.passOn(r, via, now)
}

// passOn keeps a report to be told. The mutex is held.
func (q *Quarantine) passOn(r quarantine.Report, via string, now time.Time) {
	q.queue.add(&r, via, now.Add(-quarantine.Retention), workNewsMost)
}

// since returns the reports after an item's number that a peer must be told, and the number
// of the last item.
func (q *Quarantine) since(number uint64, peer string, now time.Time) ([]protocol.RelayWork, uint64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	queued, last := q.queue.since(number, peer, now.Add(-quarantine.Retention))
	var all []protocol.RelayWork
	for _, d := range queued {
		all = append(all, d.(*quarantine.Report).Message(now))
	}
	return all, last
}
