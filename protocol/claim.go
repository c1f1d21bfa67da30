// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"crypto/sha256"
	"encoding/binary"
)

// ClaimKey identifies an idempotent request of a team. It is a hash of the team
// and its Idempotency-Key.
type ClaimKey [16]byte

// NewClaimKey returns the claim key for a team's Idempotency-Key.
func NewClaimKey(team, key string) ClaimKey {
	h := sha256.New()
	_ = binary.Write(h, binary.BigEndian, uint32(len(team)))
	h.Write([]byte(team))
	h.Write([]byte(key))
	return ClaimKey(h.Sum(nil)[:16])
}

// Shard returns the index of the claim shard of the key, out of shards.
func (k ClaimKey) Shard(shards int) int {
	return int(binary.BigEndian.Uint32(k[:4]) % uint32(shards))
}

// ClaimKind is the kind of a claim record.
type ClaimKind uint8

// The kinds of claim records.
const (
	ClaimTaken     ClaimKind = iota // the claimant may run the request
	ClaimReleased                   // the claimant has not run the request and will not
	ClaimSettled                    // the request ran; the record holds the answer if it is small
	ClaimUncertain                  // the claimant can't tell whether the request ran
)

// ClaimRecord is one record of a claim log.
type ClaimRecord struct {
	_           struct{} `cbor:",toarray"`
	Kind        ClaimKind
	Key         ClaimKey
	Digest      uint64 // of the request, to refuse a different request under the same key
	Claimant    uint64 // random for each attempt of a caller
	IssuedMS    int64  // Unix milliseconds at which the caller first issued the request
	Status      int
	Type        string
	Answer      []byte
	Holder      string // the entry that holds the claim
	Incarnation uint64 // of the holder, to distinguish it from the same entry after a restart
}

// ClaimBatch is the value of one log slot: the records made durable by one write.
// Sequence counts the batches of a shard from 0.
type ClaimBatch struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Records  []ClaimRecord
}

// EncodeClaims encodes a batch.
func EncodeClaims(b ClaimBatch) ([]byte, error) { return encoder.Marshal(b) }

// DecodeClaims decodes and validates a batch.
func DecodeClaims(b []byte) (ClaimBatch, error) {
	var batch ClaimBatch
	err := decodeFrame("claim", b, &batch)
	for i := range batch.Records {
		if batch.Records[i].Kind > ClaimUncertain {
			err = &FrameError{kind: "claim"}
		}
	}
	if err != nil {
		return ClaimBatch{}, err
	}
	return batch, nil
}
