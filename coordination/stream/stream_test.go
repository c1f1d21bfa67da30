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

// fleetOf returns a view in which each span is held by two runners.
func fleetOf(t require.TestingT, spans [][2]int) *fleet.View {
	f := protocol.Fleet{Name: "dc"}
	for i, s := range spans {
		for _, copyName := range []string{"x", "y"} {
			f.Runners = append(f.Runners, protocol.Runner{
				Name: string(rune('a'+i)) + copyName, VM: "v", DataCenter: "dc", Accelerator: "a",
				Address: "127.0.0.1:1", Model: "m", From: s[0], To: s[1], Speed: 600, Epoch: 1,
			})
		}
	}
	c, err := config.NewFromModels(1, []protocol.Model{{Name: "m", Version: "1", Layers: layers, Open: 1, Context: 999}}, f)
	require.NoError(t, err)
	return fleet.NewViewFromConfig(nil, c, fleet.Entry{Name: "e1", DataCenter: "dc"})
}

// engine answers a step as a stage does: it records the span run for each
// position, and its last stage answers with the number of the position.
func engine(s *protocol.Step, ran map[int][]protocol.Span) protocol.Reply {
	r := protocol.Reply{
		Request: s.Request, Attempt: s.Attempt, Number: s.Number, Position: s.Position,
		Count: s.Count, Span: s.Span, Epoch: s.Epoch,
	}
	for p := s.Position; p < s.Position+s.Count; p++ {
		ran[p] = append(ran[p], s.Span)
	}
	r.Hidden = make([]byte, s.Count*protocol.HiddenBytes)
	binary.LittleEndian.PutUint64(r.Hidden, uint64(s.Position))
	if s.Span.To == layers {
		r.Hidden = nil
		r.Token = int32(s.Position + s.Count)
	}
	return r
}

// TestAnyOrderOfRepliesGivesTheSameAnswer delivers replies late, out of order,
// doubled, cut short and under wrong positions, loses some, and breaks paths in
// between. Every token must come out once and in order, and each attempt must
// have run every layer of each position once and in order.
func TestAnyOrderOfRepliesGivesTheSameAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := fleetOf(t, [][2]int{{0, 4}, {4, 9}, {9, 12}})
		prompt := make([]int32, rapid.IntRange(1, 20).Draw(t, "prompt"))
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		var m stream.Machine
		m.Open(7, layers, prompt, limit, 0)
		d := &delivery{t: t, machine: &m, view: view}
		d.begin()
		for moves := 0; !m.Finished() && moves < 300; moves++ {
			d.move()
		}
		for !m.Finished() { // the rest goes undisturbed
			if len(d.flying) == 0 {
				d.begin()
			}
			d.deliver(0)
		}
		require.Len(t, d.answer, limit)
		for i, token := range d.answer {
			require.Equal(t, int32(len(prompt)+i), token)
		}
	})
}

// delivery is the network between a machine and its stages.
type delivery struct {
	t       *rapid.T
	machine *stream.Machine
	view    *fleet.View
	flying  []flying
	ran     map[int][]protocol.Span
	answer  []int32
}

type flying struct {
	from  *fleet.Runner
	reply protocol.Reply
}

func (d *delivery) begin() {
	d.ran = map[int][]protocol.Span{}
	found, ok := path.Choose(d.view.Model("m"), path.Query{
		Now: time.Unix(1, 0), Positions: 1, Rand: rand.New(rand.NewPCG(uint64(d.machine.Attempt()), 1)),
	}).(*path.Found)
	require.True(d.t, ok)
	d.send(d.machine.Begin(found.Path()))
}

func (d *delivery) send(s stream.Dispatch) {
	d.flying = append(d.flying, flying{from: s.Runner(), reply: engine(s.Step(), d.ran)})
}

func (d *delivery) move() {
	if len(d.flying) == 0 {
		d.begin()
		return
	}
	at := rapid.IntRange(0, len(d.flying)-1).Draw(d.t, "which")
	switch rapid.IntRange(0, 9).Draw(d.t, "what") {
	case 0: // double
		d.flying = append(d.flying, d.flying[at])
	case 1: // another position
		bad := d.flying[at]
		bad.reply.Position++
		d.flying = append(d.flying, bad)
	case 2: // cut short
		bad := d.flying[at]
		if len(bad.reply.Hidden) > 0 {
			bad.reply.Hidden = bad.reply.Hidden[1:]
			d.flying = append(d.flying, bad)
		}
	case 3: // another stage's reply
		bad := d.flying[at]
		bad.from = d.view.Runner("ax")
		d.flying = append(d.flying, bad)
	case 4: // a new attempt; what flies of the old one arrives late
		d.begin()
	default:
		d.deliver(at)
	}
}

func (d *delivery) deliver(at int) {
	f := d.flying[at]
	d.flying = append(d.flying[:at:at], d.flying[at+1:]...)
	switch x := d.machine.HandleReply(f.from, f.reply).(type) {
	case stream.Dispatches:
		for _, s := range x.All() {
			d.send(s)
		}
	case stream.Emit:
		d.checkLayers()
		d.answer = append(d.answer, x.Token())
		d.send(x.Next())
	case stream.Finish:
		d.checkLayers()
		if token, ok := x.Token(); ok {
			d.answer = append(d.answer, token)
		}
	case stream.Restart:
		d.begin()
	case stream.Ignore:
	}
}

// checkLayers checks that the attempt has run all layers of each position.
func (d *delivery) checkLayers() {
	for p := range len(d.ran) {
		at := 0
		for _, s := range d.ran[p] {
			require.Equal(d.t, at, s.From, "position %d", p)
			at = s.To
		}
		require.Equal(d.t, layers, at, "position %d", p)
	}
}

func TestFaultsTellWhy(t *testing.T) {
	for fault := protocol.FaultSpan; fault <= protocol.FaultOverload; fault++ {
		view := fleetOf(t, [][2]int{{0, 12}})
		var m stream.Machine
		m.Open(7, layers, []int32{1}, 4, 0)
		found := path.Choose(view.Model("m"), path.Query{Now: time.Unix(1, 0), Rand: rand.New(rand.NewPCG(1, 1))}).(*path.Found)
		s := m.Begin(found.Path())
		d := m.HandleReply(s.Runner(), protocol.Reply{Request: 7, Attempt: 1, Number: 1, Fault: fault})
		require.IsType(t, stream.Restart{}, d, fault.String())
	}
}
