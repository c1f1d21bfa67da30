// SPDX-License-Identifier: Apache-2.0

package claims

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/claim"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
)

// shard applies the actions of one claim log to the platform.
type shard struct {
	store  *Store
	number int
	done   lifecycle.Done
	wake   chan struct{}

	mutex   sync.Mutex
	log     claim.Log
	waiters map[waiterKey][]chan claim.Result
	drained chan struct{} // closed when no record is pending

	pause     time.Duration // before the next action, zero after a success
	nextWrite time.Time
}

// waiterKey identifies the callers that wait for the result of a record.
type waiterKey struct {
	claimant uint64
	kind     protocol.ClaimKind
}

func waiterKeyOf(r protocol.ClaimRecord) waiterKey {
	return waiterKey{claimant: r.Claimant, kind: r.Kind}
}

func newShard(st *Store, number int) *shard {
	return &shard{
		store: st, number: number, wake: make(chan struct{}, 1),
		log: claim.Log{RetainUntil: st.RetainUntil}, waiters: map[waiterKey][]chan claim.Result{},
	}
}

func (s *shard) kind() string { return protocol.ObjectClaim + "-" + strconv.Itoa(s.number) }

// persist makes a record of any kind durable for another entry and waits for the result.
func (s *shard) persist(ctx context.Context, r protocol.ClaimRecord) (claim.Result, error) {
	if r.Kind == protocol.ClaimTaken {
		return s.claim(ctx, r)
	}
	result := make(chan claim.Result, 1)
	s.add(r, result)
	select {
	case got := <-result:
		return got, nil
	case <-ctx.Done():
		return claim.Result{}, ctx.Err() // the record stays queued; a second copy has no effect
	}
}

// claim adds a claim and waits for its result.
func (s *shard) claim(ctx context.Context, r protocol.ClaimRecord) (claim.Result, error) {
	if ctx.Err() != nil {
		return claim.Result{}, ctx.Err()
	}
	result := make(chan claim.Result, 1)
	s.add(r, result)
	select {
	case got := <-result:
		return got, nil
	case <-ctx.Done():
		return s.giveUp(r, result, ctx.Err())
	case <-s.done.Done():
		return s.giveUp(r, result, context.Canceled)
	}
}

// giveUp withdraws a claim. If a write may already contain it, a release follows, so that a repeat
// can run. The caller of claim must not run the request any more.
func (s *shard) giveUp(r protocol.ClaimRecord, result chan claim.Result, cause error) (claim.Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case got := <-result: // the result came just before the mutex was locked
		return got, nil
	default:
	}
	delete(s.waiters, waiterKeyOf(r))
	if !s.log.Withdraw(r.Claimant) {
		r.Kind = protocol.ClaimReleased
		s.log.Add(r)
		s.signalWork()
	}
	return claim.Result{}, cause
}

// add queues a record and, unless result is nil, registers a waiter for its result.
func (s *shard) add(r protocol.ClaimRecord, result chan claim.Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if result != nil {
		s.waiters[waiterKeyOf(r)] = append(s.waiters[waiterKeyOf(r)], result)
	}
	s.log.Add(r)
	s.signalWork()
}

// refresh makes the log read the other entries' writes before the next verdict.
func (s *shard) refresh() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.log.Refresh()
}

// signalWork wakes run without blocking.
func (s *shard) signalWork() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// flush waits until no record is pending or ctx ends, and returns how many are.
func (s *shard) flush(ctx context.Context) int {
	s.mutex.Lock()
	if s.log.Pending() == 0 {
		s.mutex.Unlock()
		return 0
	}
	if s.drained == nil {
		s.drained = make(chan struct{})
	}
	drained := s.drained
	s.mutex.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.log.Pending()
}

// run processes the log whenever a record was added, and removes expired keys.
func (s *shard) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-s.done.Done():
			return
		case now := <-expire.C:
			s.mutex.Lock()
			s.log.Expire(now)
			s.mutex.Unlock()
		case <-s.wake:
			s.process(ctx)
		}
	}
}

// process carries out the log's actions until none is left.
func (s *shard) process(ctx context.Context) {
	for !s.done.Closed() {
		s.mutex.Lock()
		action := s.log.Next(time.Now())
		s.deliver()
		s.mutex.Unlock()
		switch a := action.(type) {
		case claim.Idle:
			s.signalDrained()
			return
		case claim.Load:
			s.load(ctx)
		case claim.Read:
			s.read(ctx, a)
		case claim.Write:
			s.write(ctx, a)
		}
		s.waitPause()
	}
}

// deliver sends results to their waiters. The mutex is held.
func (s *shard) deliver() {
	for _, r := range s.log.Results() {
		key := waiterKeyOf(r.Record())
		waiting := s.waiters[key]
		if len(waiting) == 0 {
			continue
		}
		waiting[0] <- r
		s.waiters[key] = waiting[1:]
		if len(waiting) == 1 {
			delete(s.waiters, key)
		}
	}
}

// signalDrained signals flush that no record is pending.
func (s *shard) signalDrained() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.drained != nil && s.log.Pending() == 0 {
		close(s.drained)
		s.drained = nil
	}
}

// waitPause waits after a failure for between half of the pause and all of it.
func (s *shard) waitPause() {
	if s.pause == 0 {
		return
	}
	s.sleep(s.pause/2 + rand.N(s.pause/2+1))
}

func (s *shard) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.done.Done():
	}
}

// increasePause doubles the pause within its bounds.
func (s *shard) increasePause() { s.pause = min(maxPause, max(minPause, 2*s.pause)) }
