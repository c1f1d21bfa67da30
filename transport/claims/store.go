// SPDX-License-Identifier: Apache-2.0

// Package claims stores the claims of non-repeatable requests in the platform. Package
// coordination/claim makes the decisions; this package makes the calls and waits.
//
//	s := &claims.Store{Platform: p, Shards: 4, RetainUntil: retainUntil, Counters: &c}
//	s.Start()
//	result, err := s.Claim(ctx, record) // durable, or the reason why not
//	s.Persist(outcome)                  // in the background
//	s.Flush(ctx)                        // before a planned stop
package claims

import (
	"context"
	"log/slog"
	"time"

	"pinerun.example/pinerun/coordination/claim"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/peer"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// writeInterval is the least time between two writes of a shard. A claim that follows a pause
	// is written at once. Under load, claims gather into batches.
	writeInterval = 80 * time.Millisecond
	// minPause and maxPause bound the pause after a call that the platform did not answer.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// minPollPause and maxPollPause bound the pause between two reads of a claim that another
	// claimant holds.
	minPollPause = 25 * time.Millisecond
	maxPollPause = 400 * time.Millisecond
	// goneGrace is how long a holder must be gone before its claim is reported as doubtful. A
	// holder that was only suspended sends heartbeats again within one or two intervals after it
	// resumes.
	goneGrace = 2500 * time.Millisecond
	// expireInterval is the time between two removals of expired keys.
	expireInterval = 10 * time.Second
)

// Store stores claims in shards. Set the exported fields before Start.
type Store struct {
	Platform *platform.Client
	Counters *metric.Set
	Logger   *slog.Logger
	Mesh     *peer.Mesh // nil when this entry writes every shard itself
	// IsGone, if set, reports whether an entry's process has ended or can't be reached.
	IsGone func(entry string, incarnation uint64) bool
	Shards int
	// RetainUntil returns until when the key of a request is remembered.
	RetainUntil func(issued time.Time) time.Time

	shards []*shard
	calls  remoteCalls
}

// Start starts one goroutine for each shard. A shard is loaded at its first claim.
func (st *Store) Start() {
	for i := range st.Shards {
		s := newShard(st, i)
		st.shards = append(st.shards, s)
		go s.run()
	}
}

// Close stops the shards. Records that were not written are lost.
func (st *Store) Close() {
	for _, s := range st.shards {
		s.done.Close()
	}
}

func (st *Store) shardOf(key protocol.ClaimKey) *shard { return st.shards[key.Shard(len(st.shards))] }

// Claim returns once the claim is durable or refused. An error means that the claim was withdrawn
// before that; it is then never granted. The entry that owns the shard writes for all entries. If
// that entry does not answer, this one writes.
func (st *Store) Claim(ctx context.Context, r protocol.ClaimRecord) (claim.Result, error) {
	s := st.shardOf(r.Key)
	writer, remote := st.remoteWriter(s)
	if !remote {
		return s.claim(ctx, r)
	}
	result, err := st.callRemote(ctx, writer, r)
	if err == nil {
		return result, nil
	}
	s.refresh()
	result, err = s.claim(ctx, r)
	if err != nil {
		// The writer may still make the claim durable. The release takes the same route, so that it
		// is applied after the claim.
		r.Kind = protocol.ClaimReleased
		st.Persist(r)
	}
	return result, err
}

// Await claims repeatedly while another claimant holds the key, until the claim has an outcome, the
// key is released to this claimant, or ctx ends. If the holder's entry stays gone for goneGrace,
// the verdict is Doubtful, because its request may have run and no outcome will follow.
func (st *Store) Await(ctx context.Context, r protocol.ClaimRecord) (claim.Result, error) {
	pause := minPollPause
	var goneSince time.Time // since when every poll found the holder gone
	var last claim.Result
	for polled := false; ; polled = true {
		result, err := st.Claim(ctx, r)
		switch {
		case err != nil && polled:
			return last, nil // the key was held, so the request may have run
		case err != nil || result.Verdict() != claim.Held:
			return result, err
		}
		last = result
		held := result.Existing()
		switch {
		case st.IsGone == nil || held.Holder == "" || !st.IsGone(held.Holder, held.Incarnation):
			goneSince = time.Time{}
		case goneSince.IsZero():
			goneSince = time.Now()
		case time.Since(goneSince) >= goneGrace:
			return claim.RemoteResult(r, claim.Doubtful, held), nil
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return result, nil
		}
		pause = min(maxPollPause, 2*pause)
		st.shardOf(r.Key).refresh()
	}
}

// Persist makes a release or an outcome durable in the background.
func (st *Store) Persist(r protocol.ClaimRecord) {
	s := st.shardOf(r.Key)
	writer, remote := st.remoteWriter(s)
	if !remote {
		s.add(r, nil)
		return
	}
	st.calls.beginPersist()
	go (&remotePersist{store: st, shard: s, writer: writer, record: r}).run()
}

// Flush waits until all records are durable or ctx ends, and returns how many are not.
func (st *Store) Flush(ctx context.Context) int {
	st.calls.flush(ctx)
	remaining := 0
	for _, s := range st.shards {
		remaining += s.flush(ctx)
	}
	return remaining
}
