// SPDX-License-Identifier: Apache-2.0

// Package stream is the state of one model request: which step goes out next,
// which replies count, and which tokens the caller has got.
//
// It is pure. The caller of Begin and Take does the sending:
//
//	m := stream.Machine{}
//	m.Open(id, layers, prompt, limit)
//	send := m.Begin(path)
//	switch d := m.Take(runner, reply).(type) {
//	case stream.Send:   // send d.Step() to d.Runner()
//	case stream.Emit:   // give d.Token() to the caller, then send d.Next()
//	case stream.Finish: // the answer is whole
//	case stream.Ignore: // an old, doubled or foreign reply: count it
//	case stream.Break:  // the path no longer works: choose another and Begin
//	}
//
// A token is emitted only when replies under the current attempt have covered
// every layer once and in order for its position.
package stream

import (
	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// Chunk is the most positions that one step carries, so that a long prompt
	// does not hold up the other streams of a batch.
	Chunk = 256
	// EndToken is the token by which a model says that its answer is complete.
	EndToken = 0
)

// Decision is what to do after a reply.
type Decision interface{ decision() }

// Send is a step for a runner.
type Send struct {
	runner *fleet.Runner
	step   protocol.Step
}

// Runner returns the runner that gets the step.
func (s Send) Runner() *fleet.Runner { return s.runner }

// Step returns the step.
func (s Send) Step() protocol.Step { return s.step }

// Passes returns the layer passes that the step asks for.
func (s Send) Passes() int64 { return int64(s.step.Count * s.step.Span.Layers()) }

// Emit is a token for the caller and the step that follows it.
type Emit struct {
	token int32
	next  Send
}

// Token returns the new token.
func (e Emit) Token() int32 { return e.token }

// Next returns the step to send after the token.
func (e Emit) Next() Send { return e.next }

// Finish ends the answer. It holds the last token unless the model ended it.
type Finish struct {
	token int32
	ended bool
}

// Token returns the last token, and false if the model ended the answer itself.
func (f Finish) Token() (int32, bool) { return f.token, !f.ended }

// Ignore is a reply that counts for nothing.
type Ignore struct{}

// Break says that the path can't go on and why.
type Break struct {
	reason metric.Reason
	runner *fleet.Runner
}

// Reason returns why the path broke.
func (b Break) Reason() metric.Reason { return b.reason }

// Runner returns the runner to leave out of the next path, or nil.
func (b Break) Runner() *fleet.Runner { return b.runner }

func (Send) decision()   {}
func (Emit) decision()   {}
func (Finish) decision() {}
func (Ignore) decision() {}
func (Break) decision()  {}

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
	stage    int
	position int // first position of the step in flight
	count    int
	inFlight bool
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
func (m *Machine) Begin(p *path.Path) Send {
	m.attempt++
	m.path = *p
	m.position = 0
	m.stage = 0
	return m.first()
}

// Attempt returns the number of the current attempt, 1 for the first.
func (m *Machine) Attempt() uint32 { return m.attempt }

// Path returns the path of the current attempt.
func (m *Machine) Path() *path.Path { return &m.path }

// Emitted returns the tokens that the caller has got. The caller must not
// change the slice.
func (m *Machine) Emitted() []int32 { return m.tokens[m.prompt:] }

// Positions returns how many positions the current attempt has to run before
// the next token.
func (m *Machine) Positions() int { return len(m.tokens) - m.position }

// Finished reports whether the answer is whole.
func (m *Machine) Finished() bool { return m.finished }

// first returns the first stage's step from the current position on.
func (m *Machine) first() Send {
	m.stage = 0
	m.count = min(Chunk, len(m.tokens)-m.position)
	return m.send(m.tokens[m.position:m.position+m.count], nil)
}

func (m *Machine) send(tokens []int32, hidden []byte) Send {
	m.inFlight = true
	r := m.path.Runner(m.stage)
	return Send{runner: r, step: protocol.Step{
		Request:  m.request,
		Attempt:  m.attempt,
		Position: m.position,
		Count:    m.count,
		Span:     r.Span(),
		Epoch:    r.Spec().Epoch,
		Priority: m.priority,
		Tokens:   tokens,
		Hidden:   hidden,
	}}
}

// Take decides on a reply that came from a runner.
func (m *Machine) Take(from *fleet.Runner, r protocol.Reply) Decision {
	if m.finished || !m.inFlight || !m.expects(from, &r) {
		return Ignore{}
	}
	if r.Fault != protocol.FaultNone {
		return m.faulted(from, r.Fault)
	}
	if r.Span != from.Span() || r.Epoch != from.Spec().Epoch {
		return Break{reason: metric.SpanMoved, runner: from}
	}
	if m.stage+1 < m.path.Len() {
		return m.pass(from, r.Hidden)
	}
	m.inFlight = false
	m.position += m.count
	if m.position < len(m.tokens) {
		return m.first()
	}
	return m.emit(r.Token)
}

// expects reports whether r answers the one step in flight.
func (m *Machine) expects(from *fleet.Runner, r *protocol.Reply) bool {
	return r.Request == m.request && r.Attempt == m.attempt && r.Position == m.position &&
		(r.Count == m.count || r.Fault != protocol.FaultNone) && from == m.path.Runner(m.stage)
}

func (m *Machine) faulted(from *fleet.Runner, f protocol.Fault) Decision {
	switch f {
	case protocol.FaultSpan:
		return Break{reason: metric.SpanMoved, runner: from}
	case protocol.FaultCache:
		return Break{reason: metric.CacheLost}
	case protocol.FaultLeaving:
		return Break{reason: metric.RunnerLeaving, runner: from}
	case protocol.FaultOverload:
		return Break{reason: metric.Overloaded, runner: from}
	default:
		return Break{reason: metric.BadReply, runner: from}
	}
}

func (m *Machine) pass(from *fleet.Runner, hidden []byte) Decision {
	if len(hidden) != m.count*protocol.HiddenBytes {
		return Break{reason: metric.BadReply, runner: from}
	}
	m.stage++
	return m.send(nil, hidden)
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
	return Emit{token: token, next: m.first()}
}
