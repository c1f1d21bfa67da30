// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"slices"
	"strconv"
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

// restoreStore has the store go away for a moment and come back from a copy. What entries wrote since the
// copy is gone; the operator and the endpoints write again what they had written.
func (s *series) restoreStore() {
	tb := s.injection.testbed
	c := tb.store.Copy()
	s.pause(100, 4000)
	tb.writeUnrelated(s.rng.IntN(maxUnrelated))
	tb.tableMutex.Lock()
	defer tb.tableMutex.Unlock()
	s.injection.record("restore the store")
	tb.store.Fail(platformtest.StoreFaults{Down: true})
	s.pause(10, 1000)
	tb.store.Restore(c)
	tb.store.Fail(platformtest.StoreFaults{})
	s.pause(10, 500)
	tb.putTable()
	s.pause(10, 1200) // until the endpoints' next heartbeats
	tb.rewriteRecords()
}

// maxUnrelated bounds the writes of others between a copy and its restore. They keep revisions after
// the restore below those before.
const maxUnrelated = 100

// writeUnrelated writes objects that no entry reads.
func (tb *testbed) writeUnrelated(n int) {
	for i := range n {
		tb.store.Put("unrelated", strconv.Itoa(i), i)
	}
}

// restoreStore restores a copy far behind, and waits until the bounds apply again.
func (r *recovery) restoreStore() {
	tb := r.testbed
	c := tb.store.Copy()
	tb.writeUnrelated(maxUnrelated)
	tb.changeTable(permanentKey, spareKey)
	time.Sleep(configBound)
	tb.store.Restore(c)
	tb.putTable()
	tb.rewriteRecords()
	time.Sleep(settleTime)
}

// rewriteRecords writes the records of all endpoints again, and deletes those of endpoints that are gone.
func (tb *testbed) rewriteRecords() {
	var known []string
	for _, e := range tb.allEndpoints() {
		known = append(known, e.ID)
		if _, exists := tb.store.Get("servers", e.ID); exists || !e.isRemoved() {
			tb.updateRecord(e)
		}
	}
	for _, name := range tb.store.Names("servers") {
		if !slices.Contains(known, name) {
			tb.store.Delete("servers", name)
		}
	}
}

func (e *endpoint) isRemoved() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.removed
}
