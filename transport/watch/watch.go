// SPDX-License-Identifier: Apache-2.0

// Package watch follows the objects of one kind in the platform, and reads one of them
// again and again to know how fresh that is.
//
// A Watcher lists them, then waits for changes from there on. When the platform
// has forgotten the changes since, or did not answer for a while, it lists anew.
// What it learns goes to a Sink, in order, from one goroutine:
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
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// PollTimeout is how long one call waits for a change. Each call has its price; that a
	// connection is dead is noticed sooner, by a Confirmer.
	PollTimeout = 5 * time.Second
	// hush is how long before its end a watch may have missed a change: the
	// platform's watches hear nothing for up to a second before it forgets.
	hush = time.Second
	// gatherEach is how long a watch rests after news, for each entry that watches
	// the platform itself; gatherLeast and gatherMost bound the rest. Endpoints come
	// and change many at a time, each of them would end a call of every such entry,
	// and the platform's rate does not grow with entries.
	gatherEach  = 10 * time.Millisecond
	gatherLeast = 80 * time.Millisecond
	gatherMost  = 500 * time.Millisecond
	// startingFor is how long after its start a watcher rests startingRests times as
	// long after news: a whole fleet may be starting with it.
	startingFor   = 8 * time.Second
	startingRests = 4
	// pauseFirst and pauseMost bound the rest after a failed call. A Confirmer that
	// finds the platform back ends the rest.
	pauseFirst = 100 * time.Millisecond
	pauseMost  = 1600 * time.Millisecond
)

// Source is the platform, or what stands between it and a watcher.
type Source interface {
	List(ctx context.Context, kind string) (protocol.Listing, error)
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (protocol.Changes, error)
}

// Sink takes what is learned. Confirmed is a time at which what was told up to
// now was known to be all there is.
type Sink interface {
	Listed(objects []protocol.Object, now time.Time)
	Changed(c protocol.Change, now time.Time)
	Confirmed(at time.Time)
	Failed(err error, now time.Time)
}

// Watcher follows one kind. Set the exported fields before Start.
type Watcher struct {
	Source Source
	Kind   string
	Sink   Sink
	// EntryCount returns how many entries call the platform alike; nil counts as one.
	EntryCount func() int

	done      part.Done
	from      uint64 // revision to watch from, 0 before a list
	failures  int
	startedBy time.Time // until when a fleet may be starting
	mutex     sync.Mutex
	cut       context.CancelFunc // ends the call that waits
	wake      chan struct{}      // ends a rest
}

// Start begins to follow.
func (w *Watcher) Start() {
	w.startedBy = clock.Now().Add(startingFor)
	w.wake = make(chan struct{}, 1)
	go w.run()
}

// Close ends it.
func (w *Watcher) Close() { w.done.Close() }

func (w *Watcher) run() {
	ctx, cancel := w.done.Context()
	defer cancel()
	for !w.done.Closed() {
		if err := w.step(ctx); err != nil {
			w.failed(err)
		}
	}
}

// Restart makes the watcher give up a call that waits and list anew, or end its
// rest.
func (w *Watcher) Restart() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.cut != nil {
		w.cut()
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// step makes one call, which Restart can end.
func (w *Watcher) step(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mutex.Lock()
	w.cut = cancel
	w.mutex.Unlock()
	if w.from == 0 {
		return w.list(ctx)
	}
	return w.watch(ctx)
}

func (w *Watcher) list(ctx context.Context) error {
	asked := clock.Now()
	l, err := w.Source.List(ctx, w.Kind)
	if err != nil {
		return err
	}
	w.from = max(1, l.At)
	w.failures = 0
	w.Sink.Listed(l.Objects, clock.Now())
	if !l.Relayed {
		w.Sink.Confirmed(asked)
	}
	return nil
}

func (w *Watcher) watch(ctx context.Context) error {
	asked := clock.Now()
	c, err := w.Source.Watch(ctx, w.Kind, w.from, PollTimeout)
	if err != nil {
		return err
	}
	now := clock.Now()
	w.failures = 0
	for _, change := range c.Changes {
		w.Sink.Changed(change, now)
	}
	switch {
	case c.Relayed:
		w.from = max(w.from, c.At)
	case len(c.Changes) > 0:
		// Only news moves the place to go on from: a watch that heard nothing
		// may have missed something, and its old place then is found forgotten.
		w.from = max(w.from, c.At)
		w.Sink.Confirmed(asked)
		w.rest(w.gather(now))
	default:
		w.heardNothing(asked, now)
	}
	return nil
}

// heardNothing takes an answer without news. The platform may answer before the wait is over, and
// what it tells ends with its answer: counted by the wait, keys would be trusted for a time to come
// (3.99 s ahead after answers at once). One that comes much sooner is not asked for again at once.
func (w *Watcher) heardNothing(asked, now time.Time) {
	end := asked.Add(PollTimeout)
	if now.Before(end) {
		w.Sink.Confirmed(now.Add(-hush))
	} else {
		w.Sink.Confirmed(end.Add(-hush))
	}
	if end.Sub(now) > hush {
		w.rest(w.gather(now))
	}
}

// gather returns how long to rest after news.
func (w *Watcher) gather(now time.Time) time.Duration {
	rest := gatherEach
	if w.EntryCount != nil {
		rest *= time.Duration(w.EntryCount())
	}
	if now.Before(w.startedBy) {
		rest *= startingRests
	}
	return min(gatherMost, max(gatherLeast, rest))
}

// failed lists anew after a call without an answer: what happened meanwhile may
// be more than the platform remembers.
func (w *Watcher) failed(err error) {
	if w.done.Closed() {
		return
	}
	var forgotten *platform.Compacted
	w.from = 0
	if errors.As(err, &forgotten) || errors.Is(err, context.Canceled) {
		return // the platform answered, or the call was given up here
	}
	w.Sink.Failed(err, clock.Now())
	rest := min(pauseMost, pauseFirst<<min(w.failures, 10))
	w.failures++
	w.rest(rest)
}

func (w *Watcher) rest(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-w.wake: // of a time before the rest
	default:
	}
	select {
	case <-t.C:
	case <-w.wake:
	case <-w.done.Done():
	}
}
