// SPDX-License-Identifier: Apache-2.0

package deadconn

import "time"

const (
	// maxDoubted is how many streams of an endpoint are doubted at the same time at most. Each costs
	// engines a further prefill. It begins with one and doubles each time that a guess was right,
	// since a device that forgets one connection forgets others as well.
	maxDoubted = 4
	// refutedPause is how long no stream of an endpoint is doubted after a guess was wrong.
	refutedPause = 5 * time.Second
)

// Tracker bounds the doubted streams of each endpoint. The zero value doubts none.
type Tracker struct {
	endpoints map[string]*doubts
}

// doubts is the state of one endpoint.
type doubts struct {
	open        int // doubted streams
	confirmed   int // right guesses since the last wrong one
	pausedUntil time.Time
}

// limit returns how many streams may be doubted at the same time.
func (d *doubts) limit() int {
	return min(maxDoubted, 1<<min(d.confirmed, maxDoubted))
}

// Begin reports whether one more stream of an endpoint may be doubted, and counts it. Confirm, Refute
// or End has to follow.
func (t *Tracker) Begin(endpoint string, now time.Time) bool {
	d := t.endpoints[endpoint]
	if d == nil {
		if t.endpoints == nil {
			t.endpoints = make(map[string]*doubts)
		}
		d = &doubts{}
		t.endpoints[endpoint] = d
	}
	if d.open >= d.limit() || now.Before(d.pausedUntil) {
		return false
	}
	d.open++
	return true
}

// Confirm notes that a doubted stream went on over another connection, while the doubted one stayed
// silent.
func (t *Tracker) Confirm(endpoint string) {
	if d := t.end(endpoint); d != nil {
		d.confirmed++
	}
}

// Refute notes that a doubted connection delivered an event.
func (t *Tracker) Refute(endpoint string, now time.Time) {
	if d := t.end(endpoint); d != nil {
		d.confirmed = 0
		d.pausedUntil = now.Add(refutedPause)
	}
}

// End notes that a doubted stream ended and it is not known whether its connection was dead.
func (t *Tracker) End(endpoint string) { t.end(endpoint) }

func (t *Tracker) end(endpoint string) *doubts {
	d := t.endpoints[endpoint]
	if d != nil && d.open > 0 {
		d.open--
	}
	return d
}

// Sweep forgets the endpoints that are not known any more and that no doubted stream refers to.
func (t *Tracker) Sweep(known func(endpoint string) bool) {
	for id, d := range t.endpoints {
		if d.open == 0 && !known(id) {
			delete(t.endpoints, id)
		}
	}
}
