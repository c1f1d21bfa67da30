// SPDX-License-Identifier: Apache-2.0

// Package soak contains randomized fault-injection soak tests. The tests run the real
// program as separate processes against a stand-in platform and inject faults from
// outside. They check the guarantees of the users' rules against what callers and
// endpoints observe.
//
// The connections from callers to entries, from entries to the store and from entries to
// endpoints pass through loopback proxies, which delay them, reset them, or block one or
// both directions. Signals stop, pause, kill and restart processes. The store and the
// endpoints fail, and the routing table changes. Several series of faults run in
// parallel. One seed determines the faults of a run:
//
//	go test ./soak                               // the seeds of CI
//	go test ./soak -soak.seeds 50 -soak.parallel 4 -timeout 60m
//	go test ./soak -soak.seed 1234               // repeat one run
//	go test ./soak -soak.entries 60              // more entries
//	go test ./soak -soak.race                    // build the program with the race detector
//
// TestEveryRequestHasAnEnd is a run of its own, in which callers count what became of each request:
//
//	go test ./soak -run TestEveryRequestHasAnEnd/standstills -soak.count 30s -soak.count.seed 7 -v
//
// Entries store nothing on disk and don't compare wall-clock times, so the tests inject no
// disk or clock faults.
package soak
