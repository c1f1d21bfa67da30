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

// deletionCounter is a store that only counts deletions.
type deletionCounter struct {
	Objects
	count atomic.Int64
}

func (d *deletionCounter) Delete(context.Context, string, string, protocol.Revision) error {
	d.count.Add(1)
	return nil
}

// refusalFeed delivers one refusal after the other, as the platform's watch does.
type refusalFeed struct {
	refusals *refusals
	count    int
	done     chan struct{}
}

func (f *refusalFeed) run() {
	defer close(f.done)
	now := time.Now()
	var refused protocol.RefusedWork
	for i, name := range []string{"a", "b", "c"} {
		refused.Crashes = append(refused.Crashes, protocol.WorkCrash{Endpoint: name, Incarnation: 1, AtMS: now.Add(time.Duration(i-9) * time.Second).UnixMilli()})
	}
	refused.UntilMS = now.Add(10 * time.Minute).UnixMilli()
	value, _ := json.Marshal(refused) // numbers and names never fail
	for i := range f.count {
		work := protocol.Fingerprint{1, byte(i), byte(i >> 8)}
		f.refusals.applyRefusal(work, protocol.Object{Name: refusedPrefix + work.String(), Version: protocol.Revision{Number: uint64(i + 1)}, Value: value}, clock.Now())
	}
}

// TestNewRefusalIsNotRemovedAsInactive delivers refusals while inactive ones are being removed. The
// entry that all others follow read which refusals are active just before a new one arrived, then
// found the new one among the stored refusals, took it for inactive and removed it from the
// platform. Every entry let the work run again, which crashed three more endpoints. It happened in
// one of 168 runs on a machine under a load of 48: all three entries logged "work released"
// 0.13 s after the work was refused and the platform had come back.
func TestNewRefusalIsNotRemovedAsInactive(t *testing.T) {
	store := &deletionCounter{}
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{Objects: store}}
	f.assemble()
	feed := &refusalFeed{refusals: &f.refusals, count: 128, done: make(chan struct{})}
	go feed.run()
	for over := false; !over; {
		select {
		case <-feed.done:
			over = true
		default:
		}
		f.refusals.removeOneInactive()
	}
	require.Equal(t, feed.count, len(f.refusals.storedWork()))
	require.Zero(t, store.count.Load())
}
