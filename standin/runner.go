// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/protocol"
)

const (
	// reportInterval is the time between two load reports of an engine.
	reportInterval = 100 * time.Millisecond
	// batchTime is the maximum duration of a batch, not counting a prompt chunk.
	batchTime = 10 * time.Millisecond
	// maxQueuedSteps is the queue length from which an engine refuses further steps.
	maxQueuedSteps = 4096
	// maxSequences is the maximum number of requests whose caches an engine keeps.
	maxSequences = 8192
)

// Runner is a stand-in engine with continuous batching. Each batch takes queued steps
// in order of priority, up to a budget, and lasts as long as its layer passes take at
// the speed of the runner.
type Runner struct {
	server
	Spec         protocol.Runner
	Layers       int // of the complete model
	ExecutionLog *ExecutionLog
	Unfenced     bool // accepts orders without checking their fence

	mutex        sync.Mutex
	queue        []job
	wake         chan struct{}
	sequences    map[protocol.RequestID]*sequence
	prefixes     prefixCache
	conns        map[*runnerConn]struct{}
	slowdown     float64
	replyFaults  ReplyFaults
	leaving      bool
	busyUntil    time.Time
	fence        uint64
	orders       []ReceivedOrder
	crashTrigger *crashTrigger // nil if the engine never crashes
	incarnation  protocol.Incarnation
}

type job struct {
	conn *runnerConn
	step protocol.Step
}

// sequence is the KV cache of one request after the first `positions` positions, with
// one value for each loaded layer.
type sequence struct {
	attempt   uint32
	positions int
	caches    []uint64
	cancelled bool
}

// ReplyFaults configures faults in replies. A value n affects one in n replies on average;
// zero disables the fault.
type ReplyFaults struct {
	Duplicate, Delay, Drop, WrongSpan, WrongPosition, Truncate int
}

// Listen starts the engine at an address.
func (r *Runner) Listen(address string) error {
	r.wake = make(chan struct{}, 1)
	r.sequences = map[protocol.RequestID]*sequence{}
	r.conns = map[*runnerConn]struct{}{}
	r.incarnation = protocol.Incarnation(time.Now().UnixMilli())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /steps", r.serveSteps)
	mux.HandleFunc("GET /load", r.serveLoad)
	mux.HandleFunc("GET /ledger", r.serveExecutionLog)
	mux.HandleFunc("GET /kv/{request}", r.serveExport)
	mux.HandleFunc("PUT /kv/{request}", r.serveImport)
	mux.HandleFunc("GET /events", r.serveEvents)
	mux.HandleFunc("POST /orders", r.serveOrder)
	mux.HandleFunc("GET /orders", r.serveOrders)
	if err := r.listen(address, mux); err != nil {
		return err
	}
	go r.run()
	return nil
}

// Close simulates a kill of the engine's process: its connections break at once.
func (r *Runner) Close() {
	r.server.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for c := range r.conns {
		_ = c.socket.CloseNow()
	}
}

// PowerOff simulates a power loss of the engine's VM: step connections stay open, but the
// engine no longer answers.
func (r *Runner) PowerOff() { r.server.Close() }

// SetSlowdown makes the engine slower by a factor; 1 restores the normal speed.
func (r *Runner) SetSlowdown(times float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.slowdown = times
}

// SetReplyFaults replaces the faults that the engine injects into its replies.
func (r *Runner) SetReplyFaults(m ReplyFaults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replyFaults = m
}

// Leave makes the engine refuse new sequences and report that it is leaving.
func (r *Runner) Leave() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leaving = true
}

// enqueue adds steps to the queue, behind those of equal or higher priority. It refuses
// steps that exceed maxQueuedSteps.
func (r *Runner) enqueue(c *runnerConn, steps []protocol.Step) {
	r.mutex.Lock()
	for _, s := range steps {
		r.queue = append(r.queue, job{conn: c, step: s})
	}
	overflow := max(0, len(r.queue)-maxQueuedSteps)
	refused := r.queue[len(r.queue)-overflow:]
	r.queue = r.queue[:len(r.queue)-overflow]
	sortByPriority(r.queue)
	r.mutex.Unlock()
	for i := range refused {
		s := &refused[i].step
		refused[i].conn.send([]protocol.Reply{{
			Request: s.Request, Attempt: s.Attempt, Number: s.Number, Position: s.Position, Count: s.Count, Fault: protocol.FaultOverload,
		}}, ReplyFaults{})
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) load() protocol.LoadReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	queued := int64(max(0, time.Until(r.busyUntil).Seconds()) * r.Spec.Speed)
	for i := range r.queue {
		queued += int64(r.queue[i].step.Count * r.queue[i].step.Span.Layers())
	}
	return protocol.LoadReport{
		Runner: r.Spec.Name, Epoch: r.Spec.Epoch, From: r.Spec.From, To: r.Spec.To,
		Queued: queued, Streams: len(r.sequences), Leaving: r.leaving,
		UnixMS: time.Now().UnixMilli(), Incarnation: r.incarnation,
	}
}

func (r *Runner) serveSteps(w http.ResponseWriter, q *http.Request) {
	ws, err := websocket.Accept(w, q, nil)
	if err != nil {
		return
	}
	c := &runnerConn{runner: r, socket: ws}
	r.mutex.Lock()
	r.conns[c] = struct{}{}
	r.mutex.Unlock()
	c.sendReport(r.load())
	c.run()
	r.mutex.Lock()
	delete(r.conns, c)
	r.mutex.Unlock()
}

// report sends a load report to every connected entry.
func (r *Runner) report() {
	l := r.load()
	r.mutex.Lock()
	conns := make([]*runnerConn, 0, len(r.conns))
	for c := range r.conns {
		conns = append(conns, c)
	}
	r.mutex.Unlock()
	for _, c := range conns {
		c.sendReport(l)
	}
}
