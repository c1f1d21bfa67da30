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

func retainUntil(issued time.Time) time.Time { return issued.Add(10 * time.Minute) }

func newStore(tb testing.TB, p *standin.Platform) *claims.Store {
	st := &claims.Store{
		Platform: &platform.Client{Base: "http://" + p.Address()}, Counters: &metric.Set{}, Shards: 4, RetainUntil: retainUntil,
	}
	st.Start()
	tb.Cleanup(st.Close)
	return st
}

func record(key string) protocol.ClaimRecord {
	return protocol.ClaimRecord{
		Key: protocol.NewClaimKey("desk", key), Claimant: rand.Uint64(), IssuedMS: time.Now().UnixMilli(),
	}
}

// TestOneOfManyClaimsIsGranted has three entries without peers claim the same keys at the same
// time. The platform is slow and loses every third answer.
func TestOneOfManyClaimsIsGranted(t *testing.T) {
	var p standin.Platform
	require.NoError(t, p.Listen("127.0.0.1:0"))
	t.Cleanup(p.Close)
	p.Unlimited = true
	p.SetFaults(standin.Faults{LoseWriteResponses: 3, Delay: time.Millisecond})
	stores := []*claims.Store{newStore(t, &p), newStore(t, &p), newStore(t, &p)}
	const keys = 20
	var granted [keys]atomic.Int32
	var all sync.WaitGroup
	for i := range keys {
		for _, st := range stores {
			all.Go(func() {
				result, err := st.Claim(context.Background(), record(fmt.Sprint("key-", i)))
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

// TestWithdrawnClaimDoesNotBlockTheKey withdraws a claim while the platform is down.
func TestWithdrawnClaimDoesNotBlockTheKey(t *testing.T) {
	var p standin.Platform
	require.NoError(t, p.Listen("127.0.0.1:0"))
	t.Cleanup(p.Close)
	st := newStore(t, &p)
	p.SetFaults(standin.Faults{Down: true})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := st.Claim(ctx, record("key"))
	require.Error(t, err)
	p.SetFaults(standin.Faults{})
	result, err := st.Claim(context.Background(), record("key"))
	require.NoError(t, err)
	require.Equal(t, claim.Granted, result.Verdict())
}

// BenchmarkClaims compares batched claims with one write for each claim, at the platform's limit of
// 100 writes per second. One operation is one claim.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 100, 1000, 4000} {
		b.Run(fmt.Sprint("batched/waiting=", callers), func(b *testing.B) {
			var p standin.Platform
			require.NoError(b, p.Listen("127.0.0.1:0"))
			defer p.Close()
			st := newStore(b, &p)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			measure(b, callers, func(i int) {
				_, err := st.Claim(context.Background(), record(fmt.Sprint("key-", i)))
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
				if _, err := client.Put(context.Background(), "claim", fmt.Sprint(i), protocol.Revision{}, []byte("x")); err == nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
		b.ReportMetric(float64(p.Calls().Writes)/b.Elapsed().Seconds(), "writes/s")
	})
}

// measure runs b.N operations with the given number of concurrent callers, and reports the rate and
// latency.
func measure(b *testing.B, callers int, do func(i int)) {
	var next atomic.Int64
	var all sync.WaitGroup
	var mutex sync.Mutex
	var latencies []float64
	b.ResetTimer()
	for range min(callers, b.N) {
		all.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				began := time.Now()
				do(int(i))
				mutex.Lock()
				latencies = append(latencies, time.Since(began).Seconds()*1000)
				mutex.Unlock()
			}
		})
	}
	all.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(latencies[len(latencies)/2], "p50-ms")
	b.ReportMetric(latencies[len(latencies)*95/100], "p95-ms")
}

// BenchmarkTakeover measures the time to the first claim of an entry that has not written the shard
// before, by the number of batches in the shard. Each batch has 72 records, as with 12.5 writes and
// 460 claims with outcomes per second.
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
				_, err = client.Put(context.Background(), "claim-0", fmt.Sprint(n), protocol.Revision{}, value)
				require.NoError(b, err)
			}
			b.ResetTimer()
			for b.Loop() {
				st := newStore(b, p)
				_, err := st.Claim(context.Background(), record(key()))
				require.NoError(b, err)
				st.Close()
			}
			b.ReportMetric(b.Elapsed().Seconds()*1000/float64(b.N), "first-claim-ms")
		})
	}
}

// shardZeroKey returns a function that generates keys of the first shard.
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

// newStoreWithHeldClaim starts a platform, has incarnation 7 of the entry e1 claim "key" there, and
// returns another entry's store.
func newStoreWithHeldClaim(t *testing.T, p *standin.Platform) *claims.Store {
	require.NoError(t, p.Listen("127.0.0.1:0"))
	t.Cleanup(p.Close)
	p.Unlimited = true
	held := record("key")
	held.Holder, held.Incarnation = "e1", 7
	result, err := newStore(t, p).Claim(context.Background(), held)
	require.NoError(t, err)
	require.Equal(t, claim.Granted, result.Verdict())
	return newStore(t, p)
}

// TestAwaitReportsDoubtfulWhenHolderIsGone claims a key through an entry that then falls silent. A
// repeat waits while that entry is reachable, or gone only for a short time. Once the entry stays
// gone, the repeat learns that the request may have run.
func TestAwaitReportsDoubtfulWhenHolderIsGone(t *testing.T) {
	var p standin.Platform
	second := newStoreWithHeldClaim(t, &p)
	var polls atomic.Int32
	short, cancel := context.WithCancel(context.Background())
	defer cancel()
	second.IsGone = func(entry string, incarnation uint64) bool {
		require.Equal(t, "e1", entry)
		require.Equal(t, uint64(7), incarnation)
		n := polls.Add(1)
		if n > 4 {
			cancel()
		}
		return n%2 == 0 // alternately gone and reachable
	}
	result, err := second.Await(short, record("key"))
	require.NoError(t, err)
	require.Equal(t, claim.Held, result.Verdict(), "the holder may only be suspended")
	require.Greater(t, polls.Load(), int32(2))
	second.IsGone = func(string, uint64) bool { return true }
	result, err = second.Await(context.Background(), record("key"))
	require.NoError(t, err)
	require.Equal(t, claim.Doubtful, result.Verdict())
}

// TestAwaitReportsHeldWhenPlatformGoesSilent guards against a repeat that reports "not run"
// although the first request may have run: the repeat saw the first request's claim, polled again,
// and its deadline passed while the platform did not answer. It happened in one of six runs of all
// tests on a machine under a load of 25: the repeat returned "context deadline exceeded"
// instead of the held claim. Here the platform stops answering after the first poll.
func TestAwaitReportsHeldWhenPlatformGoesSilent(t *testing.T) {
	var p standin.Platform
	second := newStoreWithHeldClaim(t, &p)
	deadline, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	second.IsGone = func(string, uint64) bool {
		p.SetFaults(standin.Faults{Delay: time.Hour})
		return false
	}
	result, err := second.Await(deadline, record("key"))
	require.NoError(t, err)
	require.Equal(t, claim.Held, result.Verdict())
}
