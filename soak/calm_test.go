// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

// drainSlack is how much later than the bound a request may reach an endpoint that
// leaves: it was on its way.
const drainSlack = 300 * time.Millisecond

// calm checks, after a storm, the promises that are bounded in time.
type calm struct {
	world *world
	calls []*call
	seq   int

	deadlyRan int // how often the work that ends engines ran
}

func (c *calm) run() {
	w := c.world
	if !c.within(recoverBound, "every entry serves again", c.serves) {
		return
	}
	time.Sleep(contact)
	c.checkTable()
	c.checkDrain()
	c.checkDeadly()
	c.checkStop()
	w.checkAnswers(c.calls)
}

// within waits for a condition that has to come within a bound.
func (c *calm) within(bound time.Duration, what string, met func() bool) bool {
	for end := time.Now().Add(bound + scheduling); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if met() {
			return true
		}
	}
	c.world.problem("not within %v: %s", bound, what)
	return false
}

func (c *calm) ask(e *entry, kind, key string) *call { return c.askFor(e, kind, key, "") }

// askFor is ask for some work, "" for what nobody else asks for.
func (c *calm) askFor(e *entry, kind, key, work string) *call {
	c.seq++
	q := &call{id: fmt.Sprint("calm-", c.seq), work: work, kind: kind, key: key, entry: e, sent: time.Now()}
	t := &http.Transport{DisableKeepAlives: true}
	send(&http.Client{Transport: t}, q, deadline)
	c.calls = append(c.calls, q)
	return q
}

func answered(q *call) bool { return q.status == http.StatusOK && q.broken == nil }

func (c *calm) serves() bool {
	for _, e := range c.world.entries {
		for _, kind := range kinds {
			if !e.isReady() || !answered(c.ask(e, kind, usualKey)) {
				return false
			}
		}
	}
	return true
}

// checkTable changes the table and waits until every entry goes by it; from then on
// none may go by an older one.
func (c *calm) checkTable() {
	obeyed := func(status int) func() bool {
		return func() bool {
			for _, e := range c.world.entries {
				if c.ask(e, again, spareKey).status != status {
					return false
				}
			}
			return true
		}
	}
	c.world.changeTable(usualKey, spareKey)
	c.within(configBound, "a key that was given is taken everywhere", obeyed(http.StatusOK))
	c.world.changeTable(usualKey)
	if !c.within(configBound, "a key that was taken away is refused everywhere", obeyed(http.StatusUnauthorized)) {
		return
	}
	for range 5 {
		if !obeyed(http.StatusUnauthorized)() {
			c.world.problem("an older table was in force again")
			return
		}
	}
}

// checkDrain lets an endpoint of each service leave, and looks for requests that reach
// it after the bound.
func (c *calm) checkDrain() {
	w := c.world
	for _, engine := range []bool{false, true} {
		live := w.live(engine)
		old := live[0]
		w.addEndpoint(engine, old.center)
		w.leave(old)
		late := old.leaving.Add(drainBound + drainSlack)
		time.Sleep(time.Until(late))
		for _, e := range w.entries {
			for range 3 {
				for _, kind := range kinds {
					if q := c.ask(e, kind, usualKey); !answered(q) {
						w.problem("%s %s in a calm time: %d %v %q", kind, q.id, q.status, q.broken, q.body)
					}
				}
			}
		}
		for _, r := range old.Received() {
			if r.At.After(late) {
				w.problem("%s reached %s %v after it said that it leaves", r.ID, old.ID, r.At.Sub(old.leaving))
			}
		}
		w.remove(old)
	}
}

// asking is a request for a stream that is under way beside the checks.
type asking struct {
	calm  *calm
	entry *entry
	done  chan *call
}

func (a *asking) run() { a.done <- a.calm.ask(a.entry, stream, usualKey) }

// checkStop stops an entry while streams are open: all of them come whole.
func (c *calm) checkStop() {
	w := c.world
	e := w.entries[0]
	running := func() (n int) {
		for _, p := range w.live(true) {
			n += len(p.Started())
		}
		return n
	}
	for _, p := range w.live(true) {
		p.Fail(platformtest.Pauses, 3)
	}
	begun := running()
	done := make(chan *call, 1)
	go (&asking{calm: c, entry: e, done: done}).run()
	c.within(contact, "a stream has begun", func() bool { return running() > begun })
	ended := e.expectEnd()
	e.signal(syscall.SIGTERM)
	c.within(contact, "an entry that stops is not ready", func() bool { return !e.isReady() })
	for _, p := range w.live(true) {
		p.Fail(platformtest.None, 0)
	}
	if q := <-done; !answered(q) || !strings.HasSuffix(q.body, platformtest.Event(platformtest.StreamEvents)) {
		w.problem("a stop cut a stream off: %d %v %q", q.status, q.broken, q.body)
	}
	select {
	case <-ended:
	case <-time.After(stopWithin + scheduling):
		w.problem("%s did not stop in time", e.name)
	}
}
