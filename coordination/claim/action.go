// SPDX-License-Identifier: Apache-2.0

package claim

import "pinerun.example/pinerun/protocol"

// Action is what the owner of a log does next.
type Action interface{ action() }

// Load asks for every slot of the shard.
type Load struct{}

// Write asks for one conditional write.
type Write struct {
	slot  int
	known uint64
	batch protocol.ClaimBatch
}

// Slot returns where to write.
func (w Write) Slot() int { return w.slot }

// ExpectedVersion returns the version that the slot must have, 0 for none.
func (w Write) ExpectedVersion() uint64 { return w.known }

// Batch returns what to write.
func (w Write) Batch() protocol.ClaimBatch { return w.batch }

// Read asks for one slot.
type Read struct{ slot int }

// Slot returns which.
func (r Read) Slot() int { return r.slot }

// Idle says that nothing is to be done.
type Idle struct{}

func (Load) action()  {}
func (Write) action() {}
func (Read) action()  {}
func (Idle) action()  {}

// StoredSlot is a slot's content in the platform. A slot that does not exist has
// version 0.
type StoredSlot struct {
	Slot    int
	Version uint64
	Batch   protocol.ClaimBatch
}

// Verdict is what became of a claim.
type Verdict uint8

// The verdicts on a claim.
const (
	Granted  Verdict = iota // the claim is durable: run the request
	Held                    // another claimant holds the key and has not settled
	Settled                 // it ran; the result holds the record with its answer
	Doubtful                // it may have run, and nobody can tell
	Reused                  // the key stands for another request
	Expired                 // issued too long ago to be sure that it has not run
	Full                    // no room until older claims expire
	Kept                    // a release or outcome is durable
)

// String returns the verdict in a word. One that another entry gave and this one
// does not know is "unknown".
func (v Verdict) String() string {
	words := [...]string{"granted", "held", "settled", "doubtful", "reused", "expired", "full", "kept"}
	if int(v) >= len(words) {
		return "unknown"
	}
	return words[v]
}

// Result is a verdict on one record.
type Result struct {
	record  protocol.ClaimRecord
	verdict Verdict
	held    protocol.ClaimRecord
}

// RemoteResult returns the result that another entry's log gave.
func RemoteResult(r protocol.ClaimRecord, v Verdict, held protocol.ClaimRecord) Result {
	return Result{record: r, verdict: v, held: held}
}

// Record returns the record that was added.
func (r Result) Record() protocol.ClaimRecord { return r.record }

// Verdict returns what became of it.
func (r Result) Verdict() Verdict { return r.verdict }

// Existing returns the record that stands under the key; for Settled it holds the
// answer.
func (r Result) Existing() protocol.ClaimRecord { return r.held }
