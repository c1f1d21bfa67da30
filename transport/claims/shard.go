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

// shard runs one claim log against the platform.
type shard struct {
	keeper *Store
	number int
	done   lifecycle.Done
	wake   chan struct{}

	mutex   sync.Mutex
	log     claim.Log
	waiting map[waitKey][]chan claim.Result
	emptied chan struct{} // closed when nothing is pending

	pause     time.Duration
	nextWrite time.Time
}

// waitKey tells apart who waits for what became of a record.
type waitKey struct {
	claimant uint64
	kind     protocol.ClaimKind
}

func keyOf(r protocol.ClaimRecord) waitKey { return waitKey{claimant: r.Claimant, kind: r.Kind} }

func newShard(k *Store, number int) *shard {
	return &shard{
		keeper: k, number: number, wake: make(chan struct{}, 1),
		log: claim.Log{RetainUntil: k.RetainUntil}, waiting: map[waitKey][]chan claim.Result{},
	}
}

func (s *shard) kind() string { return protocol.ObjectClaim + "-" + strconv.Itoa(s.number) }

// decide makes any record durable for another entry and waits for the result.
func (s *shard) decide(ctx context.Context, r protocol.ClaimRecord) (claim.Result, error) {
	if r.Kind == protocol.ClaimTaken {
		return s.claim(ctx, r)
	}
	result := make(chan claim.Result, 1)
	s.add(r, result)
	select {
	case got := <-result:
		return got, nil
	case <-ctx.Done():
		return claim.Result{}, ctx.Err() // it stays queued; twice does no harm
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

// giveUp takes a claim back. If a write may hold it already, a release follows,
// so that a repeat can run; the caller of claim must not run it any more.
func (s *shard) giveUp(r protocol.ClaimRecord, result chan claim.Result, cause error) (claim.Result, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	select {
	case got := <-result: // it came in the same moment
		return got, nil
	default:
	}
	delete(s.waiting, keyOf(r))
	if !s.log.Withdraw(r.Claimant) {
		r.Kind = protocol.ClaimReleased
		s.log.Add(r)
		s.nudge()
	}
	return claim.Result{}, cause
}

func (s *shard) add(r protocol.ClaimRecord, result chan claim.Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if result != nil {
		s.waiting[keyOf(r)] = append(s.waiting[keyOf(r)], result)
	}
	s.log.Add(r)
	s.nudge()
}

// refresh reads what others have written before the next verdict.
func (s *shard) refresh() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.log.Refresh()
}

func (s *shard) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *shard) flush(ctx context.Context) int {
	s.mutex.Lock()
	if s.log.Pending() == 0 {
		s.mutex.Unlock()
		return 0
	}
	if s.emptied == nil {
		s.emptied = make(chan struct{})
	}
	emptied := s.emptied
	s.mutex.Unlock()
	select {
	case <-emptied:
	case <-ctx.Done():
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.log.Pending()
}

// run acts on the log whenever something was added.
func (s *shard) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	expire := time.NewTicker(expireEvery)
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
			s.work(ctx)
		}
	}
}

// work acts until the log rests.
func (s *shard) work(ctx context.Context) {
	for !s.done.Closed() {
		s.mutex.Lock()
		action := s.log.Next(time.Now())
		s.deliver()
		s.mutex.Unlock()
		switch a := action.(type) {
		case claim.Idle:
			s.tellEmptied()
			return
		case claim.Load:
			s.load(ctx)
		case claim.Read:
			s.read(ctx, a)
		case claim.Write:
			s.write(ctx, a)
		}
		s.rest()
	}
}

// deliver hands out results. The mutex is held.
func (s *shard) deliver() {
	for _, r := range s.log.Results() {
		key := keyOf(r.Record())
		waiting := s.waiting[key]
		if len(waiting) == 0 {
			continue
		}
		waiting[0] <- r
		s.waiting[key] = waiting[1:]
		if len(waiting) == 1 {
			delete(s.waiting, key)
		}
	}
}

func (s *shard) tellEmptied() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.emptied != nil && s.log.Pending() == 0 {
		close(s.emptied)
		s.emptied = nil
	}
}

// rest pauses after a failure, longer each time.
func (s *shard) rest() {
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

func (s *shard) failed() { s.pause = min(pauseMost, max(pauseFirst, 2*s.pause)) }
