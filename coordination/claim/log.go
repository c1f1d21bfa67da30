// SPDX-License-Identifier: Apache-2.0

// Package claim decides which claimant may run a request that must run at most once.
//
// The claims of a shard form a log of batches in the platform. Batch n is stored in slot n
// modulo Slots. It is written only if the slot still has the version that the writer has
// read. So a writer that succeeds has seen every earlier batch, even if other entries also
// believe that they write this shard, and the first record of a key wins.
//
// A Log does no input or output. Its owner asks for the next action and reports the result:
//
//	log.Add(record)
//	switch a := log.Next(now).(type) {
//	case claim.Load:  // read every slot, then log.Loaded(stored)
//	case claim.Write: // write a.Batch() to a.Slot() if its version is a.ExpectedVersion(), then
//	                  // log.WriteSucceeded(version), log.WriteFailed() or log.WriteUncertain()
//	case claim.Read:  // read a.Slot(), then log.SlotRead(stored)
//	case claim.Idle:  // nothing to do
//	}
//	for _, r := range log.Results() { ... }
package claim

import (
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// Slots is how many batches a shard holds: at 12.5 writes a second, about twice what a
	// retention of ten minutes needs.
	Slots = 16384
	// maxBatchRecords and maxBatchBytes bound one write. recordBytes is the approximate size
	// of a record without its answer.
	maxBatchRecords = 512
	maxBatchBytes   = 256 << 10
	recordBytes     = 96
	// skewMargin is how much longer than the retention a record is kept. Entries whose clocks
	// differ by less than that agree on which keys have expired.
	skewMargin = time.Minute
)

// slot is what is known of one slot: its version, and until when its records must be kept.
type slot struct {
	version protocol.Revision
	expiry  time.Time
}

// Log is one shard. The zero value must be loaded first. RetainUntil returns until when a
// key is remembered, given when it was issued; set it before use.
type Log struct {
	RetainUntil func(issued time.Time) time.Time

	loaded    bool
	next      uint64 // sequence number of the next batch
	slots     map[int]slot
	index     map[protocol.ClaimKey]protocol.ClaimRecord
	pending   []protocol.ClaimRecord
	inFlight  int  // how many of the pending records the write in flight contains
	uncertain bool // the slot of the next batch must be read first
	refresh   bool // the caller asked for a read of the next slot
	results   []Result
}

// Add queues a record. Its result comes with a later call of Results.
func (l *Log) Add(r protocol.ClaimRecord) { l.pending = append(l.pending, r) }

// Withdraw removes the pending claim of a claimant and reports whether it did. While a
// write is in flight or its effect is uncertain, a claim can't be withdrawn: release it
// instead.
func (l *Log) Withdraw(claimant uint64) bool {
	if l.inFlight > 0 || l.uncertain {
		return false
	}
	before := len(l.pending)
	l.pending = slices.DeleteFunc(l.pending, func(r protocol.ClaimRecord) bool {
		return r.Claimant == claimant && r.Kind == protocol.ClaimTaken
	})
	return len(l.pending) < before
}

// Refresh asks for the next slot to be read, to find batches of other writers.
func (l *Log) Refresh() { l.refresh = true }

// Pending returns the number of pending records.
func (l *Log) Pending() int { return len(l.pending) }

// Results returns the results since the last call.
func (l *Log) Results() []Result {
	r := l.results
	l.results = nil
	return r
}

// Next returns the next action. After a Write, its result must be reported before Next is
// called again.
func (l *Log) Next(now time.Time) Action {
	if !l.loaded {
		if len(l.pending) == 0 {
			return Idle{}
		}
		return Load{}
	}
	if l.uncertain || l.refresh {
		return Read{slot: l.nextSlot()}
	}
	l.decidePending(now)
	if len(l.pending) == 0 {
		return Idle{}
	}
	if l.slots[l.nextSlot()].expiry.After(now) {
		l.refuseFull()
		return Idle{}
	}
	return l.write()
}

// nextSlot returns the slot of the next batch.
func (l *Log) nextSlot() int { return int(l.next % Slots) }

// write returns the write of a batch with the first pending records.
func (l *Log) write() Action {
	size := 0
	l.inFlight = 0
	for _, r := range l.pending {
		size += recordBytes + len(r.Answer)
		if l.inFlight == maxBatchRecords || l.inFlight > 0 && size > maxBatchBytes {
			break
		}
		l.inFlight++
	}
	return Write{
		slot: l.nextSlot(), expectedVersion: l.slots[l.nextSlot()].version,
		batch: protocol.ClaimBatch{Sequence: l.next, Records: slices.Clone(l.pending[:l.inFlight])},
	}
}

// Loaded builds the log from every slot of the shard. It reports false if the slots are
// inconsistent because one was written during the load. The caller must then load them
// again.
func (l *Log) Loaded(all []StoredSlot) bool {
	l.index = map[protocol.ClaimKey]protocol.ClaimRecord{}
	l.slots = map[int]slot{}
	l.next = 0
	slices.SortFunc(all, func(a, b StoredSlot) int { return int(a.Batch.Sequence) - int(b.Batch.Sequence) })
	for i, s := range all {
		if s.Slot < 0 || s.Slot >= Slots || i > 0 && s.Batch.Sequence != all[i-1].Batch.Sequence+1 {
			return false
		}
		l.apply(s)
	}
	l.loaded, l.uncertain, l.inFlight = true, false, 0
	return true
}

// WriteSucceeded records that the write in flight succeeded.
func (l *Log) WriteSucceeded(version protocol.Revision) {
	batch := protocol.ClaimBatch{Sequence: l.next, Records: slices.Clone(l.pending[:l.inFlight])}
	for _, r := range batch.Records {
		v := Kept
		if r.Kind == protocol.ClaimTaken {
			v = Granted
		}
		l.addResult(r, v, r)
	}
	l.pending = slices.Delete(l.pending, 0, l.inFlight)
	l.inFlight = 0
	l.apply(StoredSlot{Slot: l.nextSlot(), Version: version, Batch: batch})
}

// WriteFailed records that the write in flight had no effect.
func (l *Log) WriteFailed() { l.inFlight = 0 }

// WriteUncertain records that the write in flight met another version or that its answer
// was lost. A read of the slot then shows what happened.
func (l *Log) WriteUncertain() { l.inFlight, l.uncertain = 0, true }

// SlotRead handles the content of the next batch's slot, as read from the platform. Pending
// records that turn out to be in the log get their results at once.
func (l *Log) SlotRead(s StoredSlot) {
	l.uncertain, l.refresh = false, false
	switch {
	case s.Version.IsZero():
		delete(l.slots, l.nextSlot())
	case s.Batch.Sequence == l.next:
		l.apply(s)
		l.decideFound(s.Batch)
		l.uncertain = true // later batches may exist: read the next slot as well
	case s.Batch.Sequence > l.next:
		l.loaded = false // the log is a whole ring behind
	default:
		l.slots[l.nextSlot()] = slot{version: s.Version, expiry: l.slots[l.nextSlot()].expiry}
	}
}

// decideFound gives results to the pending records that a found batch contains, so that
// none is written twice. A claim that was released in the same batch is no longer held and
// is never granted.
func (l *Log) decideFound(b protocol.ClaimBatch) {
	l.pending = slices.DeleteFunc(l.pending, func(r protocol.ClaimRecord) bool {
		if !contains(b, r) {
			return false
		}
		verdict := Kept
		if r.Kind == protocol.ClaimTaken {
			verdict = Held
			if l.holdsClaim(r) {
				verdict = Granted
			}
		}
		l.addResult(r, verdict, l.index[r.Key])
		return true
	})
}

// contains reports whether the batch contains the record.
func contains(b protocol.ClaimBatch, r protocol.ClaimRecord) bool {
	return slices.ContainsFunc(b.Records, func(x protocol.ClaimRecord) bool {
		return x.Kind == r.Kind && x.Key == r.Key && x.Claimant == r.Claimant
	})
}

// apply adds the next batch of the log to the index.
func (l *Log) apply(s StoredSlot) {
	for _, r := range s.Batch.Records {
		l.applyRecord(r)
	}
	l.slots[s.Slot] = slot{version: s.Version, expiry: l.expiry(s.Batch)}
	l.next = s.Batch.Sequence + 1
}

// expiry returns until when a batch must be kept.
func (l *Log) expiry(b protocol.ClaimBatch) time.Time {
	var latest time.Time
	for _, r := range b.Records {
		if until := l.RetainUntil(time.UnixMilli(r.IssuedMS)).Add(skewMargin); until.After(latest) {
			latest = until
		}
	}
	return latest
}

// applyRecord lets the first claim of a key win, and lets only its claimant release or
// settle it. A release stays in the index until another claim replaces it, so that a
// delayed duplicate of the released claim takes no effect.
func (l *Log) applyRecord(r protocol.ClaimRecord) {
	existing, found := l.index[r.Key]
	free := !found || existing.Kind == protocol.ClaimReleased
	own := found && existing.Claimant == r.Claimant
	switch r.Kind {
	case protocol.ClaimTaken:
		if free && !own {
			l.index[r.Key] = r
		}
	case protocol.ClaimReleased:
		if free || own && existing.Kind == protocol.ClaimTaken {
			l.index[r.Key] = r
		}
	default:
		if own && !free {
			l.index[r.Key] = r
		}
	}
}

// Expire drops keys that are no longer remembered, which bounds the memory.
func (l *Log) Expire(now time.Time) {
	for k, r := range l.index {
		if now.After(l.RetainUntil(time.UnixMilli(r.IssuedMS)).Add(skewMargin)) {
			delete(l.index, k)
		}
	}
}

// KeyCount returns the number of keys that are claimed or settled.
func (l *Log) KeyCount() int {
	count := 0
	for _, r := range l.index {
		if r.Kind != protocol.ClaimReleased {
			count++
		}
	}
	return count
}
