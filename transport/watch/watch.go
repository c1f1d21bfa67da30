// SPDX-License-Identifier: Apache-2.0

// Package watch follows the objects of one kind in the platform, and reads one of them repeatedly
// to know how fresh that state is.
//
// A Watcher lists the objects, then waits for changes from that revision on. It lists again when
// the platform's history no longer reaches back to its revision, and when the platform did not
// answer for a while. It passes the results to a Sink, in order, from one goroutine:
//
//	w := &watch.Watcher{Source: store, Kind: "config", Sink: s}
//	w.Start()
package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// PollTimeout is how long one call waits for a change. Nothing else shows that the connection of
	// a waiting call is dead: a read that is answered over another one proves nothing about this one.
	// So PollTimeout and AnswerMargin together, and the list after them, take less than the time after
	// which an entry must use no endpoint that left.
	PollTimeout = time.Second
	// AnswerMargin is how long after its wait a call may be answered. A platform at its slowest takes
	// 0.4 s, and the entry's own delays add to that.
	AnswerMargin = time.Second
	// blindWindow is how long before its end a watch may have missed a change: the platform's
	// watches may deliver nothing for up to a second before the platform drops its history.
	blindWindow = time.Second
	// earlyEnd is how long before the end of its wait an answer without changes is early, so that the
	// watcher pauses before its next call.
	earlyEnd = PollTimeout / 2
	// maxTransit is how long after its end the answer of a watch may arrive. A healthy platform takes
	// a few milliseconds.
	maxTransit = 250 * time.Millisecond
	// batchDelayPerEntry is how long a watcher waits after a change before its next call, for each
	// entry that watches the platform itself, within minBatchDelay and maxBatchDelay. Endpoints
	// appear and change many at a time. Without the delay each change would end a call of every
	// such entry, and the platform's rate limit does not grow with the number of entries.
	batchDelayPerEntry = 10 * time.Millisecond
	minBatchDelay      = 80 * time.Millisecond
	maxBatchDelay      = 500 * time.Millisecond
	// startPeriod is how long after its start a watcher waits startDelayFactor times as long after
	// a change, since the whole fleet may be starting at the same time.
	startPeriod      = 8 * time.Second
	startDelayFactor = 4
	// initialRetryDelay and maxRetryDelay bound the wait after a failed call. A Confirmer ends that
	// wait when it can reach the platform again.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 1600 * time.Millisecond
)

// Source is the platform, or a layer between it and a watcher.
type Source interface {
	List(ctx context.Context, kind string) (protocol.Listing, error)
	Watch(ctx context.Context, kind string, after protocol.Revision, wait time.Duration) (protocol.Changes, error)
}

// Sink receives the state. Confirmed is called with a time at which the state delivered so far was
// complete.
type Sink interface {
	Listed(l protocol.Listing, now time.Time)
	Changed(c protocol.Change, now time.Time)
	Confirmed(at time.Time)
	Failed(err error, now time.Time)
}

// Watcher watches one kind. Set the exported fields before Start.
type Watcher struct {
	Source Source
	Kind   string
	Sink   Sink
	// EntryCount returns how many entries call the platform in the same way; nil counts as one.
	EntryCount func() int
	// LateSince reports whether this process was not run for a while since a time; nil means never.
	LateSince func(t time.Time) bool

	done       lifecycle.Done
	revision   protocol.Revision // revision to watch from, zero before a list
	failures   int
	unwatched  int       // calls in a row that led to no answered watch, although the platform answers
	startUntil time.Time // end of the period in which the whole fleet may be starting
	mutex      sync.Mutex
	cancelCall context.CancelFunc // cancels the waiting call
	wake       chan struct{}      // ends a pause
}

// Start begins to watch.
func (w *Watcher) Start() {
	w.startUntil = clock.Now().Add(startPeriod)
	w.wake = make(chan struct{}, 1)
	go w.run()
}

// Close stops the watcher.
func (w *Watcher) Close() { w.done.Close() }

func (w *Watcher) run() {
	ctx, cancel := w.done.Context()
	defer cancel()
	for !w.done.Closed() {
		if err := w.call(ctx); err != nil {
			w.handleError(err)
		}
	}
}

// Restart makes the watcher cancel a waiting call and list again, or end its pause.
func (w *Watcher) Restart() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cancelCall != nil {
		w.cancelCall()
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// call makes one call, which Restart can cancel.
func (w *Watcher) call(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mutex.Lock()
	w.cancelCall = cancel
	w.mutex.Unlock()
	if w.revision.IsZero() {
		return w.list(ctx)
	}
	return w.watch(ctx)
}

func (w *Watcher) list(ctx context.Context) error {
	askedAt := clock.Now()
	l, err := w.Source.List(ctx, w.Kind)
	if err != nil {
		return err
	}
	w.revision = l.Revision
	w.revision.Number = max(1, l.Revision.Number)
	w.failures = 0
	w.Sink.Listed(l, clock.Now())
	if !l.Relayed {
		w.Sink.Confirmed(askedAt)
	}
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	askedAt := clock.Now()
	c, err := w.Source.Watch(ctx, w.Kind, w.revision, PollTimeout)
	if err != nil {
		return err
	}
	now := clock.Now()
	w.failures, w.unwatched = 0, 0
	for _, change := range c.Changes {
		w.Sink.Changed(change, now)
	}
	switch {
	case c.Relayed:
		w.revision = protocol.LaterRevision(w.revision, c.Revision)
	case len(c.Changes) > 0:
		// Only changes advance the revision: a watch without changes may have missed
		// one, and the next call from its old revision then fails with Compacted.
		w.revision = protocol.LaterRevision(w.revision, c.Revision)
		w.Sink.Confirmed(askedAt)
		w.pause(w.batchDelay(now))
	default:
		w.confirmUnchanged(askedAt, now)
	}
	return nil
}

// confirmUnchanged handles an answer without changes. What it confirms depends on when the platform
// answered, and only when the answer was read is known here. The platform may end a watch early, and
// the answer may be in transit or unread for seconds. So only an answer that was read when the wait
// was over confirms the wait; any other confirms no more than the moment of the call. After an answer
// that came much too early, the watcher pauses before the next call.
func (w *Watcher) confirmUnchanged(askedAt, now time.Time) {
	deadline := askedAt.Add(PollTimeout)
	heldAt := askedAt
	if !now.Before(deadline) && !now.After(deadline.Add(maxTransit)) && !w.lateSince(askedAt) {
		heldAt = deadline
	}
	w.Sink.Confirmed(heldAt.Add(-blindWindow))
	if deadline.Sub(now) > earlyEnd {
		w.pause(w.batchDelay(now))
	}
}

// lateSince reports whether an answer may have been unread for long since a time, because this
// process was not run.
func (w *Watcher) lateSince(t time.Time) bool { return w.LateSince != nil && w.LateSince(t) }

// batchDelay returns how long to wait after a change.
func (w *Watcher) batchDelay(now time.Time) time.Duration {
	delay := batchDelayPerEntry
	if w.EntryCount != nil {
		delay *= time.Duration(w.EntryCount())
	}
	if now.Before(w.startUntil) {
		delay *= startDelayFactor
	}
	return min(maxBatchDelay, max(minBatchDelay, delay))
}

// handleError makes the watcher list again after a failed call, since the history may no longer
// hold everything that changed in the meantime.
func (w *Watcher) handleError(err error) {
	if w.done.Closed() {
		return
	}
	var compacted *platform.Compacted
	var silent *platform.ConnectionSilent
	w.revision = protocol.Revision{}
	switch {
	case errors.Is(err, context.Canceled): // canceled here
	case errors.As(err, &compacted), errors.As(err, &silent): // the platform answers
		if w.unwatched > 0 {
			w.pause(retryDelay(w.unwatched - 1))
		}
		w.unwatched++
	default:
		w.Sink.Failed(err, clock.Now())
		delay := retryDelay(w.failures)
		w.failures++
		w.pause(delay)
	}
}

// retryDelay returns how long to wait after a number of failures in a row before this one.
func retryDelay(failures int) time.Duration {
	return min(maxRetryDelay, initialRetryDelay<<min(failures, 10))
}

func (w *Watcher) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.wake: // discard a signal from before the pause
	default:
	}
	select {
	case <-t.C:
	case <-w.wake:
	case <-w.done.Done():
	}
}
