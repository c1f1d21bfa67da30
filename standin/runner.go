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
	// reportLag is how old an engine's load report is when it leaves.
	reportLag = 100 * time.Millisecond
	// batchTime is how long a batch may last, but for the chunk of a prompt.
	batchTime = 10 * time.Millisecond
	// maxQueuedSteps is how many steps wait before an engine refuses more.
	maxQueuedSteps = 4096
	// maxSequences is how many requests' caches an engine keeps.
	maxSequences = 8192
)

// Runner is a stand-in engine. It batches continuously: all steps that wait go
// into the next batch, urgent ones first, and a batch takes as long as its
// layer passes need at the runner's speed.
type Runner struct {
	server
	Spec         protocol.Runner
	Layers       int // of the whole model
	ExecutionLog *ExecutionLog
	Unfenced     bool // takes orders without checking their epoch

	mutex     sync.Mutex
	queue     []job
	wake      chan struct{}
	sequences map[protocol.RequestID]*sequence
	prefixes  prefixCache
	conns     map[*runnerConn]struct{}
	slowdown  float64
	mangle    ReplyFaults
	leaving   bool
	nextFree  time.Time
	fence     uint64
	orders    []ReceivedOrder
	ends      *ends // nil for never
	born      protocol.Incarnation
}

type job struct {
	conn *runnerConn
	step protocol.Step
}

// sequence is the KV cache of one request: one value for each layer held, after
// the first `positions` positions.
type sequence struct {
	attempt   uint32
	positions int
	caches    []uint64
	cancelled bool
}

// ReplyFaults says what goes wrong with one in so many replies; zero means never.
type ReplyFaults struct {
	Duplicate, Delay, Drop, WrongSpan, WrongPosition, Truncate int
}

// Listen starts the engine on an address.
func (r *Runner) Listen(address string) error {
	r.wake = make(chan struct{}, 1)
	r.sequences = map[protocol.RequestID]*sequence{}
	r.conns = map[*runnerConn]struct{}{}
	r.born = protocol.Incarnation(time.Now().UnixMilli())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /steps", r.serveSteps)
	mux.HandleFunc("GET /load", r.serveLoad)
	mux.HandleFunc("GET /ledger", r.serveLedger)
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

// Close kills the engine's process: its connections break at once.
func (r *Runner) Close() {
	r.server.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for c := range r.conns {
		_ = c.socket.CloseNow()
	}
}

// PowerOff cuts the engine off as when its VM loses power: connections stay open
// and nothing answers any more.
func (r *Runner) PowerOff() { r.server.Close() }

// SetSlowdown makes the engine that many times slower; 1 restores it.
func (r *Runner) SetSlowdown(times float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.slowdown = times
}

// SetReplyFaults sets what goes wrong with the engine's replies.
func (r *Runner) SetReplyFaults(m ReplyFaults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mangle = m
}

// Leave makes the engine refuse new sequences and report that it is leaving.
func (r *Runner) Leave() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leaving = true
}

// enqueue puts steps behind those at least as urgent.
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
	queued := int64(max(0, time.Until(r.nextFree).Seconds()) * r.Spec.Speed)
	for i := range r.queue {
		queued += int64(r.queue[i].step.Count * r.queue[i].step.Span.Layers())
	}
	return protocol.LoadReport{
		Runner: r.Spec.Name, Epoch: r.Spec.Epoch, From: r.Spec.From, To: r.Spec.To,
		Queued: queued, Streams: len(r.sequences), Leaving: r.leaving,
		UnixMS: time.Now().UnixMilli(), Incarnation: r.born,
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

// report sends the load to every connected entry.
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
