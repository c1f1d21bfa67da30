// SPDX-License-Identifier: Apache-2.0

// Package quarantine detects work that crashes the endpoints that run it, and decides where such
// work may run.
//
// A Content is what requests may have in common: the whole work, identified by its fingerprint, and
// each part of its prompt that other requests may share. A failure accuses all of them, and a run that
// went well clears them. A request may crash the engine that starts to run it. Sent to another engine,
// it crashes that one too, and every request that ran next to it fails as well. Each entry
// therefore reports which work failed at which endpoint. A Tracker combines the reports of all
// entries:
//
//	switch s := tracker.Status(content, now).(type) {
//	case quarantine.Unrestricted:     // nothing is known against it
//	case quarantine.PreferIsolation:  // one crash: if possible, not where other suspected work runs
//	case quarantine.RequireIsolation: // two or more crashes: only where no other suspected work runs
//	case quarantine.Waiting:          // not before s.Until(): reports or probes may still be missing
//	case quarantine.Refused:          // not before s.Until()
//	}
//
// An entry that does not know yet whether an endpoint crashed reports that (RecordUnresolved) and
// later what it found out (RecordCrash, RecordAnswer). Work that may have been involved in two
// crashes waits for the result.
//
// Only confirmed crashes count, and only against work that had just started to run at the endpoint.
// Work is refused after three crashes if no other work was involved in all of them. Isolated runs
// separate it from work that merely ran next to it. Work that runs without a crash is cleared. A part
// of prompts is refused likewise, if the crashes came in different work; one that ran well before
// needs more crashes, because most requests may share it.
package quarantine
