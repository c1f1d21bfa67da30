// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"strings"
)

// restartEndpoint crashes an endpoint and restarts it at the same address, under the same ID or
// another one. With another ID, the record of the crashed process remains for some time and may
// reappear, as if a write had been in flight.
func (s *series) restartEndpoint() {
	tb := s.injection.testbed
	old := s.reserveForCrash()
	if old == nil {
		return
	}
	old.Stop()
	old.link.reset()
	s.pause(50, 1500)
	if s.rng.IntN(2) == 0 {
		s.injection.record("restart " + old.ID + " under its ID")
		tb.restart(old, old.ID)
		return
	}
	s.injection.record("restart " + old.ID + " under another ID")
	stale, _ := tb.store.Get("servers", old.ID)
	tb.restart(old, tb.nextID())
	s.pause(100, 2500)
	tb.store.Delete("servers", old.ID)
	if s.rng.IntN(2) == 0 {
		s.pause(50, 1000)
		tb.store.Put("servers", old.ID, stale)
		s.pause(100, 2500)
		tb.store.Delete("servers", old.ID)
	}
}

// writeInvalidRecords writes records that another program could write. One has the ID of no
// endpoint, the other replaces the record of an endpoint for some time.
func (s *series) writeInvalidRecords() {
	tb := s.injection.testbed
	e := s.endpoint()
	content := s.invalidRecord(e)
	unknownID := fmt.Sprint("foreign-", s.rng.IntN(1000))
	s.injection.record("invalid records of " + unknownID + " and " + e.ID)
	tb.store.Put("servers", unknownID, content)
	tb.store.Put("servers", e.ID, content)
	s.waitFaultDuration()
	tb.store.Delete("servers", unknownID)
	tb.updateRecord(e)
}

// invalidRecord returns random content for a record from which no entry can use the endpoint.
func (s *series) invalidRecord(e *endpoint) any {
	record := map[string]any{
		"service": e.service, "address": e.link.address(), "zone": e.dataCenter, "slots": 8, "state": "ready", "route_type": "t4",
		"layers": map[string]int{"from": 0, "target_version": 10},
	}
	switch s.rng.IntN(8) {
	case 0:
		return 7
	case 1:
		return []any{record}
	case 2:
		return strings.Repeat("x", 100_000)
	case 3:
		record["state"] = "exploded"
	case 4:
		delete(record, "service")
	case 5:
		record["address"] = "nowhere"
	case 6:
		record["layers"] = map[string]int{"from": 70, "target_version": 900}
	default:
		record["slots"] = "eight"
	}
	return record
}
