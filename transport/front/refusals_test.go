// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

// deletions counts what is removed from a store that has nothing else.
type deletions struct {
	Objects
	count atomic.Int64
}

func (d *deletions) Delete(context.Context, string, string, uint64) error {
	d.count.Add(1)
	return nil
}

// teller tells of one refusal after the other, as the platform's watch does.
type teller struct {
	refusals *refusals
	times    int
	done     chan struct{}
}

func (l *teller) run() {
	defer close(l.done)
	now := time.Now()
	var refused protocol.RefusedWork
	for i, name := range []string{"a", "b", "c"} {
		refused.Crashes = append(refused.Crashes, protocol.WorkCrash{Endpoint: name, Incarnation: 1, AtMS: now.Add(time.Duration(i-9) * time.Second).UnixMilli()})
	}
	refused.UntilMS = now.Add(10 * time.Minute).UnixMilli()
	value, _ := json.Marshal(refused) // of numbers and names
	for i := range l.times {
		work := protocol.Fingerprint{1, byte(i), byte(i >> 8)}
		l.refusals.take(work, protocol.Object{Name: refusedPrefix + work.String(), Version: uint64(i + 1), Value: value}, clock.Now())
	}
}

// A refusal was removed from the platform in the moment in which it came, and every entry let the work run
// again: three more ends of endpoints. The entry that all others follow looks through what lapsed; it had
// asked which refusals count just before the new one came, found the new one among those that it knew, and took
// it for one that counts no more.
// Evidence: "work released" at all three entries 0.13 s after the work was refused and the platform had come
// back, in one of 168 turns of a test beside a load of 48.
//
// TestARefusalThatComesIsNotTakenForOneThatLapsed has refusals come while lapsed ones are looked for.
func TestARefusalThatComesIsNotTakenForOneThatLapsed(t *testing.T) {
	store := &deletions{}
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{Objects: store}}
	f.assemble()
	l := &teller{refusals: &f.refusals, times: 128, done: make(chan struct{})}
	go l.run()
	for over := false; !over; {
		select {
		case <-l.done:
			over = true
		default:
		}
		f.refusals.tidy()
	}
	require.Equal(t, l.times, len(f.refusals.known()))
	require.Zero(t, store.count.Load())
}
