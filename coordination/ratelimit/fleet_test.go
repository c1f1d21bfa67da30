// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pinerun.example/pinerun/coordination/ratelimit"
	"pinerun.example/pinerun/protocol"
)

// endpoint is the endpoint of the tests, with limits in requests a second.
var endpoint = protocol.EndpointProcess{ID: "i-1", Incarnation: 7}

// fleet is some entries before one endpoint. Its clock and the delivery of reports are the test's.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	trackers []*ratelimit.Tracker
	pending  []delivery
	delay    time.Duration // how long a report takes to each entry
	reports  int
	sent     []time.Time // times of the requests that reached the endpoint
	limit    float64     // that the endpoint names now
}

// delivery is a report on its way to an entry.
type delivery struct {
	to, from int
	report   ratelimit.Report
	at       time.Time
}

func newFleet(entries int, limit float64) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)), delay: 5 * time.Millisecond, limit: limit}
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprint("entry-", i))
		f.trackers = append(f.trackers, &ratelimit.Tracker{})
	}
	for i, t := range f.trackers {
		t.SetMembers(names[i], names)
	}
	return f
}

// spread sends a report of an entry to the first one, which passes it on to all others if it says
// anything new.
func (f *fleet) spread(from int, r ratelimit.Report) {
	if from == 0 {
		f.passOn(from, r)
		return
	}
	f.pending = append(f.pending, delivery{to: 0, from: from, report: r, at: f.now.Add(f.delay)})
}

// passOn sends a report that the first entry knows to all others but the one that made it.
func (f *fleet) passOn(from int, r ratelimit.Report) {
	f.reports++
	for to := 1; to < len(f.trackers); to++ {
		if to != from {
			f.pending = append(f.pending, delivery{to: to, from: from, report: r, at: f.now.Add(f.delay)})
		}
	}
}

// deliver delivers the reports that are due, in the order in which they were sent.
func (f *fleet) deliver() {
	for len(f.pending) > 0 && !f.pending[0].at.After(f.now) {
		d := f.pending[0]
		f.pending = f.pending[1:]
		f.receive(d)
	}
}

// receive makes an entry apply a report, with the age that its message has.
func (f *fleet) receive(d delivery) {
	m := d.report.Message(f.now)
	r := ratelimit.NewReport(m, m.At(f.now))
	change := f.trackers[d.to].Apply(r, f.now)
	if _, nothing := change.(ratelimit.NoChange); !nothing && d.to == 0 {
		f.passOn(d.from, r)
	}
	if r.Observation() == protocol.RateLimitWanted {
		f.lend(d.to)
	}
}

// lend makes an entry lend what it does not use.
func (f *fleet) lend(entry int) {
	for _, r := range f.trackers[entry].Lend(f.now) {
		f.spread(entry, r)
	}
}

// request makes an entry send a request to the endpoint if it may. The answer comes at once.
func (f *fleet) request(entry int) {
	t := f.trackers[entry]
	if r, ok := t.Want(endpoint, f.now); ok {
		f.spread(entry, r)
	}
	if !t.TakeAll([]protocol.EndpointProcess{endpoint}, f.now) {
		return
	}
	f.sent = append(f.sent, f.now)
	r, change := t.RecordAnswer(endpoint, f.limit, f.now.Add(-time.Millisecond), f.now)
	if _, nothing := change.(ratelimit.NoChange); !nothing {
		f.spread(entry, r)
	}
}

// name makes the endpoint's limit known to every entry at once.
func (f *fleet) name() {
	for _, t := range f.trackers {
		t.RecordAnswer(endpoint, f.limit, f.now, f.now)
	}
}

// run lets the entries send requests at random for a while, each as many a second as demand says.
func (f *fleet) run(duration time.Duration, demand func(entry int) float64) {
	const step = 10 * time.Millisecond
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliver()
		for i := range f.trackers {
			if f.random.Float64() < demand(i)*step.Seconds() {
				f.request(i)
			}
		}
		if f.now.UnixNano()%int64(time.Second) == 0 {
			for i := range f.trackers {
				f.lend(i)
			}
		}
	}
}

// most returns the highest number of requests in any limitWindow.
func (f *fleet) most() int {
	highest, begin := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[begin]) >= limitWindow {
			begin++
		}
		highest = max(highest, i-begin+1)
	}
	return highest
}
