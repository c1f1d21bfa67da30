// SPDX-License-Identifier: Apache-2.0

// Package claims keeps the claims of not-repeatable requests in the platform.
// The decisions are in coordination/claim; here are the calls and the waiting.
//
//	k := &claims.Keeper{Platform: p, Shards: 4, Retain: retain, Counters: &c}
//	k.Start()
//	result, err := k.Claim(ctx, record) // durable, or the reason why not
//	k.Keep(outcome)                     // in the background
//	k.Flush(ctx)                        // before a planned stop
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
	// writeEvery is the least time between two writes of a shard. A claim that
	// comes after a pause is written at once; under load they gather.
	writeEvery = 80 * time.Millisecond
	// Pauses after the platform did not answer.
	pauseFirst = 20 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
	// Pauses between two looks at a claim that another entry holds.
	lookFirst = 25 * time.Millisecond
	lookMost  = 400 * time.Millisecond
	// goneFor is how long a holder must be gone before that is said: one that was only
	// paused is heard again a heartbeat or two after it wakes.
	goneFor = 2500 * time.Millisecond
	// expireEvery is how often keys that are remembered no longer are dropped.
	expireEvery = 10 * time.Second
)

// Store holds every claim shard. Set the exported fields before Start.
type Store struct {
	Platform *platform.Client
	Counters *metric.Set
	Logger   *slog.Logger
	Mesh     *peer.Mesh // nil when this entry writes every shard itself
	// IsGone reports whether an entry's life is over or can't be reached; nil never
	// says so.
	IsGone      func(entry string, life uint64) bool
	Shards      int
	RetainUntil func(issued time.Time) time.Time

	shards []*shard
	asks   asks
}

// Start begins to serve claims. No shard is read before its first claim.
func (k *Store) Start() {
	for i := range k.Shards {
		s := newShard(k, i)
		k.shards = append(k.shards, s)
		go s.run()
	}
}

// Close ends the shards; what was not written is lost.
func (k *Store) Close() {
	for _, s := range k.shards {
		s.done.Close()
	}
}

func (k *Store) shardOf(key protocol.ClaimKey) *shard { return k.shards[key.Shard(len(k.shards))] }

// Claim returns once the claim is durable or refused. An error means that it
// was given up before either; it will then never be granted. The entry that
// ranks first for the shard writes for all; without its verdict this one writes.
func (k *Store) Claim(ctx context.Context, r protocol.ClaimRecord) (claim.Result, error) {
	s := k.shardOf(r.Key)
	writer, remote := k.remote(s)
	if !remote {
		return s.claim(ctx, r)
	}
	result, err := k.ask(ctx, writer, r)
	if err == nil {
		return result, nil
	}
	s.refresh()
	result, err = s.claim(ctx, r)
	if err != nil {
		// The writer may still make the claim durable. The release goes the same
		// way, so that it comes behind the claim.
		r.Kind = protocol.ClaimReleased
		k.Persist(r)
	}
	return result, err
}

// Await claims again and again while another claimant holds the key, until it
// has settled, has released the key to us, or ctx ends. A claimant whose entry is
// gone won't tell any more: its request may have run, and that is said soon.
func (k *Store) Await(ctx context.Context, r protocol.ClaimRecord) (claim.Result, error) {
	pause := lookFirst
	var gone time.Time // from when the holder was gone at every look
	var seen claim.Result
	for looked := false; ; looked = true {
		result, err := k.Claim(ctx, r)
		switch {
		case err != nil && looked:
			return seen, nil // it was held: "not run" would be untrue
		case err != nil || result.Verdict() != claim.Held:
			return result, err
		}
		seen = result
		held := result.Existing()
		switch {
		case k.IsGone == nil || held.Holder == "" || !k.IsGone(held.Holder, held.Incarnation):
			gone = time.Time{}
		case gone.IsZero():
			gone = time.Now()
		case time.Since(gone) >= goneFor:
			return claim.RemoteResult(r, claim.Doubtful, held), nil
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return result, nil
		}
		pause = min(lookMost, 2*pause)
		k.shardOf(r.Key).refresh()
	}
}

// Persist makes a release or an outcome durable in the background.
func (k *Store) Persist(r protocol.ClaimRecord) {
	s := k.shardOf(r.Key)
	writer, remote := k.remote(s)
	if !remote {
		s.add(r, nil)
		return
	}
	k.asks.keepOne()
	go (&keeping{keeper: k, shard: s, writer: writer, record: r}).run()
}

// Flush waits until everything is durable or ctx ends, and returns how many
// records are not.
func (k *Store) Flush(ctx context.Context) int {
	k.asks.flush(ctx)
	left := 0
	for _, s := range k.shards {
		left += s.flush(ctx)
	}
	return left
}
