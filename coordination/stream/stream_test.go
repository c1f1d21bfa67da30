// SPDX-License-Identifier: Apache-2.0

package stream_test

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/coordination/stream"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/state/fleet"
)

const layers = 12

// newTestView returns a view in which each span is held by two runners.
func newTestView(t require.TestingT, spans [][2]int) *fleet.View {
	f := protocol.Fleet{Name: "dc"}
	for i, s := range spans {
		for _, replica := range []string{"x", "y"} {
			f.Runners = append(f.Runners, protocol.Runner{
				Name: string(rune('a'+i)) + replica, VM: "v", DataCenter: "dc", Accelerator: "a",
				Address: "127.0.0.1:1", Model: "m", From: s[0], To: s[1], Speed: 600, Epoch: 1,
			})
		}
	}
	c, err := config.NewFromModels(1, []protocol.Model{{Name: "m", Version: "1", Layers: layers, MaxOpen: 1, Context: 999}}, f)
	require.NoError(t, err)
	return fleet.NewViewFromConfig(nil, c, fleet.Entry{Name: "e1", DataCenter: "dc"})
}

// runStep answers a step as a stage does. It records the span that ran for each position. The last
// stage answers with the number of the position.
func runStep(s *protocol.Step, spans map[int][]protocol.Span) protocol.Reply {
	r := protocol.Reply{
		Request: s.Request, Attempt: s.Attempt, Number: s.Number, Position: s.Position,
		Count: s.Count, Span: s.Span, Epoch: s.Epoch,
	}
	for p := s.Position; p < s.Position+s.Count; p++ {
		spans[p] = append(spans[p], s.Span)
	}
	r.Hidden = make([]byte, s.Count*protocol.HiddenStateBytes)
	binary.LittleEndian.PutUint64(r.Hidden, uint64(s.Position))
	if s.Span.To == layers {
		r.Hidden = nil
		r.Token = int32(s.Position + s.Count)
	}
	return r
}

// TestReplyOrderDoesNotChangeAnswer delivers replies late, out of order, duplicated, truncated and
// with wrong positions, loses some, and restarts attempts in between. Every token must be emitted
// once and in order, and each attempt must have run every layer of each position once and in order.
func TestReplyOrderDoesNotChangeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := newTestView(t, [][2]int{{0, 4}, {4, 9}, {9, 12}})
		prompt := make([]int32, rapid.IntRange(1, 20).Draw(t, "prompt"))
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		var m stream.Machine
		m.Open(7, layers, prompt, limit, 0)
		n := &network{t: t, machine: &m, view: view}
		n.beginAttempt()
		for steps := 0; !m.Finished() && steps < 300; steps++ {
			n.step()
		}
		for !m.Finished() { // deliver the rest undisturbed
			if len(n.inFlight) == 0 {
				n.beginAttempt()
			}
			n.deliver(0)
		}
		require.Len(t, n.answer, limit)
		for i, token := range n.answer {
			require.Equal(t, int32(len(prompt)+i), token)
		}
	})
}

// network carries the steps and replies between a machine and its stages.
type network struct {
	t        *rapid.T
	machine  *stream.Machine
	view     *fleet.View
	inFlight []sentReply
	ranSpans map[int][]protocol.Span
	answer   []int32
}

type sentReply struct {
	from  *fleet.Runner
	reply protocol.Reply
}

func (n *network) beginAttempt() {
	n.ranSpans = map[int][]protocol.Span{}
	found, ok := path.Choose(n.view.Model("m"), path.Query{
		Now: time.Unix(1, 0), Positions: 1, Rand: rand.New(rand.NewPCG(uint64(n.machine.Attempt()), 1)),
	}).(*path.Found)
	require.True(n.t, ok)
	n.send(n.machine.Begin(found.Path()))
}

func (n *network) send(d stream.Dispatch) {
	n.inFlight = append(n.inFlight, sentReply{from: d.Runner(), reply: runStep(d.Step(), n.ranSpans)})
}

func (n *network) step() {
	if len(n.inFlight) == 0 {
		n.beginAttempt()
		return
	}
	index := rapid.IntRange(0, len(n.inFlight)-1).Draw(n.t, "reply")
	switch rapid.IntRange(0, 9).Draw(n.t, "fault") {
	case 0: // duplicate
		n.inFlight = append(n.inFlight, n.inFlight[index])
	case 1: // wrong position
		bad := n.inFlight[index]
		bad.reply.Position++
		n.inFlight = append(n.inFlight, bad)
	case 2: // truncated
		bad := n.inFlight[index]
		if len(bad.reply.Hidden) > 0 {
			bad.reply.Hidden = bad.reply.Hidden[1:]
			n.inFlight = append(n.inFlight, bad)
		}
	case 3: // reply of another stage
		bad := n.inFlight[index]
		bad.from = n.view.Runner("ax")
		n.inFlight = append(n.inFlight, bad)
	case 4: // new attempt; replies to the old one arrive late
		n.beginAttempt()
	default:
		n.deliver(index)
	}
}

func (n *network) deliver(index int) {
	sent := n.inFlight[index]
	n.inFlight = append(n.inFlight[:index:index], n.inFlight[index+1:]...)
	switch d := n.machine.HandleReply(sent.from, sent.reply).(type) {
	case stream.Dispatches:
		for _, s := range d.All() {
			n.send(s)
		}
	case stream.Emit:
		n.checkLayers()
		n.answer = append(n.answer, d.Token())
		n.send(d.Next())
	case stream.Finish:
		n.checkLayers()
		if token, ok := d.Token(); ok {
			n.answer = append(n.answer, token)
		}
	case stream.Restart:
		n.beginAttempt()
	case stream.Ignore:
	}
}

// checkLayers checks that the attempt has run all layers of each position.
func (n *network) checkLayers() {
	for p := range len(n.ranSpans) {
		layer := 0
		for _, s := range n.ranSpans[p] {
			require.Equal(n.t, layer, s.From, "position %d", p)
			layer = s.To
		}
		require.Equal(n.t, layers, layer, "position %d", p)
	}
}

func TestFaultsRestartAttempt(t *testing.T) {
	for fault := protocol.FaultWrongLayers; fault <= protocol.FaultOverload; fault++ {
		view := newTestView(t, [][2]int{{0, 12}})
		var m stream.Machine
		m.Open(7, layers, []int32{1}, 4, 0)
		found := path.Choose(view.Model("m"), path.Query{Now: time.Unix(1, 0), Rand: rand.New(rand.NewPCG(1, 1))}).(*path.Found)
		s := m.Begin(found.Path())
		d := m.HandleReply(s.Runner(), protocol.Reply{Request: 7, Attempt: 1, Number: 1, Fault: fault})
		require.IsType(t, stream.Restart{}, d, fault.String())
	}
}
