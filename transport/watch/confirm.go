// SPDX-License-Identifier: Apache-2.0

package watch

import (
	"context"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/era"
)

// Reading is an object as the platform held it at a time. The zero value says that the object does
// not exist yet.
type Reading struct {
	object protocol.Object
	at     time.Time
}

// NewReading returns the reading of an object at a time.
func NewReading(o protocol.Object, at time.Time) Reading { return Reading{object: o, at: at} }

// At returns a time at which the platform held the object in this state, zero for the zero Reading.
func (r Reading) At() time.Time { return r.at }

// Reader reads objects from the platform, or from a peer that knows how fresh its state is.
type Reader interface {
	Read(ctx context.Context, kind, name string) (Reading, error)
	// Next returns when to read again after the last read.
	Next(last time.Time, failed bool) time.Time
	// Following reports whether watchers receive their changes from a peer.
	Following() bool
	// Relinked returns a channel that is closed when the result of Next may have changed.
	Relinked() <-chan struct{}
}

// Confirmer reads one object repeatedly, at the times that its Source gives, because a watch
// without changes can't tell how fresh its state is. When a read fails, and when reads succeed
// again, it restarts the Watchers, since their calls may hang on a broken connection. It does not
// restart them while they receive their changes from a peer. It also restarts them when the platform
// was restored: their calls may wait for changes of a history that no longer exists.
type Confirmer struct {
	Source   Reader
	Kind     string
	Name     string
	Sink     Sink
	Watchers []*Watcher
	Eras     *era.Tracker // of the platform; nil if it names no eras

	done         lifecycle.Done
	restores     int // restores of the platform that were handled
	wakeSignal   lifecycle.Signal
	lastFailed   bool
	readingSince atomic.Pointer[time.Time] // nil between reads
}

// Start begins to read.
func (c *Confirmer) Start() { go c.run() }

// Wake makes the Confirmer read at once. It is called after the VM was suspended: the timer did not
// advance, and the last confirmation may have expired.
func (c *Confirmer) Wake() { c.wakeSignal.Broadcast() }

// ReadingSince returns when the read began that is waiting for its answer, zero for none.
func (c *Confirmer) ReadingSince() time.Time {
	if t := c.readingSince.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Close stops the Confirmer.
func (c *Confirmer) Close() { c.done.Close() }

func (c *Confirmer) run() {
	ctx, cancel := c.done.Context()
	defer cancel()
	last := clock.Now()
	for {
		relinked, wake, restored := c.Source.Relinked(), c.wakeSignal.Changed(), c.Eras.Restored()
		c.checkRestores()
		next := c.Source.Next(last, c.lastFailed)
		if !next.After(clock.Now()) && !c.done.Closed() {
			c.read(ctx)
			last = clock.Now()
			continue
		}
		t := time.NewTimer(clock.Until(next))
		select {
		case <-t.C:
			c.read(ctx)
			last = clock.Now()
		case <-wake:
			c.read(ctx)
			last = clock.Now()
		case <-relinked:
		case <-restored:
		case <-c.done.Done():
		}
		t.Stop()
		if c.done.Closed() {
			return
		}
	}
}

// read reads the object once.
func (c *Confirmer) read(ctx context.Context) {
	now := clock.Now()
	c.readingSince.Store(&now)
	r, err := c.Source.Read(ctx, c.Kind, c.Name)
	c.readingSince.Store(nil)
	if c.done.Closed() {
		return
	}
	failedBefore := c.lastFailed
	c.lastFailed = err != nil
	if err != nil {
		c.Sink.Failed(err, clock.Now())
	} else if !r.at.IsZero() {
		c.Sink.Changed(protocol.Change{Object: r.object}, clock.Now())
		c.Sink.Confirmed(r.at)
	}
	if c.lastFailed != failedBefore && !c.Source.Following() {
		c.restartWatchers()
	}
}

// checkRestores restarts the watchers after a restore of the platform.
func (c *Confirmer) checkRestores() {
	restores := c.Eras.Restores()
	if restores == c.restores {
		return
	}
	c.restores = restores
	if !c.Source.Following() {
		c.restartWatchers()
	}
}

// restartWatchers restarts every watcher.
func (c *Confirmer) restartWatchers() {
	for _, w := range c.Watchers {
		w.Restart()
	}
}
