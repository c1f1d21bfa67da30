// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"crypto/sha256"
	"encoding/binary"
)

// ClaimKey names a keyed request of one team: a hash of both.
type ClaimKey [16]byte

// NewClaimKey returns the key of a team's Idempotency-Key.
func NewClaimKey(team, key string) ClaimKey {
	h := sha256.New()
	_ = binary.Write(h, binary.BigEndian, uint32(len(team)))
	h.Write([]byte(team))
	h.Write([]byte(key))
	return ClaimKey(h.Sum(nil)[:16])
}

// Shard returns the claim shard of the key among that many.
func (k ClaimKey) Shard(shards int) int {
	return int(binary.BigEndian.Uint32(k[:4]) % uint32(shards))
}

// ClaimKind tells the records of a claim log apart.
type ClaimKind uint8

// The kinds of claim records.
const (
	ClaimTaken     ClaimKind = iota // the claimant may run the request
	ClaimReleased                   // the claimant has not run it and never will
	ClaimSettled                    // it ran; the record holds the answer if small
	ClaimUncertain                  // the claimant can't tell whether it ran
)

// ClaimRecord is one line of a claim log.
type ClaimRecord struct {
	_           struct{} `cbor:",toarray"`
	Kind        ClaimKind
	Key         ClaimKey
	Digest      uint64 // of the request, to refuse another one under the same key
	Claimant    uint64 // drawn anew for each try of a caller
	IssuedMS    int64  // unix milliseconds at which the caller first issued it
	Status      int
	Type        string
	Answer      []byte
	Holder      string // the entry that took the claim
	Incarnation uint64 // the holder's incarnation, so that its next life is told apart
}

// ClaimBatch is the value of one log slot: the records that were made durable
// by one write. Sequence counts the batches of a shard from 0.
type ClaimBatch struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Records  []ClaimRecord
}

// EncodeClaims returns a batch's bytes.
func EncodeClaims(b ClaimBatch) ([]byte, error) { return encoder.Marshal(b) }

// DecodeClaims reads a batch.
func DecodeClaims(b []byte) (ClaimBatch, error) {
	var batch ClaimBatch
	err := decodeFrame("claim", b, &batch)
	for i := range batch.Records {
		if batch.Records[i].Kind > ClaimUncertain {
			err = &FrameError{what: "claim"}
		}
	}
	if err != nil {
		return ClaimBatch{}, err
	}
	return batch, nil
}
