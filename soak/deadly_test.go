// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// deadlyWork is the work of a caller that ends each engine that begins to run it.
	deadlyWork = "deadly"
	// deadlyEvery is how often its caller comes, each time to another entry.
	deadlyEvery = 1200 * time.Millisecond
	// deadlyAway is how long an engine is away that ended.
	deadlyAway = 700 * time.Millisecond
	// deadlyRuns is how often the work may run once all is calm: what entries knew of it may be
	// lost with them, so it takes three ends to find it again, and each entry may have sent it
	// at that moment.
	deadlyRuns = 3
	// endsEndpoints is the kind of the refusal.
	endsEndpoints = `"ends_endpoints"`
)

// deadlyCaller asks for that work again and again, at every entry, while the storm lasts: what
// is promised of a calm time is not where engines end.
type deadlyCaller struct {
	callers *callers
	draw    *rand.Rand
	stop    chan struct{}
	done    chan struct{}
}

// startDeadly starts the caller. It draws from a source of its own, so that the others play a
// seed as they did before there was one.
func startDeadly(cs *callers, seed uint64) *deadlyCaller {
	c := &deadlyCaller{
		callers: cs, draw: rand.New(rand.NewPCG(seed, 4)), stop: make(chan struct{}), done: make(chan struct{}),
	}
	go c.run()
	return c
}

// close ends the caller and waits for its last answer.
func (c *deadlyCaller) close() {
	close(c.stop)
	<-c.done
}

func (c *deadlyCaller) run() {
	defer close(c.done)
	entries := c.callers.world.entries
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(deadlyEvery):
		}
		q := &call{id: c.callers.id(), work: deadlyWork, kind: stream, key: usualKey, entry: entries[c.draw.IntN(len(entries))], sent: time.Now()}
		send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, q, deadline)
		c.callers.note(q)
	}
}

// endUnder makes an engine end under that work and come back empty, in its next life.
func (w *world) endUnder(e *endpoint) {
	e.CrashOn(bodyOf(deadlyWork), deadlyAway, func() {
		e.mutex.Lock()
		e.span = [2]int{}
		if born, ok := e.Incarnation().(int64); ok {
			e.born = born
		}
		e.mutex.Unlock()
		w.rewrite(e)
	})
}

// deadlyRan returns how often that work ran.
func (w *world) deadlyRan() int {
	n := 0
	for _, e := range w.all() {
		n += e.Crashes()
	}
	return n
}

// checkDeadly lets that work come to every entry until all refuse it, and then again: it must
// not run any more.
func (c *calm) checkDeadly() {
	w := c.world
	before := w.deadlyRan()
	refused := func() bool {
		all := true
		for _, e := range w.entries {
			q := c.askFor(e, stream, usualKey, deadlyWork)
			all = all && strings.Contains(q.body, endsEndpoints)
		}
		return all
	}
	if !c.within(recoverBound, "work that ends engines is refused everywhere", refused) {
		return
	}
	ran := w.deadlyRan()
	c.deadlyRan = ran - before
	if ran > before+deadlyRuns+len(w.entries) {
		w.problem("work that ends engines ran %d times in a calm time", ran-before)
	}
	for range 3 {
		if !refused() {
			w.problem("an entry took refused work again")
		}
	}
	if again := w.deadlyRan(); again != ran {
		w.problem("refused work ran %d times more", again-ran)
	}
	c.within(recoverBound, "every entry serves again after the last end", c.serves)
}

// checkInnocent checks that only that work was refused for ending engines.
func (w *world) checkInnocent(calls []*call) {
	for _, c := range calls {
		if c.work == "" && strings.Contains(c.body, endsEndpoints) {
			w.problem("%s %s was refused as if it ended engines: %q", c.kind, c.id, c.body)
		}
	}
}

// deadlySummary tells how often that work came and ran, also in the calm time.
func (w *world) deadlySummary(calls []*call, calm int) string {
	came, refused := 0, 0
	for _, c := range calls {
		if c.work == "" {
			continue
		}
		came++
		if strings.Contains(c.body, endsEndpoints) {
			refused++
		}
	}
	return fmt.Sprintf("deadly work came %d times, ended %d engines, %d of them in the calm time, was refused %d times", came, w.deadlyRan(), calm, refused)
}
