// SPDX-License-Identifier: Apache-2.0

// Package quarantine finds the work that ends each endpoint which runs it, and says who may run
// what until it is found.
//
// A request may crash the engine that begins to run it. Sent on, it crashes the next one, and
// everything that ran beside it breaks as well. So each entry reports which work broke at which
// endpoint, and a Book, fed with the reports of all entries, judges:
//
//	switch s := book.Status(work, now).(type) {
//	case quarantine.Free:    // nothing is known against it
//	case quarantine.Apart:   // it was at one end: not where other such work is, if possible
//	case quarantine.Alone:   // at two or more: only where no other such work is
//	case quarantine.Waiting: // not before s.Till(): what the last end shows is not known yet
//	case quarantine.Refused: // not before s.Till()
//	}
//
// An entry that can't tell yet whether an endpoint has ended says so (Doubt), and what it finds out (Ended,
// Lives); work that may have been at two ends waits for that.
//
// Only ends of endpoints count that are known for themselves, and only the work that had just
// begun to run there. Work is refused once it was at three ends and no other work was at all of
// them; what was beside it is told apart by running each piece alone. Whatever runs well is
// cleared.
package quarantine
