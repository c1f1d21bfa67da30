// SPDX-License-Identifier: Apache-2.0

// Package stream implements the state machine of one model request: which steps to send next, which
// replies count, and which tokens the caller has received.
//
// It does no I/O. The caller of Begin and HandleReply sends the steps:
//
//	var m stream.Machine
//	m.Open(id, layers, prompt, limit, priority)
//	first := m.Begin(path)
//	switch d := m.HandleReply(runner, reply).(type) {
//	case stream.Dispatches: // send each of d.All()
//	case stream.Emit:       // give d.Token() to the caller, then send d.Next()
//	case stream.Finish:     // the answer is complete
//	case stream.Ignore:     // an old, duplicate or foreign reply: count it
//	case stream.Restart:    // the path failed: choose another one and call Begin
//	}
//
// A prompt passes through the stages in consecutive chunks, so that all stages work on it at the
// same time. Each stage has at most one step of the request in flight. A token is emitted only when
// replies of the current attempt have covered every layer of its position, once and in order.
package stream

import (
	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// maxChunkSeconds is how long one chunk of a prompt may take on the slowest stage of its path,
	// so that it does not delay the other streams there.
	maxChunkSeconds = 0.010
	minChunkSize    = 2
	maxChunkSize    = 256
	// EndToken is the token by which a model ends its answer.
	EndToken = 0
)

// chunk is a range of positions on its way through the stages.
type chunk struct {
	position int
	count    int
	number   uint32 // of the step that carries it
	hidden   []byte
}

// stage is one stage of the current attempt: its step in flight, if any, and the chunks that the
// previous stage has passed on in the meantime.
type stage struct {
	busy     bool
	inFlight chunk
	waiting  []chunk
}

// Machine is the state of one request. Call Open before use.
type Machine struct {
	request      protocol.RequestID
	priority     uint8
	layers       int
	limit        int
	tokens       []int32 // prompt and emitted tokens
	promptLength int     // number of prompt tokens
	attempt      uint32
	path         path.Path
	stages       []stage
	chunkSize    int
	nextPosition int // first position not yet sent to the first stage
	lastNumber   uint32
	finished     bool
}

// Open sets the request of the machine: the number of layers of the model, a prompt of at least one
// token and the maximum number of tokens of the answer.
func (m *Machine) Open(id protocol.RequestID, layers int, prompt []int32, limit int, priority uint8) {
	*m = Machine{request: id, layers: layers, limit: limit, promptLength: len(prompt), priority: priority}
	m.tokens = make([]int32, len(prompt), len(prompt)+limit)
	copy(m.tokens, prompt)
}

// Begin starts a new attempt on a path and returns its first step. Replies to earlier attempts no
// longer count.
func (m *Machine) Begin(p *path.Path) Dispatch {
	m.attempt++
	m.path = *p
	m.stages = make([]stage, p.Len())
	m.chunkSize = chunkSizeFor(p)
	m.nextPosition = 0
	return m.startChunk()
}

// chunkSizeFor returns how many positions the slowest stage runs in maxChunkSeconds.
func chunkSizeFor(p *path.Path) int {
	size := float64(maxChunkSize)
	for i := range p.Len() {
		r := p.Runner(i)
		size = min(size, r.Spec().Speed/float64(r.Span().Layers())*maxChunkSeconds)
	}
	return max(minChunkSize, int(size))
}

// Attempt returns the number of the current attempt, 1 for the first.
func (m *Machine) Attempt() uint32 { return m.attempt }

// Path returns the path of the current attempt.
func (m *Machine) Path() *path.Path { return &m.path }

// Emitted returns the tokens that the caller has received. The caller must not change the slice.
func (m *Machine) Emitted() []int32 { return m.tokens[m.promptLength:] }

// TokenCount returns the number of tokens that a new attempt has to run before it generates the
// next one.
func (m *Machine) TokenCount() int { return len(m.tokens) }

// Remaining returns how many more tokens the answer may have.
func (m *Machine) Remaining() int { return m.limit - len(m.Emitted()) }

// Finished reports whether the answer is complete.
func (m *Machine) Finished() bool { return m.finished }

// startChunk returns the first stage's step for the next positions.
func (m *Machine) startChunk() Dispatch {
	count := min(m.chunkSize, len(m.tokens)-m.nextPosition)
	c := chunk{position: m.nextPosition, count: count}
	tokens := m.tokens[m.nextPosition : m.nextPosition+count]
	m.nextPosition += count
	return m.dispatch(0, c, tokens)
}

func (m *Machine) dispatch(stage int, c chunk, tokens []int32) Dispatch {
	s := &m.stages[stage]
	m.lastNumber++
	c.number = m.lastNumber
	s.busy = true
	s.inFlight = c
	r := m.path.Runner(stage)
	return Dispatch{runner: r, step: protocol.Step{
		Request:  m.request,
		Attempt:  m.attempt,
		Number:   c.number,
		Position: c.position,
		Count:    c.count,
		Span:     r.Span(),
		Epoch:    r.Spec().Epoch,
		Priority: m.priority,
		Tokens:   tokens,
		Hidden:   c.hidden,
	}}
}

// HandleReply decides on a reply from a runner.
func (m *Machine) HandleReply(from *fleet.Runner, r protocol.Reply) Decision {
	stage := m.stageOf(from, &r)
	if stage < 0 {
		return Ignore{}
	}
	if r.Fault != protocol.FaultNone {
		return m.handleFault(from, r.Fault)
	}
	if r.Span != from.Span() || r.Epoch != from.Spec().Epoch {
		return Restart{reason: metric.SpanMoved, runner: from}
	}
	if sent := &m.stages[stage].inFlight; r.Position != sent.position || r.Count != sent.count {
		return Restart{reason: metric.BadReply, runner: from}
	}
	m.stages[stage].busy = false
	if stage+1 < len(m.stages) {
		return m.passOn(stage, &r)
	}
	if r.Position+r.Count < len(m.tokens) {
		return m.startNext(stage, Dispatches{})
	}
	return m.emit(r.Token)
}

// stageOf returns the stage whose step in flight a reply answers, or -1.
func (m *Machine) stageOf(from *fleet.Runner, r *protocol.Reply) int {
	if m.finished || r.Request != m.request || r.Attempt != m.attempt {
		return -1
	}
	for i := range m.stages {
		s := &m.stages[i]
		if s.busy && s.inFlight.number == r.Number && m.path.Runner(i) == from {
			return i
		}
	}
	return -1
}

func (m *Machine) handleFault(from *fleet.Runner, fault protocol.Fault) Decision {
	switch fault {
	case protocol.FaultWrongLayers:
		return Restart{reason: metric.SpanMoved, runner: from}
	case protocol.FaultCacheMissing:
		return Restart{reason: metric.CacheLost}
	case protocol.FaultLeaving:
		return Restart{reason: metric.RunnerLeaving, runner: from}
	case protocol.FaultOverload:
		return Restart{reason: metric.Overloaded, runner: from}
	default:
		return Restart{reason: metric.BadReply, runner: from}
	}
}

// passOn passes a chunk on to the next stage.
func (m *Machine) passOn(stage int, r *protocol.Reply) Decision {
	if len(r.Hidden) != r.Count*protocol.HiddenStateBytes {
		return Restart{reason: metric.BadReply, runner: m.path.Runner(stage)}
	}
	var out Dispatches
	c := chunk{position: r.Position, count: r.Count, hidden: r.Hidden}
	next := &m.stages[stage+1]
	if next.busy || len(next.waiting) > 0 {
		next.waiting = append(next.waiting, c)
	} else {
		out.add(m.dispatch(stage+1, c, nil))
	}
	return m.startNext(stage, out)
}

// startNext gives an idle stage its next chunk, if there is one.
func (m *Machine) startNext(stage int, out Dispatches) Decision {
	s := &m.stages[stage]
	switch {
	case len(s.waiting) > 0:
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		out.add(m.dispatch(stage, c, nil))
	case stage == 0 && m.nextPosition < len(m.tokens):
		out.add(m.startChunk())
	}
	return out
}

func (m *Machine) emit(token int32) Decision {
	if token == EndToken {
		m.finished = true
		return Finish{byModel: true}
	}
	m.tokens = append(m.tokens, token)
	if len(m.tokens)-m.promptLength >= m.limit {
		m.finished = true
		return Finish{token: token}
	}
	return Emit{token: token, next: m.startChunk()}
}
