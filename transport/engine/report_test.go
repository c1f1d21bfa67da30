// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// TestAReplyNobodyWaitsForIsDropped: a reply that nobody waits for, and a load
// report of another runner, are dropped and counted.
func TestAReplyNobodyWaitsForIsDropped(t *testing.T) {
	c := &Client{Runner: fleet.NewRunner(protocol.Runner{Name: "a", Speed: 1, To: 1}, "dc"), Counters: &metric.Set{}}
	c.waiting = map[protocol.RequestID]waiter{}
	c.deliver(protocol.Reply{Request: 7, Attempt: 1})
	require.EqualValues(t, 1, c.Counters.Value(string(metric.RepliesDropped)))
	c.report(protocol.LoadReport{Runner: "b"})
	require.EqualValues(t, 1, c.Counters.Value(string(metric.ReportsIgnored)))
}

// TestALostConnectionTellsWhatWasSent: a step still queued here comes back as
// not sent, one that was written may have reached the engine.
func TestALostConnectionTellsWhatWasSent(t *testing.T) {
	c := &Client{Runner: fleet.NewRunner(protocol.Runner{Name: "a", Speed: 1, To: 1}, "dc"), Counters: &metric.Set{}}
	sent, queued := NewMailbox(), NewMailbox()
	c.waiting = map[protocol.RequestID]waiter{1: {mailbox: sent}, 2: {mailbox: queued}}
	c.queue = []protocol.Step{{Request: 1}}
	require.Len(t, c.takeFrame().Steps, 1)
	c.queue = []protocol.Step{{Request: 2}}
	c.loseAll()
	require.True(t, (<-sent.Arrivals()).(Lost).Sent())
	require.False(t, (<-queued.Arrivals()).(Lost).Sent())
}

// BenchmarkReport measures one load report: its bytes on the wire and the time
// to read and take it.
func BenchmarkReport(b *testing.B) {
	now := time.Now()
	r := fleet.NewRunner(protocol.Runner{Name: "runner-4711", Speed: 1, To: 12}, "dc")
	frame, err := protocol.EncodeReplies(protocol.ReplyFrame{Report: &protocol.LoadReport{
		Runner: "runner-4711", Epoch: 17, To: 12, Queued: 123456, Streams: 60, UnixMS: now.UnixMilli(),
	}})
	require.NoError(b, err)
	for b.Loop() {
		f, err := protocol.DecodeReplies(frame)
		if err != nil || r.Report(*f.Report, now) != fleet.ReportTaken {
			b.Fatal("not taken")
		}
	}
	b.ReportMetric(float64(len(frame)), "B")
}
