// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// minSilence is the least silence inside a stream that is suspicious: reading
	// the prompts of others holds a stream up by as much.
	minSilence = 90 * time.Millisecond
	// silenceFactor is how many of its usual pauses a stream may be silent.
	silenceFactor = 4
	// minSilenceFactor is how many of its usual pauses a stream may be silent even where that is
	// beyond half of the pause aimed at: engines with many open requests write that slowly.
	minSilenceFactor = 2
	// firstEventShare is the part of the aim after which a first event is overdue.
	firstEventShare = 0.5
	// silenceRecheckInterval is how often a silence that lasts is looked at again.
	silenceRecheckInterval = 100 * time.Millisecond
	// resumeGrace is how long after a suspension of the VM nothing is taken as silent: all its
	// requests have to be looked at first, some hundred at some tens of us each.
	resumeGrace = 200 * time.Millisecond
	// pauseSmoothing is the weight of a new pause in the mean.
	pauseSmoothing = 0.2
)

// eventTiming follows the pauses of one answer and says when the next event is
// overdue.
type eventTiming struct {
	lastEvent       time.Time // event, or when the request was sent
	overdue         time.Time
	meanPause       time.Duration
	started         bool // the first event has come
	firstEventAt    time.Time
	longestPause    time.Duration // pause between two events
	firstEventLimit time.Duration
	pauseTarget     time.Duration
}

// start starts at the time when a request came in.
func (r *eventTiming) start(route *protocol.Route, s *protocol.RoutedService, now time.Time) {
	r.lastEvent = now
	r.firstEventLimit = time.Duration(firstEventShare * float64(route.Aim(now).Sub(now)))
	r.overdue = now.Add(r.firstEventLimit)
	if s.Engine != nil && route.PauseAimMS > 0 {
		r.pauseTarget = time.Duration(route.PauseAimMS * float64(time.Millisecond))
	}
}

// recordEvent notes that an recordEvent came.
func (r *eventTiming) recordEvent(now time.Time) {
	if r.started {
		pause := now.Sub(r.lastEvent)
		if r.meanPause == 0 {
			r.meanPause = pause
		}
		r.longestPause = max(r.longestPause, pause)
		r.meanPause += time.Duration(pauseSmoothing * float64(pause-r.meanPause))
	} else {
		r.started = true
		r.firstEventAt = now
	}
	r.lastEvent = now
	r.overdue = now.Add(r.silenceLimit())
}

// timeToFirstEvent returns how long after a time the first event came, 0 if none did.
func (r *eventTiming) timeToFirstEvent(begun time.Time) time.Duration {
	if !r.started {
		return 0
	}
	return r.firstEventAt.Sub(begun)
}

// silenceLimit is the silence inside a stream from which it is suspicious.
func (r *eventTiming) silenceLimit() time.Duration {
	b := max(minSilence, silenceFactor*r.meanPause)
	if r.pauseTarget > 0 {
		b = min(b, max(minSilence, r.pauseTarget/2, minSilenceFactor*r.meanPause))
	}
	return b
}

// restart notes that the request was sent again.
func (r *eventTiming) restart(now time.Time) {
	r.overdue = now.Add(max(r.firstEventLimit/2, minSilence))
}

// postpone puts the next look off until a time: what holds the stream up is known.
func (r *eventTiming) postpone(till time.Time) {
	if till.After(r.overdue) {
		r.overdue = till
	}
}

// resume notes that the VM was suspended: what came meanwhile is read in the next moments, and
// endpoints were not silent for that long.
func (r *eventTiming) resume(now time.Time) {
	r.lastEvent = now
	r.postpone(now.Add(max(resumeGrace, r.silenceLimit())))
}

// recheckLater puts the next look off.
func (r *eventTiming) recheckLater(now time.Time) { r.overdue = now.Add(silenceRecheckInterval) }

// overdueAt returns when the next event is overdue.
func (r *eventTiming) overdueAt() time.Time { return r.overdue }
