// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/clock"
)

// startupTimeout is how long after an entry's start requests wait for the first routing table and
// list of endpoints. Those arrive after 0.13 s in the median of 73 entries that start at once, 0.21
// s at the slowest. Most callers in that time were cut off when the previous processes of the
// entries ended, and a refusal uses up their only retry: without the wait, 391 were refused in a
// test run that killed all entries at its end.
const startupTimeout = 500 * time.Millisecond

// startupGate holds requests that arrive right after the start. The zero value holds none.
type startupGate struct {
	lateSince func(t time.Time) bool // see Forwarder.LateSince

	mutex     sync.Mutex
	startedAt time.Time
	opened    chan struct{} // closed when waiting is no longer useful
}

// start holds requests from now on.
func (g *startupGate) start(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.startedAt = now
	g.opened = make(chan struct{})
}

// open releases the requests that wait, and holds none from now on.
func (g *startupGate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open, its time is over or the caller has left. The time begins when
// the entry starts, but with the request if the entry was not run for a while since: it could not
// learn anything meanwhile.
func (g *startupGate) wait(caller context.Context) {
	g.mutex.Lock()
	opened, from := g.opened, g.startedAt
	g.mutex.Unlock()
	if opened == nil {
		return
	}
	if g.lateSince != nil && g.lateSince(from) {
		from = clock.Now()
	}
	t := time.NewTimer(clock.Until(from.Add(startupTimeout)))
	defer t.Stop()
	select {
	case <-opened:
	case <-t.C:
	case <-caller.Done():
	}
}

// EndStartupWait releases the requests that arrived right after the start: either everything needed
// to serve them is available, or it is known that it won't be soon.
func (f *Forwarder) EndStartupWait() { f.startup.open() }
