// SPDX-License-Identifier: Apache-2.0

package watch

import (
	"context"
	"errors"
	"time"

	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// confirmEvery is how often the object is read. Keys are trusted for a bound
	// counted from the last confirmation, so an outage finds as much of the bound
	// spent as the last confirmation is old.
	confirmEvery = 1400 * time.Millisecond
	// confirmAgain is when to read it again after a failed call.
	confirmAgain = 300 * time.Millisecond
)

// Getter is the platform as far as a Confirmer needs it.
type Getter interface {
	Get(ctx context.Context, kind, name string) (protocol.Object, error)
}

// Confirmer reads one object at a steady rate, because a watch that hears nothing
// can't tell how fresh that is. When a read fails, and when reads succeed again,
// the watchers beside it begin anew: their calls may hang in what broke.
type Confirmer struct {
	Source   Getter
	Kind     string
	Name     string
	Sink     Sink
	Watchers []*Watcher

	done   part.Done
	failed bool
}

// Start begins to read.
func (c *Confirmer) Start() { go c.run() }

// Close ends it.
func (c *Confirmer) Close() { c.done.Close() }

func (c *Confirmer) run() {
	ctx, cancel := c.done.Context()
	defer cancel()
	rest := confirmEvery
	for {
		t := time.NewTimer(rest)
		select {
		case <-t.C:
		case <-c.done.Done():
			t.Stop()
			return
		}
		rest = c.read(ctx)
	}
}

// read reads the object once and returns how long to rest.
func (c *Confirmer) read(ctx context.Context) time.Duration {
	asked := time.Now()
	o, err := c.Source.Get(ctx, c.Kind, c.Name)
	if c.done.Closed() {
		return confirmEvery
	}
	var missing *platform.NotFound
	if errors.As(err, &missing) {
		return confirmEvery // the platform answers, and nobody has written it yet
	}
	if err != nil {
		c.Sink.Failed(err, time.Now())
		if !c.failed {
			c.restart()
		}
		c.failed = true
		return confirmAgain
	}
	c.Sink.Changed(protocol.Change{Object: o}, time.Now())
	c.Sink.Confirmed(asked)
	if c.failed {
		c.restart()
	}
	c.failed = false
	return confirmEvery
}

func (c *Confirmer) restart() {
	for _, w := range c.Watchers {
		w.Restart()
	}
}
