// SPDX-License-Identifier: Apache-2.0

package fleet

import "time"

const (
	// minEjection and maxEjection bound how long a failing runner is ejected, and
	// maxEjectionDoublings is how often the time doubles.
	minEjection          = 500 * time.Millisecond
	maxEjection          = 30 * time.Second
	maxEjectionDoublings = 6
	// refusalBackoff is how long a runner that refused a request gets no new work, and
	// maxRefusalDoublings is how often that time doubles. A lack of memory lasts only tens
	// of milliseconds, but a runner that leaves or unloads its layers does not accept work
	// again.
	refusalBackoff      = 150 * time.Millisecond
	maxRefusalDoublings = 4
	// lostAfterFailures is the number of failures in a row, with nothing between them that
	// shows that the runner works, after which the runner counts as lost. It is then
	// unlikely to come back.
	lostAfterFailures = 2
	// inFlightGrace is how long after the loss of a runner was observed a message that it
	// sent before may still arrive. Entries that run on a fifth of a core read messages
	// late while all their streams break.
	inFlightGrace = time.Second
	// soundSilence is how much longer a sound runner may be silent once it was found lost for its silence.
	soundSilence = time.Second
)

// Failed ejects the runner for a time that doubles with each failure in a row, and returns
// the end of that time.
func (r *Runner) Failed(now time.Time) time.Time {
	wasLost := r.Lost(now)
	doublings := min(r.failures.Add(1)-1, maxEjectionDoublings)
	until := now.Add(min(minEjection<<doublings, maxEjection))
	if !wasLost && r.Lost(now) {
		r.beginLoss(now)
	}
	r.ejectedUntil.Store(until.UnixNano())
	return until
}

// Exclude gives the runner no new work until a time, without counting a failure.
func (r *Runner) Exclude(until time.Time) {
	if n := until.UnixNano(); n > r.ejectedUntil.Load() {
		r.ejectedUntil.Store(n)
	}
}

// Suspect gives the runner no new work until a time, while it is unclear whether it caused
// a failure.
func (r *Runner) Suspect(until time.Time) { r.suspectUntil.Store(until.UnixNano()) }

// MarkWorking notes that the runner is known to work. It clears the suspicion and the
// failures counted so far.
func (r *Runner) MarkWorking() {
	if r.suspectUntil.Load() != 0 {
		r.suspectUntil.Store(0)
	}
	if r.failures.Load() != 0 {
		r.failures.Store(0)
		r.ejectedUntil.Store(0)
	}
	if r.lostUntil.Load() == 0 {
		r.endLoss()
	}
}

// MarkResponsive notes that the runner itself answers, although other runners wait for it.
// The runner stays ejected, but is not lost.
func (r *Runner) MarkResponsive() { r.failures.Store(0) }

// Refused notes that the runner refused a request. The runner gets no new work for a time
// that doubles with each refusal in a row.
func (r *Runner) Refused(now time.Time) {
	doublings := min(r.refusals.Add(1)-1, maxRefusalDoublings)
	r.Exclude(now.Add(refusalBackoff << doublings))
}

// Accepted notes that the runner accepted a request sent after its last refusal.
func (r *Runner) Accepted() {
	if r.refusals.Load() != 0 {
		r.refusals.Store(0)
	}
}

// MarkLost notes that entries found the runner lost, by observations made at a time. The
// runner gets no new work until the observations expire, unless it sends a message before.
func (r *Runner) MarkLost(at, until time.Time) {
	if !r.Lost(at) {
		r.beginLoss(at)
	}
	r.lostAt.Store(at.UnixNano())
	r.lostUntil.Store(until.UnixNano())
}

// MarkRefused notes that a lost runner refused a connection, so that it is not just silent.
func (r *Runner) MarkRefused() { r.refusedConn.Store(true) }

// RefusedConnection reports whether a lost runner refused a connection.
func (r *Runner) RefusedConnection() bool { return r.refusedConn.Load() }

// ClearLost withdraws the loss of the runner.
func (r *Runner) ClearLost() {
	r.lostUntil.Store(0)
	r.endLoss()
}

// beginLoss notes when the runner was found lost.
func (r *Runner) beginLoss(at time.Time) {
	r.refusedConn.Store(false)
	r.lostSince.Store(at.UnixNano())
}

// endLoss notes that the runner is not lost.
func (r *Runner) endLoss() {
	if r.lostSince.Load() != 0 {
		r.lostSince.Store(0)
		r.refusedConn.Store(false)
	}
}

// ClearLostIfHeard handles a message from the runner, and reports whether it disproves the
// loss of the runner.
func (r *Runner) ClearLostIfHeard(now time.Time) bool {
	if r.lostUntil.Load() == 0 || now.UnixNano() < r.lostAt.Load()+int64(inFlightGrace) {
		return false
	}
	r.endLoss()
	return r.lostUntil.Swap(0) > now.UnixNano()
}

// Lost reports whether the runner is probably dead although it is still listed. A record is
// removed only after several missed heartbeats.
func (r *Runner) Lost(now time.Time) bool {
	return r.failures.Load() >= lostAfterFailures || now.UnixNano() < r.lostUntil.Load()
}

// Gone reports whether the runner is lost and has been silent for longer than a sound one, or refused a connection.
func (r *Runner) Gone(now time.Time) bool {
	return r.Lost(now) && (r.refusedConn.Load() || now.UnixNano() >= r.lostSince.Load()+int64(soundSilence))
}

// Usable reports whether new work may be sent to the runner.
func (r *Runner) Usable(now time.Time) bool {
	return !r.Leaving() && now.UnixNano() >= max(r.ejectedUntil.Load(), r.suspectUntil.Load(), r.lostUntil.Load())
}

// EjectedUntil returns the end of the runner's ejection.
func (r *Runner) EjectedUntil() time.Time { return time.Unix(0, r.ejectedUntil.Load()) }
