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

// load reads the whole shard from the platform into the log.
func (s *shard) load(ctx context.Context) {
	objects, err := s.keeper.Platform.List(ctx, s.kind())
	if err != nil {
		s.failed()
		return
	}
	stored := make([]claim.StoredSlot, 0, len(objects))
	for _, o := range objects {
		if one, err := storedOf(o); err == nil {
			stored = append(stored, one)
		}
	}
	s.pause = 0
	s.mutex.Lock()
	loaded := s.log.Loaded(stored)
	keys := s.log.KeyCount()
	s.mutex.Unlock()
	if !loaded {
		s.failed()
		return
	}
	event.ClaimShardLoaded.Log(s.keeper.Logger, slog.Int("shard", s.number), slog.Int("keys", keys))
}

// storedOf decodes an object of the platform as a batch in its slot.
func storedOf(o protocol.Object) (claim.StoredSlot, error) {
	slot, err := strconv.Atoi(o.Name)
	if err != nil {
		return claim.StoredSlot{}, err
	}
	batch, err := protocol.DecodeClaims(o.Value)
	return claim.StoredSlot{Slot: slot, Version: o.Version, Batch: batch}, err
}

// read reads one slot, which is empty if the platform has no object for it.
func (s *shard) read(ctx context.Context, a claim.Read) {
	o, err := s.keeper.Platform.Get(ctx, s.kind(), strconv.Itoa(a.Slot()))
	var missing *platform.NotFound
	if err != nil && !errors.As(err, &missing) {
		s.failed()
		return
	}
	found := claim.StoredSlot{Slot: a.Slot()}
	if err == nil {
		if found, err = storedOf(o); err != nil {
			s.failed()
			return
		}
	}
	s.pause = 0
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.log.SlotRead(found)
}

// write writes a batch into its slot, if that still has the version that the log knows.
func (s *shard) write(ctx context.Context, w claim.Write) {
	s.sleep(time.Until(s.nextWrite))
	value, err := protocol.EncodeClaims(w.Batch())
	if err != nil {
		s.failed()
		return
	}
	s.keeper.Counters.Add(metric.ClaimWrites, 1)
	version, err := s.keeper.Platform.Put(ctx, s.kind(), strconv.Itoa(w.Slot()), w.ExpectedVersion(), value)
	s.nextWrite = time.Now().Add(writeEvery)
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
		s.keeper.Counters.CountRetry(metric.ClaimRace)
		event.ClaimWriteRaced.Log(s.keeper.Logger, slog.Int("shard", s.number))
		s.log.WriteUncertain()
	case errors.As(err, &uncertain):
		s.keeper.Counters.CountRetry(metric.ClaimLost)
		event.ClaimAnswerLost.Log(s.keeper.Logger, slog.Int("shard", s.number), slog.Any("cause", err))
		s.log.WriteUncertain()
	default:
		s.failed()
		s.log.WriteFailed()
	}
}
