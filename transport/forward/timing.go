// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// minSilence is the least silence inside a stream that counts as overdue: the prefill of other
	// prompts delays a stream by as much.
	minSilence = 90 * time.Millisecond
	// silenceFactor is how many of its mean pauses a stream may be silent.
	silenceFactor = 4
	// minSilenceFactor is how many of its mean pauses a stream may be silent even if that exceeds
	// half of the target pause: engines with many open requests write that slowly.
	minSilenceFactor = 2
	// firstEventShare is the part of the route's target time after which the first event is
	// overdue.
	firstEventShare = 0.5
	// silenceRecheckInterval is how often a lasting silence is checked again.
	silenceRecheckInterval = 100 * time.Millisecond
	// resumeGrace is how long after a time in which this process was not run nothing counts as
	// silent: all requests of the entry have to be checked first, some hundreds at some tens of
	// microseconds each.
	resumeGrace = 200 * time.Millisecond
	// pauseSmoothing is the weight of a new pause in the mean.
	pauseSmoothing = 0.2
)

// eventTiming tracks the pauses of one response and computes when the next event is overdue.
type eventTiming struct {
	lastEvent       time.Time // last event, or when the request was sent
	overdue         time.Time
	meanPause       time.Duration
	started         bool // the first event was received
	firstEventAt    time.Time
	longestPause    time.Duration // longest pause between two events
	firstEventLimit time.Duration
	pauseTarget     time.Duration
}

// start starts the timing when a request is received.
func (t *eventTiming) start(route *protocol.Route, s *protocol.RoutedService, now time.Time) {
	t.lastEvent = now
	t.firstEventLimit = time.Duration(firstEventShare * float64(route.FirstEventBy(now).Sub(now)))
	t.overdue = now.Add(t.firstEventLimit)
	if s.Engine != nil && route.TargetPauseMS > 0 {
		t.pauseTarget = time.Duration(route.TargetPauseMS * float64(time.Millisecond))
	}
}

// recordEvent records an event.
func (t *eventTiming) recordEvent(now time.Time) {
	if t.started {
		pause := now.Sub(t.lastEvent)
		if t.meanPause == 0 {
			t.meanPause = pause
		}
		t.longestPause = max(t.longestPause, pause)
		t.meanPause += time.Duration(pauseSmoothing * float64(pause-t.meanPause))
	} else {
		t.started = true
		t.firstEventAt = now
	}
	t.lastEvent = now
	t.overdue = now.Add(t.silenceLimit())
}

// timeToFirstEvent returns how long after a time the first event was received, 0 if none was.
func (t *eventTiming) timeToFirstEvent(begun time.Time) time.Duration {
	if !t.started {
		return 0
	}
	return t.firstEventAt.Sub(begun)
}

// silenceLimit returns the silence inside a stream from which it is overdue.
func (t *eventTiming) silenceLimit() time.Duration {
	limit := max(minSilence, silenceFactor*t.meanPause)
	if t.pauseTarget > 0 {
		limit = min(limit, max(minSilence, t.pauseTarget/2, minSilenceFactor*t.meanPause))
	}
	return limit
}

// restart records that the request was sent again.
func (t *eventTiming) restart(now time.Time) {
	t.overdue = now.Add(max(t.firstEventLimit/2, minSilence))
}

// postpone delays the next check until a time, for a pause whose cause is known.
func (t *eventTiming) postpone(until time.Time) {
	if until.After(t.overdue) {
		t.overdue = until
	}
}

// resume records that the VM was suspended. What arrived in the meantime is about to be read, and
// endpoints were not silent for that long.
func (t *eventTiming) resume(now time.Time) {
	t.lastEvent = now
	t.postpone(now.Add(max(resumeGrace, t.silenceLimit())))
}

// discount takes a time in which this process was not run out of the silence.
func (t *eventTiming) discount(late time.Duration, now time.Time) {
	t.lastEvent = t.lastEvent.Add(late)
	if t.lastEvent.After(now) {
		t.lastEvent = now
	}
	t.postpone(now.Add(resumeGrace))
}

// recheckLater delays the next check by silenceRecheckInterval.
func (t *eventTiming) recheckLater(now time.Time) { t.overdue = now.Add(silenceRecheckInterval) }

// overdueAt returns when the next event is overdue.
func (t *eventTiming) overdueAt() time.Time { return t.overdue }
