// SPDX-License-Identifier: Apache-2.0

// Package stream is the state of one model request: which steps go out next,
// which replies count, and which tokens the caller has got.
//
// It is pure. The caller of Begin and Take does the sending:
//
//	var m stream.Machine
//	m.Open(id, layers, prompt, limit, priority)
//	sends := m.Begin(path)
//	switch d := m.Take(runner, reply).(type) {
//	case stream.Sends:  // send each of d.All()
//	case stream.Emit:   // give d.Token() to the caller, then send d.Next()
//	case stream.Finish: // the answer is whole
//	case stream.Ignore: // an old, doubled or foreign reply: count it
//	case stream.Break:  // the path no longer works: choose another and Begin
//	}
//
// A prompt goes through the stages in chunks, one behind the other, so that all
// stages work on it at once. Each stage has at most one step of the request in
// flight. A token is emitted only when replies under the current attempt have
// covered every layer once and in order for its position.
package stream

import (
	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// chunkSeconds is how long one chunk of a prompt may take on the slowest
	// stage of its path, so that it does not hold up the other streams there.
	chunkSeconds = 0.010
	minChunk     = 2
	maxChunk     = 256
	// EndToken is the token by which a model says that its answer is complete.
	EndToken = 0
)

// piece is a run of positions on its way through the stages.
type piece struct {
	position int
	count    int
	number   uint32 // of the step that carries it
	hidden   []byte
}

// stage is one stage of the current attempt: the step in flight, if any, and
// the pieces that the stage before it has passed on meanwhile.
type stage struct {
	busy    bool
	flight  piece
	waiting []piece
}

// Machine is one request's progress. Open it before use.
type Machine struct {
	request  protocol.RequestID
	priority uint8
	layers   int
	limit    int
	tokens   []int32 // prompt and emitted tokens
	prompt   int     // how many of them are prompt
	attempt  uint32
	path     path.Path
	stages   []stage
	chunk    int
	fed      int // positions given to the first stage
	number   uint32
	finished bool
}

// Open sets the request that the machine carries: the model's layers, a prompt
// of at least one token and the most tokens to answer.
func (m *Machine) Open(id protocol.RequestID, layers int, prompt []int32, limit int, priority uint8) {
	*m = Machine{request: id, layers: layers, limit: limit, prompt: len(prompt), priority: priority}
	m.tokens = make([]int32, len(prompt), len(prompt)+limit)
	copy(m.tokens, prompt)
}

// Begin starts a new attempt on a path and returns its first step. Replies to
// older attempts count for nothing from here on.
func (m *Machine) Begin(p *path.Path) Dispatch {
	m.attempt++
	m.path = *p
	m.stages = make([]stage, p.Len())
	m.chunk = chunkFor(p)
	m.fed = 0
	return m.feed()
}

// chunkFor returns how many positions the slowest stage runs in chunkSeconds.
func chunkFor(p *path.Path) int {
	chunk := float64(maxChunk)
	for i := range p.Len() {
		r := p.Runner(i)
		chunk = min(chunk, r.Spec().Speed/float64(r.Span().Layers())*chunkSeconds)
	}
	return max(minChunk, int(chunk))
}

// Attempt returns the number of the current attempt, 1 for the first.
func (m *Machine) Attempt() uint32 { return m.attempt }

// Path returns the path of the current attempt.
func (m *Machine) Path() *path.Path { return &m.path }

// Emitted returns the tokens that the caller has got. The caller must not
// change the slice.
func (m *Machine) Emitted() []int32 { return m.tokens[m.prompt:] }

// TokenCount returns how many tokens a new attempt has to run before the next one.
func (m *Machine) TokenCount() int { return len(m.tokens) }

// Remaining returns how many tokens the answer may still get.
func (m *Machine) Remaining() int { return m.limit - len(m.Emitted()) }

// Finished reports whether the answer is whole.
func (m *Machine) Finished() bool { return m.finished }

// feed returns the first stage's step over the next positions.
func (m *Machine) feed() Dispatch {
	count := min(m.chunk, len(m.tokens)-m.fed)
	p := piece{position: m.fed, count: count}
	tokens := m.tokens[m.fed : m.fed+count]
	m.fed += count
	return m.start(0, p, tokens)
}

func (m *Machine) start(at int, p piece, tokens []int32) Dispatch {
	s := &m.stages[at]
	m.number++
	p.number = m.number
	s.busy = true
	s.flight = p
	r := m.path.Runner(at)
	return Dispatch{runner: r, step: protocol.Step{
		Request:  m.request,
		Attempt:  m.attempt,
		Number:   p.number,
		Position: p.position,
		Count:    p.count,
		Span:     r.Span(),
		Epoch:    r.Spec().Epoch,
		Priority: m.priority,
		Tokens:   tokens,
		Hidden:   p.hidden,
	}}
}

// HandleReply decides on a reply that came from a runner.
func (m *Machine) HandleReply(from *fleet.Runner, r protocol.Reply) Decision {
	at := m.stageOf(from, &r)
	if at < 0 {
		return Ignore{}
	}
	if r.Fault != protocol.FaultNone {
		return m.faulted(from, r.Fault)
	}
	if r.Span != from.Span() || r.Epoch != from.Spec().Epoch {
		return Restart{reason: metric.SpanMoved, runner: from}
	}
	if f := &m.stages[at].flight; r.Position != f.position || r.Count != f.count {
		return Restart{reason: metric.BadReply, runner: from}
	}
	m.stages[at].busy = false
	if at+1 < len(m.stages) {
		return m.pass(at, &r)
	}
	if r.Position+r.Count < len(m.tokens) {
		return m.refill(at, Dispatches{})
	}
	return m.emit(r.Token)
}

// stageOf returns the stage whose step in flight r answers, or -1.
func (m *Machine) stageOf(from *fleet.Runner, r *protocol.Reply) int {
	if m.finished || r.Request != m.request || r.Attempt != m.attempt {
		return -1
	}
	for i := range m.stages {
		s := &m.stages[i]
		if s.busy && s.flight.number == r.Number && m.path.Runner(i) == from {
			return i
		}
	}
	return -1
}

func (m *Machine) faulted(from *fleet.Runner, f protocol.Fault) Decision {
	switch f {
	case protocol.FaultSpan:
		return Restart{reason: metric.SpanMoved, runner: from}
	case protocol.FaultCache:
		return Restart{reason: metric.CacheLost}
	case protocol.FaultLeaving:
		return Restart{reason: metric.RunnerLeaving, runner: from}
	case protocol.FaultOverload:
		return Restart{reason: metric.Overloaded, runner: from}
	default:
		return Restart{reason: metric.BadReply, runner: from}
	}
}

// pass hands a piece on to the next stage.
func (m *Machine) pass(at int, r *protocol.Reply) Decision {
	if len(r.Hidden) != r.Count*protocol.HiddenBytes {
		return Restart{reason: metric.BadReply, runner: m.path.Runner(at)}
	}
	var out Dispatches
	p := piece{position: r.Position, count: r.Count, hidden: r.Hidden}
	next := &m.stages[at+1]
	if next.busy || len(next.waiting) > 0 {
		next.waiting = append(next.waiting, p)
	} else {
		out.add(m.start(at+1, p, nil))
	}
	return m.refill(at, out)
}

// refill gives an idle stage its next piece, if there is one.
func (m *Machine) refill(at int, out Dispatches) Decision {
	s := &m.stages[at]
	switch {
	case len(s.waiting) > 0:
		p := s.waiting[0]
		s.waiting = s.waiting[1:]
		out.add(m.start(at, p, nil))
	case at == 0 && m.fed < len(m.tokens):
		out.add(m.feed())
	}
	return out
}

func (m *Machine) emit(token int32) Decision {
	if token == EndToken {
		m.finished = true
		return Finish{ended: true}
	}
	m.tokens = append(m.tokens, token)
	if len(m.tokens)-m.prompt >= m.limit {
		m.finished = true
		return Finish{token: token}
	}
	return Emit{token: token, next: m.feed()}
}
