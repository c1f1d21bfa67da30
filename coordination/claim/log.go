// SPDX-License-Identifier: Apache-2.0

// Package claim decides who may run a request that must run at most once.
//
// The claims of a shard form a log of batches in the platform. Batch n lives in
// slot n modulo Slots, and is written only on the condition that the slot still
// has the version that the writer has read. So a writer that succeeds has seen
// every batch before its own, whoever else believes that it writes this shard,
// and the first record of a key wins.
//
// A Log is pure. Its owner asks what to do and reports what came of it:
//
//	log.Add(record)
//	switch a := log.Next(now).(type) {
//	case claim.Load:  // read every slot, then log.Loaded(stored)
//	case claim.Write: // write a.Batch() to a.Slot() if its version is a.Known();
//	                  // then log.Wrote(version), log.Unwritten() or log.Doubt()
//	case claim.Read:  // read a.Slot(), then log.Found(stored)
//	case claim.Rest:  // nothing to do
//	}
//	for _, r := range log.Results() { ... }
package claim

import (
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// Slots is how many batches a shard keeps: at 12.5 writes a second, twice
	// what a retention of ten minutes needs.
	Slots = 16384
	// maxBatchRecords and maxBatchBytes bound one write.
	maxBatchRecords = 512
	maxBatchBytes   = 256 << 10
	recordBytes     = 96
	// skewMargin is how much longer than the retention a record is kept, so
	// that entries whose clocks differ by less agree on what has expired.
	skewMargin = time.Minute
)

// slot is what is known of one place of the ring: its version, and until when
// its records must be kept.
type slot struct {
	version uint64
	expiry  time.Time
}

// Log is one shard. The zero value must be loaded first. Retain is how long a
// key is remembered after it was issued; set it before use.
type Log struct {
	RetainUntil func(issued time.Time) time.Time

	loaded  bool
	next    uint64 // sequence of the next batch
	slots   map[int]slot
	index   map[protocol.ClaimKey]protocol.ClaimRecord
	pending []protocol.ClaimRecord
	written int  // how many of pending the write in flight holds
	doubt   bool // the slot of the next batch must be read first
	stale   bool // a read of the next slot was asked for
	results []Result
}

// Add queues a record; its result comes later.
func (l *Log) Add(r protocol.ClaimRecord) { l.pending = append(l.pending, r) }

// Withdraw takes a claim out that no write holds, and reports whether it did.
// A claim in doubt can't be withdrawn: release it instead.
func (l *Log) Withdraw(claimant uint64) bool {
	if l.written > 0 || l.doubt {
		return false
	}
	before := len(l.pending)
	l.pending = slices.DeleteFunc(l.pending, func(r protocol.ClaimRecord) bool {
		return r.Claimant == claimant && r.Kind == protocol.ClaimTaken
	})
	return len(l.pending) < before
}

// Refresh asks for the next slot to be read, to see what others have written.
func (l *Log) Refresh() { l.stale = true }

// Pending returns how many records wait.
func (l *Log) Pending() int { return len(l.pending) }

// Results returns the results since the last call.
func (l *Log) Results() []Result {
	r := l.results
	l.results = nil
	return r
}

// Next returns what to do. After a Write it must be told the end of that write
// before it is asked again.
func (l *Log) Next(now time.Time) Action {
	if !l.loaded {
		if len(l.pending) == 0 {
			return Idle{}
		}
		return Load{}
	}
	if l.doubt || l.stale {
		return Read{slot: l.nextSlot()}
	}
	l.judge(now)
	if len(l.pending) == 0 {
		return Idle{}
	}
	if l.slots[l.nextSlot()].expiry.After(now) {
		l.refuseFull()
		return Idle{}
	}
	return l.write()
}

func (l *Log) nextSlot() int { return int(l.next % Slots) }

// write makes a batch of the first pending records.
func (l *Log) write() Action {
	size := 0
	l.written = 0
	for _, r := range l.pending {
		size += recordBytes + len(r.Answer)
		if l.written == maxBatchRecords || l.written > 0 && size > maxBatchBytes {
			break
		}
		l.written++
	}
	return Write{
		slot: l.nextSlot(), known: l.slots[l.nextSlot()].version,
		batch: protocol.ClaimBatch{Sequence: l.next, Records: slices.Clone(l.pending[:l.written])},
	}
}

// Loaded takes every slot of the shard. It reports false when the slots do not
// fit together, because one was written meanwhile: load again.
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
	l.loaded, l.doubt, l.written = true, false, 0
	return true
}

// WriteSucceeded takes the success of the write in flight.
func (l *Log) WriteSucceeded(version uint64) {
	batch := protocol.ClaimBatch{Sequence: l.next, Records: slices.Clone(l.pending[:l.written])}
	for _, r := range batch.Records {
		v := Kept
		if r.Kind == protocol.ClaimTaken {
			v = Granted
		}
		l.result(r, v, r)
	}
	l.pending = slices.Delete(l.pending, 0, l.written)
	l.written = 0
	l.apply(StoredSlot{Slot: l.nextSlot(), Version: version, Batch: batch})
}

// WriteFailed notes that the write in flight had no effect.
func (l *Log) WriteFailed() { l.written = 0 }

// WriteUncertain notes that the write in flight met another version or that its answer
// was lost. What happened shows once the slot is read.
func (l *Log) WriteUncertain() { l.written, l.doubt = 0, true }

// SlotRead takes the slot of the next batch as read. Records of ours that turn out
// to be in the log get their results from the next call of Next.
func (l *Log) SlotRead(s StoredSlot) {
	l.doubt, l.stale = false, false
	switch {
	case s.Version == 0:
		delete(l.slots, l.nextSlot())
	case s.Batch.Sequence == l.next:
		l.apply(s)
		l.keptNow(s.Batch)
		l.doubt = true // others may have written further: read on
	case s.Batch.Sequence > l.next:
		l.loaded = false // a whole ring behind
	default:
		l.slots[l.nextSlot()] = slot{version: s.Version, expiry: l.slots[l.nextSlot()].expiry}
	}
}

// keptNow gives results to the pending records that a found batch holds, so
// that none is written twice. A claim that was released in the same batch is
// held no more, and never granted.
func (l *Log) keptNow(b protocol.ClaimBatch) {
	l.pending = slices.DeleteFunc(l.pending, func(r protocol.ClaimRecord) bool {
		if !holds(b, r) {
			return false
		}
		verdict := Kept
		if r.Kind == protocol.ClaimTaken {
			verdict = Held
			if l.owns(r) {
				verdict = Granted
			}
		}
		l.result(r, verdict, l.index[r.Key])
		return true
	})
}

func holds(b protocol.ClaimBatch, r protocol.ClaimRecord) bool {
	return slices.ContainsFunc(b.Records, func(x protocol.ClaimRecord) bool {
		return x.Kind == r.Kind && x.Key == r.Key && x.Claimant == r.Claimant
	})
}

// apply adds the next batch of the log to the index.
func (l *Log) apply(s StoredSlot) {
	for _, r := range s.Batch.Records {
		l.applyRecord(r)
	}
	l.slots[s.Slot] = slot{version: s.Version, expiry: l.expiryOf(s.Batch)}
	l.next = s.Batch.Sequence + 1
}

// expiryOf returns until when a batch must be kept.
func (l *Log) expiryOf(b protocol.ClaimBatch) time.Time {
	var last time.Time
	for _, r := range b.Records {
		if till := l.RetainUntil(time.UnixMilli(r.IssuedMS)).Add(skewMargin); till.After(last) {
			last = till
		}
	}
	return last
}

// applyRecord lets the first claim of a key win, and only its claimant release
// or settle it. A release is remembered until another claim comes, so that a
// copy of the released claim that lands late holds nothing.
func (l *Log) applyRecord(r protocol.ClaimRecord) {
	held, found := l.index[r.Key]
	free := !found || held.Kind == protocol.ClaimReleased
	own := found && held.Claimant == r.Claimant
	switch r.Kind {
	case protocol.ClaimTaken:
		if free && !own {
			l.index[r.Key] = r
		}
	case protocol.ClaimReleased:
		if free || own && held.Kind == protocol.ClaimTaken {
			l.index[r.Key] = r
		}
	default:
		if own && !free {
			l.index[r.Key] = r
		}
	}
}

// Expire drops keys that are remembered no longer, to bound memory.
func (l *Log) Expire(now time.Time) {
	for k, r := range l.index {
		if now.After(l.RetainUntil(time.UnixMilli(r.IssuedMS)).Add(skewMargin)) {
			delete(l.index, k)
		}
	}
}

// KeyCount returns how many keys are held or settled.
func (l *Log) KeyCount() int {
	held := 0
	for _, r := range l.index {
		if r.Kind != protocol.ClaimReleased {
			held++
		}
	}
	return held
}
