// SPDX-License-Identifier: Apache-2.0

// Package occupant decides which of several records of an address is that of the process
// which has the address.
//
// An endpoint that dies leaves its record behind, and a write of its that was under way may
// bring it back after the next process at that address has recorded itself. A Ledger holds
// every claim to an address, weighs the evidence for each and names one occupant at most:
//
//	l.Next()
//	l.Record(occupant.Claim{Endpoint: "x", Address: a}, now)
//	l.Next()
//	l.Record(occupant.Claim{Endpoint: "y", Address: a}, now) // x is superseded
//	l.Gone("x", now)
//	l.Record(occupant.Claim{Endpoint: "x", Address: a}, now) // and stays so
//	l.Answered(a, "x", 0, now)                               // until it answers itself
//
// What counts, the later before the earlier: an answer from the address that names its
// process; the starts that two claims tell; which of them was seen first.
package addrowner

import (
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Retention is how long a claim counts after its record has gone. A write without an answer
// may take effect seconds later and bring the record back.
const Retention = time.Minute

// ProbeInterval is how often an address is asked whose records are all out of use. It bounds how
// long an endpoint that lives is left out because its record looked like an earlier one's.
const ProbeInterval = time.Second

// Claim is what a record says of who has an address.
type Claim struct {
	Endpoint    string
	Address     string
	Incarnation protocol.Incarnation
	// HoldsLayers says that the record promises layers. Of claims that nothing else tells apart
	// the one that promises nothing is the safer.
	HoldsLayers bool
}

// Tracker holds the claims to all addresses. The zero value is empty.
type Tracker struct {
	sites    map[string]*site
	address  map[string]string // by endpoint, of its latest record
	departed []departure       // in the order in which they are forgotten
	number   uint64            // of Next calls, and of claims seen without a record
}

// departure is a claim without a record.
type departure struct{ endpoint, address string }

// NextBatch begins a new list or change, whose records count as later than those before. Between
// the records of one list there is no NextBatch: in which order they were written is not known.
func (l *Tracker) NextBatch() { l.number++ }

// Record takes one record. One without an address counts as alone at an address of its own.
func (l *Tracker) Record(c Claim, now time.Time) {
	if c.Address == "" {
		c.Address = c.Endpoint
	}
	if old, ok := l.address[c.Endpoint]; ok && old != c.Address {
		l.RecordRemoved(c.Endpoint, now)
	}
	s := l.site(c.Address)
	k := s.claimOf(c.Endpoint)
	switch {
	case k == nil:
		k = &claim{Claim: c, number: l.number, seen: now}
		s.claims = append(s.claims, k)
		s.changed = now
	case k.Incarnation.Before(c.Incarnation):
		*k = claim{Claim: c, number: l.number, seen: now}
		s.changed = now
	case !k.recorded:
		s.changed = now
	}
	k.recorded = true
	k.HoldsLayers = c.HoldsLayers
	if !k.Incarnation.Known() {
		k.Incarnation = c.Incarnation
	}
	l.address[c.Endpoint] = c.Address
}

// RecordRemoved notes that a record is gone.
func (l *Tracker) RecordRemoved(endpoint string, now time.Time) {
	if k := l.claimOf(endpoint); k != nil && k.recorded {
		k.recorded = false
		l.depart(k, now)
	}
}

// Forget takes back all that is known of the claim of an endpoint.
func (l *Tracker) Forget(endpoint string) {
	if k := l.claimOf(endpoint); k != nil {
		l.drop(l.sites[k.Address], k)
	}
}

// depart remembers a claim without a record for a while.
func (l *Tracker) depart(k *claim, now time.Time) {
	k.till = now.Add(Retention)
	l.departed = append(l.departed, departure{endpoint: k.Endpoint, address: k.Address})
}

// Answered notes that the process at an address named itself. The life is its present one, 0
// if it did not tell.
func (l *Tracker) Answered(address, endpoint string, life protocol.Incarnation, now time.Time) {
	s := l.site(address)
	k := s.claimOf(endpoint)
	if k == nil {
		l.number++
		k = &claim{Claim: Claim{Endpoint: endpoint, Address: address, Incarnation: life}, number: l.number, seen: now}
		s.claims = append(s.claims, k)
		l.depart(k, now)
	}
	if life.Before(k.Incarnation) || now.Before(k.proven) {
		return // an answer that was under way for long
	}
	if life.Known() {
		k.Incarnation = life
	}
	k.proven = now
	s.asked = now
	s.answered = now
}

// InUse reports whether an endpoint is the occupant of its address.
func (l *Tracker) InUse(endpoint string) bool {
	s := l.sites[l.address[endpoint]]
	if s == nil {
		return false
	}
	o := s.occupant()
	return o != nil && o.Endpoint == endpoint && o.recorded
}

// Owner returns the ID of the endpoint that has an endpoint's address, as far as is known.
func (l *Tracker) Owner(endpoint string) string {
	s := l.sites[l.address[endpoint]]
	if s == nil {
		return ""
	}
	if o := s.occupant(); o != nil {
		return o.Endpoint
	}
	return ""
}

// Incarnation returns the latest life of an endpoint that is known.
func (l *Tracker) Incarnation(endpoint string) protocol.Incarnation {
	if k := l.claimOf(endpoint); k != nil {
		return k.Incarnation
	}
	return 0
}

// ProbeDue reports whether the address of an endpoint should be asked now who has it, and
// notes that it is asked. It should be if several records name it and nothing has answered
// since the last of them came, or if none that names it is in use. Patience is how long
// asking is left to other entries.
func (l *Tracker) ProbeDue(endpoint string, patience time.Duration, now time.Time) bool {
	s := l.sites[l.address[endpoint]]
	if s == nil || !s.unclear(now) || now.Before(s.changed.Add(patience)) || now.Before(s.asked.Add(patience)) {
		return false
	}
	s.asked = now
	return true
}

// MayProbe reports whether the address of an endpoint may be asked again, whatever is known of it:
// the last time was AskEvery ago, or patience if that is longer. It notes that it is asked.
func (l *Tracker) MayProbe(endpoint string, patience time.Duration, now time.Time) bool {
	s := l.sites[l.address[endpoint]]
	if s == nil || now.Before(s.asked.Add(max(ProbeInterval, patience))) {
		return false
	}
	s.asked = now
	return true
}

// Sweep forgets claims whose records went long ago.
func (l *Tracker) Sweep(now time.Time) {
	for len(l.departed) > 0 {
		d := l.departed[0]
		s := l.sites[d.address]
		var k *claim
		if s != nil {
			k = s.claimOf(d.endpoint)
		}
		if k != nil && !k.recorded && now.Before(k.till) {
			return
		}
		l.departed = l.departed[1:]
		if k != nil && !k.recorded {
			l.drop(s, k)
		}
	}
}

// drop forgets a claim, and its address if it was the last one there.
func (l *Tracker) drop(s *site, k *claim) {
	s.claims = slices.DeleteFunc(s.claims, func(o *claim) bool { return o == k })
	if l.address[k.Endpoint] == k.Address {
		delete(l.address, k.Endpoint)
	}
	if len(s.claims) == 0 {
		delete(l.sites, k.Address)
	}
}

// site returns an address with its claims, and enters it if it is new.
func (l *Tracker) site(address string) *site {
	if l.sites == nil {
		l.sites = make(map[string]*site)
		l.address = make(map[string]string)
	}
	s := l.sites[address]
	if s == nil {
		s = &site{}
		l.sites[address] = s
	}
	return s
}

// claimOf returns the claim that the latest record of an endpoint makes, or nil.
func (l *Tracker) claimOf(endpoint string) *claim {
	if s := l.sites[l.address[endpoint]]; s != nil {
		return s.claimOf(endpoint)
	}
	return nil
}
