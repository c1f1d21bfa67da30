// SPDX-License-Identifier: Apache-2.0

// Package addrowner decides which of several records with the same address is that of the
// process which owns the address.
//
// An endpoint that crashes leaves its record behind. One of its writes that was still in
// flight may bring the record back after the next process at that address has recorded
// itself. A Tracker holds all claims to an address, compares the evidence for them and
// selects at most one owner:
//
//	t.NextBatch()
//	t.Record(addrowner.Claim{Endpoint: "x", Address: a}, now)
//	t.NextBatch()
//	t.Record(addrowner.Claim{Endpoint: "y", Address: a}, now) // x is superseded
//	t.RecordRemoved("x", now)
//	t.Record(addrowner.Claim{Endpoint: "x", Address: a}, now) // x stays superseded
//	t.Answered(a, "x", 0, now)                                // x owns the address again
//
// Three kinds of evidence count: an answer from the address that names its process, the
// incarnations of two claims, and the order in which the claims were first seen. Later
// evidence outweighs earlier evidence.
package addrowner

import (
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Retention is how long a claim counts after its record was removed. A write that got no
// response may take effect seconds later and bring the record back.
const Retention = time.Minute

// ProbeInterval is the least time between two probes of an address. It bounds how long a
// running endpoint is excluded because its record looked like that of an earlier process.
const ProbeInterval = time.Second

// Claim is the claim of a record to an address.
type Claim struct {
	Endpoint    string
	Address     string
	Incarnation protocol.Incarnation
	// HoldsLayers says that the record lists layers. Among claims without other evidence,
	// the one without layers wins, because it is the safer choice.
	HoldsLayers bool
}

// Tracker holds the claims to all addresses. The zero value is empty.
type Tracker struct {
	addresses map[string]*addressState
	addressOf map[string]string // by endpoint, of its latest record
	removed   []removedClaim    // claims without a record, in the order in which they expire
	batch     uint64            // incremented by NextBatch and by each claim first seen without a record
}

// removedClaim is a claim without a record.
type removedClaim struct{ endpoint, address string }

// NextBatch begins a new list or change. Its records count as seen later than those of
// earlier batches. Records of one list belong to one batch, because the order in which they
// were written is not known.
func (t *Tracker) NextBatch() { t.batch++ }

// Record applies one record. A record without an address counts as the only one at an
// address of its own.
func (t *Tracker) Record(update Claim, now time.Time) {
	if update.Address == "" {
		update.Address = update.Endpoint
	}
	if old, ok := t.addressOf[update.Endpoint]; ok && old != update.Address {
		t.RecordRemoved(update.Endpoint, now)
	}
	s := t.state(update.Address)
	c := s.claimOf(update.Endpoint)
	switch {
	case c == nil:
		c = &claim{Claim: update, batch: t.batch, firstSeen: now}
		s.claims = append(s.claims, c)
		s.changedAt = now
	case c.Incarnation.Before(update.Incarnation):
		*c = claim{Claim: update, batch: t.batch, firstSeen: now}
		s.changedAt = now
	case !c.recorded:
		s.changedAt = now
	}
	c.recorded = true
	c.HoldsLayers = update.HoldsLayers
	if !c.Incarnation.Known() {
		c.Incarnation = update.Incarnation
	}
	t.addressOf[update.Endpoint] = update.Address
}

// RecordRemoved notes that the record of an endpoint was removed.
func (t *Tracker) RecordRemoved(endpoint string, now time.Time) {
	if c := t.claimOf(endpoint); c != nil && c.recorded {
		c.recorded = false
		t.retain(c, now)
	}
}

// Forget drops the claim of an endpoint.
func (t *Tracker) Forget(endpoint string) {
	if c := t.claimOf(endpoint); c != nil {
		t.drop(t.addresses[c.Address], c)
	}
}

// retain remembers a claim without a record for Retention.
func (t *Tracker) retain(c *claim, now time.Time) {
	c.retainedUntil = now.Add(Retention)
	t.removed = append(t.removed, removedClaim{endpoint: c.Endpoint, address: c.Address})
}

// Answered notes that the process at an address named itself. The incarnation is that of the
// process, 0 if it did not say.
func (t *Tracker) Answered(address, endpoint string, incarnation protocol.Incarnation, now time.Time) {
	s := t.state(address)
	c := s.claimOf(endpoint)
	if c == nil {
		t.batch++
		c = &claim{Claim: Claim{Endpoint: endpoint, Address: address, Incarnation: incarnation}, batch: t.batch, firstSeen: now}
		s.claims = append(s.claims, c)
		t.retain(c, now)
	}
	if incarnation.Before(c.Incarnation) || now.Before(c.answeredAt) {
		return // the answer is older than the evidence at hand
	}
	if incarnation.Known() {
		c.Incarnation = incarnation
	}
	c.answeredAt = now
	s.probedAt = now
	s.answeredAt = now
}

// InUse reports whether an endpoint owns its address.
func (t *Tracker) InUse(endpoint string) bool {
	s := t.addresses[t.addressOf[endpoint]]
	if s == nil {
		return false
	}
	o := s.owner()
	return o != nil && o.Endpoint == endpoint && o.recorded
}

// Owner returns the ID of the endpoint that owns the address of an endpoint, or "" if it is
// not known.
func (t *Tracker) Owner(endpoint string) string {
	s := t.addresses[t.addressOf[endpoint]]
	if s == nil {
		return ""
	}
	if o := s.owner(); o != nil {
		return o.Endpoint
	}
	return ""
}

// Incarnation returns the latest known incarnation of an endpoint.
func (t *Tracker) Incarnation(endpoint string) protocol.Incarnation {
	if c := t.claimOf(endpoint); c != nil {
		return c.Incarnation
	}
	return 0
}

// ProbeDue reports whether to probe the address of an endpoint for its owner now. If so, it
// notes that the address is probed. A probe is due if several records name the address and
// no process has answered since the last of them appeared, or if none of the records is in
// use. For the duration of grace, probing is left to other entries.
func (t *Tracker) ProbeDue(endpoint string, grace time.Duration, now time.Time) bool {
	s := t.addresses[t.addressOf[endpoint]]
	if s == nil || !s.needsProbe(now) || now.Before(s.changedAt.Add(grace)) || now.Before(s.probedAt.Add(grace)) {
		return false
	}
	s.probedAt = now
	return true
}

// MayProbe reports whether the address of an endpoint may be probed again, whatever is
// known of it. It may be if the last probe was at least ProbeInterval ago, or grace if that
// is longer. If so, MayProbe notes that the address is probed.
func (t *Tracker) MayProbe(endpoint string, grace time.Duration, now time.Time) bool {
	s := t.addresses[t.addressOf[endpoint]]
	if s == nil || now.Before(s.probedAt.Add(max(ProbeInterval, grace))) {
		return false
	}
	s.probedAt = now
	return true
}

// Sweep drops the claims whose records were removed more than Retention ago.
func (t *Tracker) Sweep(now time.Time) {
	for len(t.removed) > 0 {
		oldest := t.removed[0]
		s := t.addresses[oldest.address]
		var c *claim
		if s != nil {
			c = s.claimOf(oldest.endpoint)
		}
		if c != nil && !c.recorded && now.Before(c.retainedUntil) {
			return
		}
		t.removed = t.removed[1:]
		if c != nil && !c.recorded {
			t.drop(s, c)
		}
	}
}

// drop removes a claim, and its address if it was the last claim there.
func (t *Tracker) drop(s *addressState, c *claim) {
	s.claims = slices.DeleteFunc(s.claims, func(o *claim) bool { return o == c })
	if t.addressOf[c.Endpoint] == c.Address {
		delete(t.addressOf, c.Endpoint)
	}
	if len(s.claims) == 0 {
		delete(t.addresses, c.Address)
	}
}

// state returns the state of an address, which it creates if necessary.
func (t *Tracker) state(address string) *addressState {
	if t.addresses == nil {
		t.addresses = make(map[string]*addressState)
		t.addressOf = make(map[string]string)
	}
	s := t.addresses[address]
	if s == nil {
		s = &addressState{}
		t.addresses[address] = s
	}
	return s
}

// claimOf returns the claim that the latest record of an endpoint makes, or nil.
func (t *Tracker) claimOf(endpoint string) *claim {
	if s := t.addresses[t.addressOf[endpoint]]; s != nil {
		return s.claimOf(endpoint)
	}
	return nil
}
