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
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
)

// maxWorkReports bounds the work reports that are kept for later followers. The oldest are dropped
// first.
const maxWorkReports = 1024

// vouchInterval is the least time between two reports of this entry that a part ran well before a crash.
const vouchInterval = 10 * time.Second

// maxPendingReports bounds the reports of this entry that wait until the crash of their endpoint is
// confirmed. It covers the recent requests of one entry.
const maxPendingReports = 256

// Quarantine holds the reports of work that may crash its endpoint, which this entry made or
// received, and passes them on along the relay tree as lossReports does. Get one from a Source, or
// set Self before use and send what ReportsSince returns to the peers.
type Quarantine struct {
	Self string // name of this entry

	mutex    sync.Mutex
	tracker  quarantine.Tracker
	nonEmpty atomic.Bool         // whether the tracker holds any reports
	pending  []quarantine.Report // of this entry, not sent while the crash is not confirmed
	history  quarantine.History  // of the parts that ran well at this entry
	vouched  quarantine.History  // of the parts for which this entry has sent that they ran well
	log      reportLog
	changed  lifecycle.Signal // signaled when a report changes something
}

// Report records an observation of this entry and fills in the observer. It passes the report on as
// soon as the endpoint is confirmed to have crashed: responses are often aborted for other reasons,
// and each report goes to every entry.
func (q *Quarantine) Report(message protocol.WorkReport, at time.Time) {
	message.Observer = q.Self
	r := quarantine.NewReport(message, at)
	now := clock.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	confirmed := !r.Observation().Broke() && q.tracker.Confirmed(&r)
	if !q.tracker.Apply(r, now) {
		return
	}
	q.applyHistory(&r, now)
	q.nonEmpty.Store(true)
	q.changed.Broadcast()
	switch {
	case confirmed || q.tracker.Confirmed(&r):
		q.publish(r, "", now)
	case r.Observation().Broke():
		q.pending = append(q.pending[max(0, len(q.pending)-maxPendingReports+1):], r)
	}
}

// RecordCrash records that an incarnation of an endpoint crashed, which each entry learns by
// itself, and passes on the pending reports that the crash confirms.
func (q *Quarantine) RecordCrash(endpoint string, incarnation protocol.Incarnation, at time.Time) {
	now := clock.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.tracker.RecordCrash(endpoint, incarnation, at)
	remaining := q.pending[:0]
	for i := range q.pending {
		r := q.pending[i]
		switch {
		case q.tracker.Confirmed(&r):
			q.publish(r, "", now)
		case now.Sub(r.At()) <= quarantine.UnconfirmedRetention:
			remaining = append(remaining, r)
		}
	}
	q.pending = remaining
}

// RecordLeaving records that an incarnation of an endpoint said that it leaves, so that its end is no crash.
func (q *Quarantine) RecordLeaving(endpoint string, incarnation protocol.Incarnation, at time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.tracker.RecordLeaving(endpoint, incarnation, at)
}

// RecordParts records that parts of prompts ran well at this entry.
func (q *Quarantine) RecordParts(parts []protocol.Fingerprint, at time.Time) {
	if len(parts) == 0 {
		return
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, part := range parts {
		q.history.Record(part, at)
	}
}

// PartRuns returns how often and when a part ran well at this entry.
func (q *Quarantine) PartRuns(part protocol.Fingerprint) quarantine.Runs {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.history.Runs(part)
}

// RecordUnresolved records that it is not known yet whether an incarnation of an endpoint crashed.
func (q *Quarantine) RecordUnresolved(endpoint string, incarnation protocol.Incarnation, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.tracker.RecordUnresolved(endpoint, incarnation, now)
}

// RecordAnswer records that an endpoint answered a probe that was sent at probedAt. Same says
// whether it answered as the same incarnation.
func (q *Quarantine) RecordAnswer(endpoint string, incarnation protocol.Incarnation, same bool, probedAt time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.tracker.RecordAnswer(endpoint, incarnation, same, probedAt)
}

// ReportUnresolved passes on the pending reports of an incarnation of an endpoint that may have
// crashed, so that other entries do not send such work to more endpoints meanwhile.
func (q *Quarantine) ReportUnresolved(endpoint string, incarnation protocol.Incarnation) {
	now := clock.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	remaining := q.pending[:0]
	for i := range q.pending {
		r := q.pending[i]
		if r.Endpoint() != endpoint || r.Incarnation() != incarnation {
			remaining = append(remaining, r)
			continue
		}
		q.publish(r, "", now)
	}
	q.pending = remaining
}

// Changed returns a channel that is closed by the next report that changes anything.
func (q *Quarantine) Changed() <-chan struct{} { return q.changed.Changed() }

// Empty reports whether there are no reports of any work.
func (q *Quarantine) Empty() bool { return !q.nonEmpty.Load() }

// Status returns the restrictions on a request.
func (q *Quarantine) Status(c *quarantine.Content, now time.Time) quarantine.Status {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.Status(c, now)
}

// IsSuspected reports whether there are reports against a request that a successful run would clear.
func (q *Quarantine) IsSuspected(c *quarantine.Content) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.IsSuspected(c)
}

// ReservedEndpoints returns the endpoints that are reserved for isolated runs of other work.
func (q *Quarantine) ReservedEndpoints(c *quarantine.Content, now time.Time) []string {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.ReservedEndpoints(c, now)
}

// MayStartIsolatedRun reports whether an isolated run that is possible now may start, if its wait began at a time
// and the given number of entries may start it. It decides at random: see quarantine.Tracker.MayStartIsolatedRun.
func (q *Quarantine) MayStartIsolatedRun(now, since time.Time, entries int) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.MayStartIsolatedRun(now, quarantine.Contention{Entries: max(1, entries), Since: since, Sample: rand.Float64()})
}

// NewRefusals returns the work that is refused since the last call. Wall is the time of day that
// corresponds to now.
func (q *Quarantine) NewRefusals(now, wall time.Time) []quarantine.Refusal {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	refusals := q.tracker.NewRefusals(now, wall)
	q.nonEmpty.Store(!q.tracker.Empty())
	return refusals
}

// RestoreRefusal applies a refusal that is stored in the platform, and reports whether it is in
// force.
func (q *Quarantine) RestoreRefusal(work protocol.Fingerprint, r *protocol.RefusedWork, now, wall time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	accepted := q.tracker.RestoreRefusal(work, r, now, wall)
	if accepted && r.Part {
		q.clearRestored(work, r.Crashes[0].Endpoint, now)
	}
	q.nonEmpty.Store(!q.tracker.Empty())
	return accepted
}

// clearRestored ends the refusal of a part that has run well at this entry since its crashes. The caller holds the
// mutex.
func (q *Quarantine) clearRestored(part protocol.Fingerprint, endpoint string, now time.Time) {
	if ran, ok := q.ranReport(part, endpoint, now); ok && q.tracker.Apply(ran, now) {
		q.publish(ran, "", now)
	}
}

// Release removes a refusal on behalf of an operator, and reports whether the work was refused. The
// reports of that work are no longer sent to new followers.
func (q *Quarantine) Release(work protocol.Fingerprint, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.tracker.Release(work, now) {
		return false
	}
	q.log.items = slices.DeleteFunc(q.log.items, func(i loggedReport) bool { return i.report.(*quarantine.Report).Content().Has(work) })
	return true
}

// StoredRefusals returns the work that is refused because of what the platform stores.
func (q *Quarantine) StoredRefusals() []protocol.Fingerprint {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.tracker.StoredRefusals()
}

// receiveWork applies the work reports that a peer sent.
func (s *Source) receiveWork(messages []protocol.WorkReport, from string) {
	now := clock.Now()
	for _, m := range messages {
		at := m.At(now)
		if m.Observation.Broke() && s.isPastIncarnation(m.Endpoint, m.Incarnation) {
			s.quarantine.RecordCrash(m.Endpoint, m.Incarnation, at)
		}
		s.quarantine.applyFrom(quarantine.NewReport(m, at).AsUnresolved(), from)
	}
}

// isPastIncarnation reports whether an endpoint's record names a later incarnation or none. An
// entry that started after the crash learns of it in this way only.
func (s *Source) isPastIncarnation(endpoint string, incarnation protocol.Incarnation) bool {
	current := s.incarnationOf(endpoint)
	return incarnation.Known() && (!current.Known() || incarnation.Before(current))
}

// Receive applies the reports that a peer just sent.
func (q *Quarantine) Receive(messages []protocol.WorkReport, from string) {
	now := clock.Now()
	for _, m := range messages {
		q.applyFrom(quarantine.NewReport(m, m.At(now)).AsUnresolved(), from)
	}
}

// ReportsSince returns the reports of this entry and of others after a number, to be sent to peers,
// and the number of the last.
func (q *Quarantine) ReportsSince(after uint64, now time.Time) ([]protocol.WorkReport, uint64) {
	return q.messagesFor(after, q.Self, now)
}

// applyFrom applies a report of a peer and passes it on if it changes anything.
func (q *Quarantine) applyFrom(r quarantine.Report, from string) {
	now := clock.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.tracker.Apply(r, now) {
		return
	}
	q.applyHistory(&r, now)
	q.nonEmpty.Store(true)
	q.changed.Broadcast()
	q.publish(r, from, now)
}

// publish keeps a report to be passed on, and after the report of a failure that parts of it ran well at this
// entry. The caller holds the mutex.
func (q *Quarantine) publish(r quarantine.Report, from string, now time.Time) {
	q.log.add(&r, from, now.Add(-quarantine.Retention), maxWorkReports)
	switch {
	case r.Observation() == protocol.WorkRan:
		for _, part := range r.Content().Parts() {
			q.vouched.Record(part, r.At())
		}
	case r.Observation().Broke():
		q.vouch(&r, now)
	}
}

// vouch passes on when the parts of a failed request last ran well at this entry, if that clears the failure or no such
// report was passed on lately. Without that, a part that most requests share would be refused by entries that have
// just started: they get the failures that others have cleared since.
func (q *Quarantine) vouch(r *quarantine.Report, now time.Time) {
	for _, part := range r.Content().Parts() {
		ran, ok := q.ranReport(part, r.Endpoint(), now)
		if !ok {
			continue
		}
		told := q.vouched.Runs(part).Last()
		if clears := ran.At().After(r.At()) && !told.After(r.At()); clears || ran.At().Sub(told) >= vouchInterval {
			q.publish(ran, "", now)
		}
	}
}

// applyHistory makes the tracker know when the parts of a failed request last ran well at this entry. The caller
// holds the mutex.
func (q *Quarantine) applyHistory(r *quarantine.Report, now time.Time) {
	if !r.Observation().Broke() {
		return
	}
	for _, part := range r.Content().Parts() {
		if ran, ok := q.ranReport(part, r.Endpoint(), now); ok {
			q.tracker.Apply(ran, now)
		}
	}
}

// ranReport returns the report that a part ran well at this entry, if it did.
func (q *Quarantine) ranReport(part protocol.Fingerprint, endpoint string, now time.Time) (quarantine.Report, bool) {
	last := q.history.Runs(part).Last()
	if last.IsZero() || now.Sub(last) > quarantine.Retention {
		return quarantine.Report{}, false
	}
	// An entry of an earlier version takes the part for a whole work, which no request has.
	return quarantine.NewReport(protocol.WorkReport{
		Work: part, Parts: []protocol.Fingerprint{part}, Endpoint: endpoint, Observer: q.Self, Observation: protocol.WorkRan,
	}, last), true
}

// messagesFor returns the reports after a number that must be sent to a peer, and the number of the
// last report.
func (q *Quarantine) messagesFor(number uint64, peer string, now time.Time) ([]protocol.WorkReport, uint64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	reports, last := q.log.since(number, peer, now.Add(-quarantine.Retention))
	var messages []protocol.WorkReport
	for _, r := range reports {
		messages = append(messages, r.(*quarantine.Report).Message(now))
	}
	return messages, last
}
