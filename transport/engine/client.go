// SPDX-License-Identifier: Apache-2.0

// Package engine connects an entry to its runners.
//
// A Client owns one runner's connection. Steps of all requests that wait
// together go out in one frame; replies are handed to each request's mailbox.
// The connection is opened when the first step needs it.
//
//	client.Send(send, mailbox)
//	a := <-mailbox.Arrivals()
//	client.Forget(request, attempt)
package engine

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/coordination/stream"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// dialLimit bounds how long opening a connection may take.
	dialLimit = time.Second
	// writeLimit bounds one frame's write; a runner that takes longer is lost.
	writeLimit = 2 * time.Second
	// maxFrameSteps bounds the steps of one frame.
	maxFrameSteps = 512
)

// Client is one runner's connection. Set the exported fields before Start.
type Client struct {
	Runner   *fleet.Runner
	Counters *metric.Set
	Logger   *slog.Logger

	done    part.Done
	ended   part.Done
	wake    chan struct{}
	mutex   sync.Mutex
	queue   []protocol.Step
	cancels []protocol.Cancel
	waiting map[protocol.RequestID]waiter
	life    protocol.Incarnation // of the process at the other end, 0 until it tells
}

// waiter is the one step that a request has in flight at this runner.
type waiter struct {
	mailbox  *Mailbox
	attempt  uint32
	number   uint32
	passes   int64
	expected float64 // seconds
	sentAt   time.Time
	sent     bool
}

// Start begins to serve the queue.
func (c *Client) Start() {
	c.wake = make(chan struct{}, 1)
	c.waiting = map[protocol.RequestID]waiter{}
	go c.run()
}

// Close ends the connection; every waiting request gets Lost.
func (c *Client) Close() {
	c.done.Close()
	<-c.ended.Done()
}

// Send queues a step that is expected to take that many seconds. Its reply, or
// Lost, arrives in the mailbox.
func (c *Client) Send(s *stream.Dispatch, expected float64, m *Mailbox) {
	step := s.Step()
	passes := s.LayerPasses()
	c.mutex.Lock()
	if c.done.Closed() {
		c.mutex.Unlock()
		m.put(ConnectionLost{from: c.Runner})
		return
	}
	c.queue = append(c.queue, *step)
	c.waiting[step.Request] = waiter{
		mailbox: m, attempt: step.Attempt, number: step.Number,
		passes: passes, expected: expected, sentAt: time.Now(),
	}
	c.mutex.Unlock()
	c.Runner.Sent(passes)
	c.nudge()
}

// Cancel drops a request up to an attempt, here and at the engine, and reports
// whether a step of it that was still queued here was removed unsent.
func (c *Client) Cancel(id protocol.RequestID, attempt uint32) bool {
	c.mutex.Lock()
	w, waits := c.waiting[id]
	if waits {
		delete(c.waiting, id)
		c.Runner.Settled(w.passes)
	}
	unsent := waits && !w.sent
	if unsent {
		c.unqueue(id)
	}
	if !c.done.Closed() {
		c.cancels = append(c.cancels, protocol.Cancel{Request: id, Attempt: attempt})
	}
	c.mutex.Unlock()
	c.nudge()
	return unsent
}

func (c *Client) unqueue(id protocol.RequestID) {
	kept := c.queue[:0]
	for _, s := range c.queue {
		if s.Request != id {
			kept = append(kept, s)
		}
	}
	c.queue = kept
}

func (c *Client) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run opens a connection whenever there is something to send.
func (c *Client) run() {
	defer c.ended.Close()
	defer c.loseAll()
	for {
		select {
		case <-c.done.Done():
			return
		case <-c.wake:
			if c.idle() {
				continue
			}
			c.serve()
		}
	}
}

// idle drops cancels that no connection needs and reports whether no step waits.
func (c *Client) idle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancels = nil
	return len(c.queue) == 0
}

// serve keeps one connection until it breaks or the client closes.
func (c *Client) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	socket, err := c.dial(ctx)
	if err != nil {
		c.lost(err)
		return
	}
	defer socket.CloseNow()
	event.RunnerConnected.Log(c.Logger, slog.String("runner", c.Runner.Name()))
	reader := &reader{client: c, socket: socket}
	go reader.run(ctx)
	c.nudge()
	for {
		select {
		case <-c.done.Done():
			return
		case <-reader.done.Done():
			c.lost(reader.err)
			return
		case <-c.wake:
			if err := c.flush(ctx, socket); err != nil {
				c.lost(err)
				return
			}
		}
	}
}

func (c *Client) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	socket, res, err := websocket.Dial(ctx, "ws://"+c.Runner.Spec().Address+"/steps", nil)
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(protocol.MaxFrameBytes)
	return socket, nil
}

// flush writes everything that waits, a bounded frame at a time.
func (c *Client) flush(ctx context.Context, socket *websocket.Conn) error {
	for {
		f := c.takeFrame()
		if len(f.Steps) == 0 && len(f.Cancels) == 0 {
			return nil
		}
		b, err := protocol.EncodeSteps(f)
		if err != nil {
			return err
		}
		c.Counters.Add(metric.FramesSent, 1)
		c.Counters.Add(metric.StepsSent, int64(len(f.Steps)))
		if err := write(ctx, socket, b); err != nil {
			return err
		}
	}
}

func write(ctx context.Context, socket *websocket.Conn, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	return socket.Write(ctx, websocket.MessageBinary, b)
}

func (c *Client) takeFrame() protocol.StepFrame {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := min(len(c.queue), maxFrameSteps)
	f := protocol.StepFrame{Steps: c.queue[:n:n], Cancels: c.cancels}
	c.queue = c.queue[n:]
	c.cancels = nil
	for i := range f.Steps {
		if w, ok := c.waiting[f.Steps[i].Request]; ok {
			w.sent = true
			c.waiting[f.Steps[i].Request] = w
		}
	}
	return f
}

// lost ejects the runner and tells every waiting request.
func (c *Client) lost(err error) {
	till := c.Runner.Failed(time.Now())
	c.Counters.Ejected(metric.EjectedConnection)
	event.RunnerLost.Log(c.Logger, slog.String("runner", c.Runner.Name()),
		slog.Any("cause", err), slog.Time("ejected_till", till))
	c.loseAll()
}

func (c *Client) loseAll() {
	c.mutex.Lock()
	waiting := c.waiting
	c.waiting = map[protocol.RequestID]waiter{}
	c.queue = nil
	life := c.life
	c.life = 0
	c.mutex.Unlock()
	for _, w := range waiting {
		c.Runner.Settled(w.passes)
		w.mailbox.put(ConnectionLost{from: c.Runner, sent: w.sent, life: life})
	}
}

// Incarnation returns which life of the engine this entry is connected to, 0 if it is to none or the
// engine has not told.
func (c *Client) Incarnation() protocol.Incarnation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.life
}

// deliver hands a reply to the request that waits for it.
func (c *Client) deliver(r protocol.Reply) {
	c.mutex.Lock()
	w, ok := c.waiting[r.Request]
	ok = ok && w.attempt == r.Attempt && w.number == r.Number
	if ok {
		delete(c.waiting, r.Request)
	}
	c.mutex.Unlock()
	if !ok {
		c.Counters.Add(metric.RepliesDropped, 1)
		return
	}
	c.Runner.Settled(w.passes)
	now := time.Now()
	c.Runner.ObserveStep(now.Sub(w.sentAt), w.expected, now)
	if !w.mailbox.put(Replied{from: c.Runner, reply: r}) {
		c.Counters.Add(metric.RepliesDropped, 1)
	}
}

func (c *Client) report(l protocol.LoadReport) {
	fault := c.Runner.Report(l, time.Now())
	if fault == fleet.ReportAccepted {
		c.mutex.Lock()
		c.life = l.Lifetime
		c.mutex.Unlock()
		return
	}
	c.Counters.Add(metric.ReportsIgnored, 1)
	event.ReportIgnored.Log(c.Logger, slog.String("runner", c.Runner.Name()), slog.Int("fault", int(fault)))
}
