// SPDX-License-Identifier: Apache-2.0

package claim

import "pinerun.example/pinerun/protocol"

// Action is what the owner of a log does next: a Load, a Write, a Read or an Idle.
type Action interface{ action() }

// Load asks for every slot of the shard.
type Load struct{}

// Write asks for one conditional write.
type Write struct {
	slot            int
	expectedVersion protocol.Revision
	batch           protocol.ClaimBatch
}

// Slot returns the slot to write.
func (w Write) Slot() int { return w.slot }

// ExpectedVersion returns the version that the slot must have; the zero one means that it
// must not exist.
func (w Write) ExpectedVersion() protocol.Revision { return w.expectedVersion }

// Batch returns the batch to write.
func (w Write) Batch() protocol.ClaimBatch { return w.batch }

// Read asks for one slot.
type Read struct{ slot int }

// Slot returns the slot to read.
func (r Read) Slot() int { return r.slot }

// Idle says that there is nothing to do.
type Idle struct{}

func (Load) action()  {}
func (Write) action() {}
func (Read) action()  {}
func (Idle) action()  {}

// StoredSlot is the content of a slot in the platform. A slot that does not exist has the
// zero version.
type StoredSlot struct {
	Slot    int
	Version protocol.Revision
	Batch   protocol.ClaimBatch
}

// Verdict is the decision on a record.
type Verdict uint8

// The verdicts on a record.
const (
	Granted  Verdict = iota // the claim is durable: the request may run
	Held                    // another claimant holds the key and its request has no outcome yet
	Settled                 // the request has run; the existing record holds the answer
	Doubtful                // the request may have run, and this can't be found out
	Reused                  // the key belongs to a different request
	Expired                 // the key was issued too long ago to be sure that the request has not run
	Full                    // the log has no free slot until older claims expire
	Kept                    // a release or an outcome is durable
)

// String returns the name of the verdict, or "unknown" for one that only a newer version of
// another entry knows.
func (v Verdict) String() string {
	names := [...]string{"granted", "held", "settled", "doubtful", "reused", "expired", "full", "kept"}
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Result is the verdict on one record.
type Result struct {
	record   protocol.ClaimRecord
	verdict  Verdict
	existing protocol.ClaimRecord
}

// RemoteResult returns the result that another entry's log gave.
func RemoteResult(r protocol.ClaimRecord, v Verdict, existing protocol.ClaimRecord) Result {
	return Result{record: r, verdict: v, existing: existing}
}

// Record returns the record that was added.
func (r Result) Record() protocol.ClaimRecord { return r.record }

// Verdict returns the verdict on the record.
func (r Result) Verdict() Verdict { return r.verdict }

// Existing returns the record that the log holds under the key. If the verdict is Settled,
// it holds the answer.
func (r Result) Existing() protocol.ClaimRecord { return r.existing }
