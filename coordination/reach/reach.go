// SPDX-License-Identifier: Apache-2.0

// Package reach decides whether an entry reaches endpoints by connections of its own.
//
// An entry can't tell by itself whether an endpoint is dead or its own path to the endpoint is cut. What
// parts them is another entry: if that one reaches the endpoint while this one doesn't, the path is cut.
// Two cut paths without any that works mean that the entry is cut off from all endpoints. It then uses the
// connections of other entries, and probes a few endpoints by its own until some answer:
//
//	tracker.Unreachable(address, known, now) // only another entry reached it
//	tracker.Reached(address, connectedAt)    // it answered on a connection of this entry
//	if !tracker.Direct(address) { /* connect through another entry */ }
//	for _, address := range tracker.TakeProbes(now, known) { /* connect, and call Reached and ProbeDone */ }
//
// What a Tracker holds concerns its own entry only, and is never told to others.
package reach

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// minBlocked is how many paths must be cut, without one that works, before all of them are taken to
	// be. A single one may be a fault near the endpoint.
	minBlocked = 2
	// minReached is how many endpoints must be reached again before the entry is no longer cut off.
	minReached = 2
	// probeInterval is the time between two rounds of probes.
	probeInterval = 500 * time.Millisecond
	// minProbes and maxProbes bound the probes of one round. The number begins with the smaller one and
	// doubles after each round in which all were answered.
	minProbes = 2
	maxProbes = 16
)

// Tracker tracks the paths to endpoints that are cut. The zero value has none.
type Tracker struct {
	blocked     map[string]*path // by the endpoint's address
	cutOff      bool
	reachedFrom time.Time       // latest time at which a connection was opened on which an endpoint answered
	reached     map[string]bool // addresses reached since the entry was cut off
	nextRound   time.Time
	probes      int // size of the next round
	pending     int // probes of the last round without a result
	failed      int // failed probes of the last round
}

// path is a path to an endpoint that is cut.
type path struct {
	since    time.Time
	probedAt time.Time
}

// Empty reports whether no path is cut, so that every endpoint may be reached directly.
func (t *Tracker) Empty() bool { return len(t.blocked) == 0 && !t.cutOff }

// CutOff reports whether the entry is cut off from all endpoints.
func (t *Tracker) CutOff() bool { return t.cutOff }

// Blocked returns how many paths are known to be cut.
func (t *Tracker) Blocked() int { return len(t.blocked) }

// Direct reports whether to connect to the endpoint at an address without another entry.
func (t *Tracker) Direct(address string) bool {
	if t.blocked[address] != nil {
		return false
	}
	return !t.cutOff || t.reached[address]
}

// Unreachable records that another entry reached the endpoint at an address when this entry did not. Known
// is the number of known endpoints.
func (t *Tracker) Unreachable(address string, known int, now time.Time) {
	if t.blocked == nil {
		t.blocked = make(map[string]*path)
	}
	if t.blocked[address] == nil {
		t.blocked[address] = &path{probedAt: now}
	}
	t.blocked[address].since = now
	delete(t.reached, address)
	if !t.cutOff && t.blockedSince(t.reachedFrom) >= min(minBlocked, known) {
		t.cutOff = true
		t.reached = make(map[string]bool)
		t.nextRound, t.probes, t.pending, t.failed = now, 0, 0, 0
	}
}

// blockedSince returns how many paths were found cut after a time.
func (t *Tracker) blockedSince(at time.Time) int {
	n := 0
	for _, p := range t.blocked {
		if p.since.After(at) {
			n++
		}
	}
	return n
}

// Reached records that the endpoint at an address answered on a connection that this entry opened at a
// time. Known is the number of known endpoints. A connection from before the path was cut does not show
// that a new one would work.
func (t *Tracker) Reached(address string, connectedAt time.Time, known int) {
	if connectedAt.After(t.reachedFrom) {
		t.reachedFrom = connectedAt
	}
	if p := t.blocked[address]; p != nil {
		if !connectedAt.After(p.since) {
			return
		}
		delete(t.blocked, address)
	}
	if !t.cutOff {
		return
	}
	t.reached[address] = true
	if len(t.reached) >= min(minReached, known) || len(t.blocked) == 0 {
		t.cutOff, t.reached = false, nil
	}
}

// TakeProbes returns the addresses to probe now by connections of this entry, among them other ones than
// those with cut paths if the entry seems cut off. Known returns the addresses of all endpoints, in random
// order.
func (t *Tracker) TakeProbes(now time.Time, known func() []string) []string {
	if t.Empty() || now.Before(t.nextRound) {
		return nil
	}
	t.planRound()
	t.nextRound = now.Add(probeInterval)
	addresses := t.longestUnprobed()
	if t.cutOff {
		addresses = t.withOthers(addresses, known())
	}
	addresses = addresses[:min(t.probes, len(addresses))]
	for _, a := range addresses {
		if p := t.blocked[a]; p != nil {
			p.probedAt = now
		}
	}
	t.pending, t.failed = len(addresses), 0
	return addresses
}

// longestUnprobed returns the addresses whose paths are cut, those first that were not probed for longest.
func (t *Tracker) longestUnprobed() []string {
	addresses := make([]string, 0, len(t.blocked))
	for a := range t.blocked {
		addresses = append(addresses, a)
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(t.blocked[a].probedAt.Compare(t.blocked[b].probedAt), strings.Compare(a, b))
	})
	return addresses
}

// withOthers returns addresses whose paths are cut and other known ones in turn.
func (t *Tracker) withOthers(blocked, known []string) []string {
	var mixed []string
	for _, a := range known {
		if t.blocked[a] != nil || t.reached[a] {
			continue
		}
		mixed = append(mixed, a)
		if len(blocked) > 0 {
			mixed, blocked = append(mixed, blocked[0]), blocked[1:]
		}
		if len(mixed) >= maxProbes {
			break
		}
	}
	return append(mixed, blocked...)
}

// planRound sets the size of the next round by the results of the last one.
func (t *Tracker) planRound() {
	if t.failed > 0 || t.pending > 0 || t.probes == 0 {
		t.probes = minProbes
		return
	}
	t.probes = min(2*t.probes, maxProbes)
}

// ProbeDone records the end of a probe, and whether the endpoint answered.
func (t *Tracker) ProbeDone(answered bool) {
	t.pending = max(0, t.pending-1)
	if !answered {
		t.failed++
	}
}

// Sweep forgets the paths to endpoints that do not exist any more.
func (t *Tracker) Sweep(exists func(address string) bool) {
	for a := range t.blocked {
		if !exists(a) {
			delete(t.blocked, a)
		}
	}
	if len(t.blocked) == 0 {
		t.cutOff, t.reached = false, nil
	}
}
