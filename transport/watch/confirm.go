// SPDX-License-Identifier: Apache-2.0

package watch

import (
	"context"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
)

// Reading is an object as the platform held it at a time. The zero value says that
// nobody has written it yet.
type Reading struct {
	object protocol.Object
	at     time.Time
}

// NewReading returns the reading of an object.
func NewReading(o protocol.Object, at time.Time) Reading { return Reading{object: o, at: at} }

// At returns a time at which the platform held the object so, zero if it has none.
func (r Reading) At() time.Time { return r.at }

// Reader reads objects, from the platform or from a peer that knows how fresh its
// knowledge is.
type Reader interface {
	Read(ctx context.Context, kind, name string) (Reading, error)
	// Next returns when to read again after a reading at last.
	Next(last time.Time, failed bool) time.Time
	// Following reports whether watchers hear through a peer.
	Following() bool
	// Relinked returns a channel that closes when what Next says may have changed.
	Relinked() <-chan struct{}
}

// Confirmer reads one object again and again, when its Source says, because a watch
// that hears nothing can't tell how fresh that is. When a read fails, and when reads succeed again,
// the watchers beside it begin anew, unless they hear through a peer: their calls
// may hang in what broke.
type Confirmer struct {
	Source   Reader
	Kind     string
	Name     string
	Sink     Sink
	Watchers []*Watcher

	done   part.Done
	woken  part.Signal
	failed bool
}

// Start begins to read.
func (c *Confirmer) Start() { go c.run() }

// Wake makes it read at once, because the VM was suspended: its timer stood still, and what was
// confirmed may have lapsed.
func (c *Confirmer) Wake() { c.woken.Tell() }

// Close ends it.
func (c *Confirmer) Close() { c.done.Close() }

func (c *Confirmer) run() {
	ctx, cancel := c.done.Context()
	defer cancel()
	last := clock.Now()
	for {
		relinked, woken := c.Source.Relinked(), c.woken.Awaited()
		t := time.NewTimer(clock.Until(c.Source.Next(last, c.failed)))
		select {
		case <-t.C:
			c.read(ctx)
			last = clock.Now()
		case <-woken:
			c.read(ctx)
			last = clock.Now()
		case <-relinked:
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
	r, err := c.Source.Read(ctx, c.Kind, c.Name)
	if c.done.Closed() {
		return
	}
	before := c.failed
	c.failed = err != nil
	if err != nil {
		c.Sink.Failed(err, clock.Now())
	} else if !r.at.IsZero() {
		c.Sink.Changed(protocol.Change{Object: r.object}, clock.Now())
		c.Sink.Confirmed(r.at)
	}
	if c.failed != before && !c.Source.Following() {
		c.restart()
	}
}

// restart makes every watcher begin anew.
func (c *Confirmer) restart() {
	for _, w := range c.Watchers {
		w.Restart()
	}
}
