// SPDX-License-Identifier: Apache-2.0

package fleet

import "time"

const (
	// ejectFirst and ejectMost bound how long a failing runner is left out;
	// ejectRuns is how often the time doubles.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 30 * time.Second
	ejectRuns  = 6
	// refusedFirst is how long a runner that did not run a request gets no new work,
	// and refusedRuns how often that doubles: for want of memory it is over in tens
	// of ms, when it leaves or gives layers up not at all.
	refusedFirst = 150 * time.Millisecond
	refusedRuns  = 4
	// lostAfter is how many failures in a row, without a sign that the runner works,
	// make it likely that it won't come back.
	lostAfter = 2
	// underWay is for how long after a sign of a runner's loss something may still come
	// that it sent before: entries with a fifth of a core read late while all their streams
	// break.
	underWay = time.Second
)

// Failed leaves the runner out for a time that doubles with each failure in a
// row, and returns until when.
func (r *Runner) Failed(now time.Time) time.Time {
	runs := min(r.failures.Add(1)-1, ejectRuns)
	till := now.Add(min(ejectFirst<<runs, ejectMost))
	r.ejectedTill.Store(till.UnixNano())
	return till
}

// Exclude leaves the runner out until a time without counting a failure.
func (r *Runner) Exclude(till time.Time) {
	if n := till.UnixNano(); n > r.ejectedTill.Load() {
		r.ejectedTill.Store(n)
	}
}

// Suspect leaves the runner out until a time, while it is not clear whether it is
// the one at fault.
func (r *Runner) Suspect(till time.Time) { r.suspectTill.Store(till.UnixNano()) }

// MarkWorking notes that the runner was seen to work: it is no suspect, and what failed
// before counts no longer.
func (r *Runner) MarkWorking() {
	if r.suspectTill.Load() != 0 {
		r.suspectTill.Store(0)
	}
	if r.failures.Load() != 0 {
		r.failures.Store(0)
		r.ejectedTill.Store(0)
	}
}

// MarkResponsive notes that the runner itself answers, although others wait for it: it is left
// out as before, but not lost.
func (r *Runner) MarkResponsive() { r.failures.Store(0) }

// Refused notes that the runner did not run a request. It gets no new work for a
// time that doubles with each refusal in a row.
func (r *Runner) Refused(now time.Time) {
	runs := min(r.refusals.Add(1)-1, refusedRuns)
	r.Exclude(now.Add(refusedFirst << runs))
}

// Accepted notes that the runner runs a request that was sent after it last
// refused one.
func (r *Runner) Accepted() {
	if r.refusals.Load() != 0 {
		r.refusals.Store(0)
	}
}

// MarkLost notes that entries found the runner lost, by signs of a time. It gets no new work
// until the signs count no longer, unless it is heard.
func (r *Runner) MarkLost(at, till time.Time) {
	r.lostAt.Store(at.UnixNano())
	r.lostTill.Store(till.UnixNano())
}

// ClearLost takes back that the runner is lost.
func (r *Runner) ClearLost() { r.lostTill.Store(0) }

// ClearLostIfHeard takes it that something came from the runner, and reports whether that disproves
// that it is lost.
func (r *Runner) ClearLostIfHeard(now time.Time) bool {
	if r.lostTill.Load() == 0 || now.UnixNano() < r.lostAt.Load()+int64(underWay) {
		return false
	}
	return r.lostTill.Swap(0) > now.UnixNano()
}

// Lost reports whether the runner is likely to be dead, although it is still
// listed: a record goes only after several missed heartbeats.
func (r *Runner) Lost(now time.Time) bool {
	return r.failures.Load() >= lostAfter || now.UnixNano() < r.lostTill.Load()
}

// Usable reports whether new work may be sent to the runner.
func (r *Runner) Usable(now time.Time) bool {
	return !r.Leaving() && now.UnixNano() >= max(r.ejectedTill.Load(), r.suspectTill.Load(), r.lostTill.Load())
}

// EjectedUntil returns until when the runner is left out.
func (r *Runner) EjectedUntil() time.Time { return time.Unix(0, r.ejectedTill.Load()) }
