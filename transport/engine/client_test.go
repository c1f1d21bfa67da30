// SPDX-License-Identifier: Apache-2.0

package engine

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/stream"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/state/fleet"
)

// TestUnexpectedRepliesAndReportsAreCounted checks that a reply without a pending step, and a load
// report of another runner, are dropped and counted.
func TestUnexpectedRepliesAndReportsAreCounted(t *testing.T) {
	c := &Client{Runner: fleet.NewRunner(protocol.Runner{Name: "a", Speed: 1, To: 1}, "dc"), Counters: &metric.Set{}}
	c.pending = map[protocol.RequestID]pendingStep{}
	c.deliver(protocol.Reply{Request: 7, Attempt: 1})
	require.EqualValues(t, 1, c.Counters.Value(string(metric.RepliesDropped)))
	c.applyReport(protocol.LoadReport{Runner: "b"})
	require.EqualValues(t, 1, c.Counters.Value(string(metric.ReportsIgnored)))
}

// TestConnectionLossReportsSentSteps checks that a step that is still queued is reported as not
// sent, and that one that was written is reported as sent, since it may have reached the engine.
func TestConnectionLossReportsSentSteps(t *testing.T) {
	c := &Client{Runner: fleet.NewRunner(protocol.Runner{Name: "a", Speed: 1, To: 1}, "dc"), Counters: &metric.Set{}}
	sent, queued := NewMailbox(), NewMailbox()
	c.pending = map[protocol.RequestID]pendingStep{1: {mailbox: sent}, 2: {mailbox: queued}}
	c.queue = []protocol.Step{{Request: 1}}
	require.Len(t, c.nextFrame().Steps, 1)
	c.queue = []protocol.Step{{Request: 2}}
	c.failPending()
	require.True(t, (<-sent.Arrivals()).(ConnectionLost).Sent())
	require.False(t, (<-queued.Arrivals()).(ConnectionLost).Sent())
}

// TestMalformedFrameClosesConnection has an engine send bytes that are no frame: the client closes
// the connection, counts the frame, and reports the loss to the pending request.
func TestMalformedFrameClosesConnection(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		socket, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer socket.CloseNow()
		if _, _, err := socket.Read(r.Context()); err == nil {
			_ = socket.Write(r.Context(), websocket.MessageBinary, []byte("no frame"))
			_, _, _ = socket.Read(r.Context()) // until the client closes the connection
		}
	}))
	defer engine.Close()
	spec := protocol.Runner{Name: "a", Speed: 1e9, To: 1, Model: "m", Address: engine.Listener.Addr().String(), DataCenter: "dc"}
	c, err := config.NewFromModels(1, []protocol.Model{{Name: "m", Version: "1", Layers: 1, MaxOpen: 1, Context: 9}}, protocol.Fleet{
		Name: "dc", Runners: []protocol.Runner{{
			Name: spec.Name, VM: "v", DataCenter: "dc", Accelerator: "x", Address: spec.Address, Model: "m", To: 1, Speed: spec.Speed,
		}},
	})
	require.NoError(t, err)
	view := fleet.NewViewFromConfig(nil, c, fleet.Entry{Name: "e1", DataCenter: "dc"})
	found, ok := path.Choose(view.Model("m"), path.Query{Now: time.Now(), Positions: 1, Rand: rand.New(rand.NewPCG(1, 1))}).(*path.Found)
	require.True(t, ok)
	pool := Pool{Counters: &metric.Set{}}
	defer pool.Close()
	var m stream.Machine
	m.Open(7, 1, []int32{1}, 1, 0)
	dispatch := m.Begin(found.Path())
	mailbox := NewMailbox()
	pool.Client(dispatch.Runner()).Send(&dispatch, 1, mailbox)
	lost, ok := (<-mailbox.Arrivals()).(ConnectionLost)
	require.True(t, ok)
	require.True(t, lost.Sent(), "the engine may have run it")
	require.EqualValues(t, 1, pool.Counters.Value(string(metric.FramesBroken)))
	require.False(t, dispatch.Runner().Usable(time.Now()), "the runner is ejected for a while")
}

// BenchmarkReport measures one load report: its size on the wire and the time to decode and apply
// it.
func BenchmarkReport(b *testing.B) {
	now := time.Now()
	r := fleet.NewRunner(protocol.Runner{Name: "runner-4711", Speed: 1, To: 12}, "dc")
	frame, err := protocol.EncodeReplies(protocol.ReplyFrame{Report: &protocol.LoadReport{
		Runner: "runner-4711", Epoch: 17, To: 12, Queued: 123456, Streams: 60, UnixMS: now.UnixMilli(),
	}})
	require.NoError(b, err)
	for b.Loop() {
		f, err := protocol.DecodeReplies(frame)
		if err != nil || r.Report(*f.Report, now) != fleet.ReportAccepted {
			b.Fatal("report not accepted")
		}
	}
	b.ReportMetric(float64(len(frame)), "B")
}
