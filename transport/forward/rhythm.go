// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// pauseLeast is the least silence inside a stream that is suspicious: reading
	// the prompts of others holds a stream up by as much.
	pauseLeast = 90 * time.Millisecond
	// pauseFactor is how many of its usual pauses a stream may be silent.
	pauseFactor = 4
	// pauseUsual is how many of its usual pauses a stream may be silent even where that is
	// beyond half of the pause aimed at: engines with many open requests write that slowly.
	pauseUsual = 2
	// firstShare is the part of the aim after which a first event is overdue.
	firstShare = 0.5
	// lookEvery is how often a silence that lasts is looked at again.
	lookEvery = 100 * time.Millisecond
	// wokeGrace is how long after a suspension of the VM nothing is taken as silent: all its
	// requests have to be looked at first, some hundred at some tens of us each.
	wokeGrace = 200 * time.Millisecond
	// smoothing is the weight of a new pause in the mean.
	smoothing = 0.2
)

// rhythm follows the pauses of one answer and says when the next event is
// overdue.
type rhythm struct {
	last     time.Time // event, or when the request was sent
	overdue  time.Time
	mean     time.Duration
	first    bool // the first event has come
	firstAt  time.Time
	longest  time.Duration // pause between two events
	firstBy  time.Duration
	pauseAim time.Duration
}

// begin starts at the time when a request came in.
func (r *rhythm) begin(route *protocol.Route, s *protocol.RoutedService, now time.Time) {
	r.last = now
	r.firstBy = time.Duration(firstShare * float64(route.Aim(now).Sub(now)))
	r.overdue = now.Add(r.firstBy)
	if s.Engine != nil && route.PauseAimMS > 0 {
		r.pauseAim = time.Duration(route.PauseAimMS * float64(time.Millisecond))
	}
}

// event notes that an event came.
func (r *rhythm) event(now time.Time) {
	if r.first {
		pause := now.Sub(r.last)
		if r.mean == 0 {
			r.mean = pause
		}
		r.longest = max(r.longest, pause)
		r.mean += time.Duration(smoothing * float64(pause-r.mean))
	} else {
		r.first = true
		r.firstAt = now
	}
	r.last = now
	r.overdue = now.Add(r.bound())
}

// firstAfter returns how long after a time the first event came, 0 if none did.
func (r *rhythm) firstAfter(begun time.Time) time.Duration {
	if !r.first {
		return 0
	}
	return r.firstAt.Sub(begun)
}

// bound is the silence inside a stream from which it is suspicious.
func (r *rhythm) bound() time.Duration {
	b := max(pauseLeast, pauseFactor*r.mean)
	if r.pauseAim > 0 {
		b = min(b, max(pauseLeast, r.pauseAim/2, pauseUsual*r.mean))
	}
	return b
}

// restart notes that the request was sent again.
func (r *rhythm) restart(now time.Time) {
	r.overdue = now.Add(max(r.firstBy/2, pauseLeast))
}

// expect puts the next look off until a time: what holds the stream up is known.
func (r *rhythm) expect(till time.Time) {
	if till.After(r.overdue) {
		r.overdue = till
	}
}

// woke notes that the VM was suspended: what came meanwhile is read in the next moments, and
// endpoints were not silent for that long.
func (r *rhythm) woke(now time.Time) {
	r.last = now
	r.expect(now.Add(max(wokeGrace, r.bound())))
}

// askAgain puts the next look off.
func (r *rhythm) askAgain(now time.Time) { r.overdue = now.Add(lookEvery) }

// overdueAt returns when the next event is overdue.
func (r *rhythm) overdueAt() time.Time { return r.overdue }
