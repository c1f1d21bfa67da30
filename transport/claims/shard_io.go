// SPDX-License-Identifier: Apache-2.0

package claims

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"time"

	"pinerun.example/pinerun/coordination/claim"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

// load reads all batches of the shard from the platform into the log.
func (s *shard) load(ctx context.Context) {
	objects, err := s.store.Platform.List(ctx, s.kind())
	if err != nil {
		s.increasePause()
		return
	}
	stored := make([]claim.StoredSlot, 0, len(objects))
	for _, o := range objects {
		if slot, err := decodeSlot(o); err == nil {
			stored = append(stored, slot)
		}
	}
	s.pause = 0
	s.mutex.Lock()
	loaded := s.log.Loaded(stored)
	keys := s.log.KeyCount()
	s.mutex.Unlock()
	if !loaded {
		s.increasePause()
		return
	}
	event.ClaimShardLoaded.Log(s.store.Logger, slog.Int("shard", s.number), slog.Int("keys", keys))
}

// decodeSlot decodes an object as the batch in its slot.
func decodeSlot(o protocol.Object) (claim.StoredSlot, error) {
	slot, err := strconv.Atoi(o.Name)
	if err != nil {
		return claim.StoredSlot{}, err
	}
	batch, err := protocol.DecodeClaims(o.Value)
	return claim.StoredSlot{Slot: slot, Version: o.Version, Batch: batch}, err
}

// read reads one slot. A slot without an object is empty.
func (s *shard) read(ctx context.Context, a claim.Read) {
	o, err := s.store.Platform.Get(ctx, s.kind(), strconv.Itoa(a.Slot()))
	var missing *platform.NotFound
	if err != nil && !errors.As(err, &missing) {
		s.increasePause()
		return
	}
	found := claim.StoredSlot{Slot: a.Slot()}
	if err == nil {
		if found, err = decodeSlot(o); err != nil {
			s.increasePause()
			return
		}
	}
	s.pause = 0
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.log.SlotRead(found)
}

// write writes a batch into its slot if the slot still has the version that the log expects.
func (s *shard) write(ctx context.Context, w claim.Write) {
	s.sleep(time.Until(s.nextWrite))
	value, err := protocol.EncodeClaims(w.Batch())
	if err != nil {
		s.increasePause()
		return
	}
	s.store.Counters.Add(metric.ClaimWrites, 1)
	version, err := s.store.Platform.Put(ctx, s.kind(), strconv.Itoa(w.Slot()), w.ExpectedVersion(), value)
	s.nextWrite = time.Now().Add(writeInterval)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var conflict *platform.Conflict
	var uncertain *platform.Uncertain
	switch {
	case err == nil:
		s.pause = 0
		s.log.WriteSucceeded(version)
	case errors.As(err, &conflict):
		s.pause = 0
		s.store.Counters.CountRetry(metric.ClaimRace)
		event.ClaimWriteRaced.Log(s.store.Logger, slog.Int("shard", s.number))
		s.log.WriteUncertain()
	case errors.As(err, &uncertain):
		s.store.Counters.CountRetry(metric.ClaimLost)
		event.ClaimAnswerLost.Log(s.store.Logger, slog.Int("shard", s.number), slog.Any("cause", err))
		s.log.WriteUncertain()
	default:
		s.increasePause()
		s.log.WriteFailed()
	}
}
