// SPDX-License-Identifier: Apache-2.0

package claims_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/claim"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/standin"
	"pinerun.example/pinerun/transport/claims"
	"pinerun.example/pinerun/transport/platform"
)

func retain(issued time.Time) time.Time { return issued.Add(10 * time.Minute) }

func newKeeper(tb testing.TB, p *standin.Platform) *claims.Store {
	k := &claims.Store{
		Platform: &platform.Client{Base: "http://" + p.Address()}, Counters: &metric.Set{}, Shards: 4, RetainUntil: retain,
	}
	k.Start()
	tb.Cleanup(k.Close)
	return k
}

func record(key string) protocol.ClaimRecord {
	return protocol.ClaimRecord{
		Key: protocol.NewClaimKey("desk", key), Claimant: rand.Uint64(), IssuedMS: time.Now().UnixMilli(),
	}
}

// TestOneOfManyGetsTheKey lets three entries without peers claim the same keys
// at once, over a platform that is slow and loses every third answer.
func TestOneOfManyGetsTheKey(t *testing.T) {
	var p standin.Platform
	require.NoError(t, p.Listen("127.0.0.1:0"))
	t.Cleanup(p.Close)
	p.Unlimited = true
	p.Fail(standin.Faults{LoseAnswer: 3, Slow: time.Millisecond})
	keepers := []*claims.Store{newKeeper(t, &p), newKeeper(t, &p), newKeeper(t, &p)}
	const keys = 20
	var granted [keys]atomic.Int32
	var all sync.WaitGroup
	for i := range keys {
		for _, k := range keepers {
			all.Go(func() {
				result, err := k.Claim(context.Background(), record(fmt.Sprint("key-", i)))
				if err == nil && result.Verdict() == claim.Granted {
					granted[i].Add(1)
				}
			})
		}
	}
	all.Wait()
	for i := range keys {
		require.EqualValues(t, 1, granted[i].Load(), "key %d", i)
	}
}

// TestAClaimGivenUpNeverBlocksTheKey gives claims up while the platform is down.
func TestAClaimGivenUpNeverBlocksTheKey(t *testing.T) {
	var p standin.Platform
	require.NoError(t, p.Listen("127.0.0.1:0"))
	t.Cleanup(p.Close)
	k := newKeeper(t, &p)
	p.Fail(standin.Faults{Down: true})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := k.Claim(ctx, record("key"))
	require.Error(t, err)
	p.Fail(standin.Faults{})
	result, err := k.Claim(context.Background(), record("key"))
	require.NoError(t, err)
	require.Equal(t, claim.Granted, result.Verdict())
}

// BenchmarkClaims compares claims gathered in batches with one write a claim, at
// the platform's rate of 100 writes a second. One operation is one claim.
func BenchmarkClaims(b *testing.B) {
	for _, waiting := range []int{1, 100, 1000, 4000} {
		b.Run(fmt.Sprint("batched/waiting=", waiting), func(b *testing.B) {
			var p standin.Platform
			require.NoError(b, p.Listen("127.0.0.1:0"))
			defer p.Close()
			k := newKeeper(b, &p)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			measure(b, waiting, func(i int) {
				_, err := k.Claim(context.Background(), record(fmt.Sprint("key-", i)))
				if err != nil {
					b.Error(err)
				}
			})
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(p.Calls().Writes)/b.Elapsed().Seconds(), "writes/s")
			b.ReportMetric(float64(p.Calls().Bytes)/float64(b.N), "B/claim")
			b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(b.N), "heap-B/claim")
		})
	}
	b.Run("write-each/waiting=100", func(b *testing.B) {
		var p standin.Platform
		require.NoError(b, p.Listen("127.0.0.1:0"))
		defer p.Close()
		client := &platform.Client{Base: "http://" + p.Address()}
		measure(b, 100, func(i int) {
			for {
				if _, err := client.Put(context.Background(), "claim", fmt.Sprint(i), 0, []byte("x")); err == nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		b.ReportMetric(float64(p.Calls().Writes)/b.Elapsed().Seconds(), "writes/s")
	})
}

// measure runs b.N operations with that many at once and reports their rate and
// latency.
func measure(b *testing.B, waiting int, do func(i int)) {
	var next atomic.Int64
	var all sync.WaitGroup
	var mutex sync.Mutex
	var took []float64
	b.ResetTimer()
	for range min(waiting, b.N) {
		all.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				began := time.Now()
				do(int(i))
				mutex.Lock()
				took = append(took, time.Since(began).Seconds()*1000)
				mutex.Unlock()
			}
		})
	}
	all.Wait()
	b.StopTimer()
	slices.Sort(took)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)*95/100], "p95-ms")
}

// BenchmarkTakeover measures how long an entry that writes a shard for the first
// time needs until its first claim, by the batches that the shard holds. Each
// holds 72 records, as at 12.5 writes and 460 claims with outcomes a second.
func BenchmarkTakeover(b *testing.B) {
	for _, batches := range []int{100, 1000, 4000, 8250} {
		b.Run(fmt.Sprint("batches=", batches), func(b *testing.B) {
			p := &standin.Platform{Unlimited: true}
			require.NoError(b, p.Listen("127.0.0.1:0"))
			defer p.Close()
			key := shardZeroKey()
			client := &platform.Client{Base: "http://" + p.Address()}
			for n := range batches {
				batch := protocol.ClaimBatch{Sequence: uint64(n), Records: make([]protocol.ClaimRecord, 72)}
				for i := range batch.Records {
					batch.Records[i] = record(fmt.Sprint(n, "-", i))
				}
				value, err := protocol.EncodeClaims(batch)
				require.NoError(b, err)
				_, err = client.Put(context.Background(), "claim-0", fmt.Sprint(n), 0, value)
				require.NoError(b, err)
			}
			b.ResetTimer()
			for b.Loop() {
				k := newKeeper(b, p)
				_, err := k.Claim(context.Background(), record(key()))
				require.NoError(b, err)
				k.Close()
			}
			b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "first-claim-ms")
		})
	}
}

// shardZeroKey returns a source of keys that all belong to the first shard.
func shardZeroKey() func() string {
	i := 0
	return func() string {
		for {
			i++
			if key := fmt.Sprint("takeover-", i); protocol.NewClaimKey("desk", key).Shard(4) == 0 {
				return key
			}
		}
	}
}

// besideAHolder starts a platform, has the seventh life of the entry e1 claim "key" there, and returns
// another entry's keeper.
func besideAHolder(t *testing.T, p *standin.Platform) *claims.Store {
	require.NoError(t, p.Listen("127.0.0.1:0"))
	t.Cleanup(p.Close)
	p.Unlimited = true
	taken := record("key")
	taken.Holder, taken.Incarnation = "e1", 7
	result, err := newKeeper(t, p).Claim(context.Background(), taken)
	require.NoError(t, err)
	require.Equal(t, claim.Granted, result.Verdict())
	return newKeeper(t, p)
}

// TestARepeatWhoseHolderIsGoneIsTold claims a key at an entry that then says nothing
// more. While its entry is there, or is gone only now and then, a repeat waits; once
// it stays gone, the repeat is told that the request may have run.
func TestARepeatWhoseHolderIsGoneIsTold(t *testing.T) {
	var p standin.Platform
	second := besideAHolder(t, &p)
	var looked atomic.Int32
	short, cancel := context.WithCancel(context.Background())
	defer cancel()
	second.IsGone = func(entry string, life uint64) bool {
		require.Equal(t, "e1", entry)
		require.Equal(t, uint64(7), life)
		n := looked.Add(1)
		if n > 4 {
			cancel()
		}
		return n%2 == 0 // gone, and there again
	}
	result, err := second.Await(short, record("key"))
	require.NoError(t, err)
	require.Equal(t, claim.Held, result.Verdict(), "it may only be paused")
	require.Greater(t, looked.Load(), int32(2))
	second.IsGone = func(string, uint64) bool { return true }
	result, err = second.Await(context.Background(), record("key"))
	require.NoError(t, err)
	require.Equal(t, claim.Doubtful, result.Verdict())
}

// A repeat of a keyed call was told "not run" although its first try may have run: it had seen the
// first try's claim, looked again, and its deadline passed while the platform did not answer.
// Evidence: beside a load of 25 a repeat of a claimed key got "context deadline exceeded" in place of
// the claim that was held, once in six runs of all tests.
//
// TestARepeatThatSawAClaimIsNotToldThatNothingRan has the platform fall silent after the first look.
func TestARepeatThatSawAClaimIsNotToldThatNothingRan(t *testing.T) {
	var p standin.Platform
	second := besideAHolder(t, &p)
	deadline, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	second.IsGone = func(string, uint64) bool {
		p.Fail(standin.Faults{Slow: time.Hour})
		return false
	}
	result, err := second.Await(deadline, record("key"))
	require.NoError(t, err)
	require.Equal(t, claim.Held, result.Verdict())
}
