// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"fmt"
	"strings"
)

// restartEndpoint crashes an endpoint whose process starts again at its address, under its
// own ID or another one. The record of the process that is gone stays for a while and may
// come back, as a write does that was under way.
func (s *series) restartEndpoint() {
	w := s.storm.world
	old := s.doom()
	if old == nil {
		return
	}
	old.Stop()
	old.link.reset()
	s.pause(50, 1500)
	if s.draw.IntN(2) == 0 {
		s.storm.tell("restart " + old.ID + " under its ID")
		w.startAgain(old, old.ID)
		return
	}
	s.storm.tell("restart " + old.ID + " under another ID")
	stale, _ := w.store.Get("servers", old.ID)
	w.startAgain(old, w.nextID())
	s.pause(100, 2500)
	w.store.Delete("servers", old.ID)
	if s.draw.IntN(2) == 0 {
		s.pause(50, 1000)
		w.store.Put("servers", old.ID, stale)
		s.pause(100, 2500)
		w.store.Delete("servers", old.ID)
	}
}

// writeForeign writes records that another program could write: of nobody, and for a while
// in place of an endpoint's own.
func (s *series) writeForeign() {
	w := s.storm.world
	e := s.endpoint()
	content := s.foreign(e)
	nobody := fmt.Sprint("foreign-", s.draw.IntN(1000))
	s.storm.tell("foreign records of " + nobody + " and " + e.ID)
	w.store.Put("servers", nobody, content)
	w.store.Put("servers", e.ID, content)
	s.last()
	w.store.Delete("servers", nobody)
	w.rewrite(e)
}

// foreign draws what stands in a record that names no endpoint to use.
func (s *series) foreign(e *endpoint) any {
	record := map[string]any{
		"service": e.service, "address": e.link.address(), "zone": e.center, "slots": 8, "state": "ready", "route_type": "t4",
		"layers": map[string]int{"from": 0, "target_version": 10},
	}
	switch s.draw.IntN(8) {
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
