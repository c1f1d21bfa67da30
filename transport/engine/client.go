// SPDX-License-Identifier: Apache-2.0

// Package engine connects an entry to its runners.
//
// A Client owns the connection to one runner. It sends the queued steps of all requests in one
// frame, and delivers each reply to the mailbox of its request. The connection is opened when the
// first step needs it.
//
//	client.Send(dispatch, expected, mailbox)
//	a := <-mailbox.Arrivals()
//	client.Cancel(request, attempt)
package engine

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/coordination/stream"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// dialTimeout bounds how long opening a connection may take.
	dialTimeout = time.Second
	// writeTimeout bounds the write of one frame; the connection to a slower runner counts as lost.
	writeTimeout = 2 * time.Second
	// maxFrameSteps bounds the steps of one frame.
	maxFrameSteps = 512
)

// Client is the connection to one runner. Set the exported fields before Start.
type Client struct {
	Runner   *fleet.Runner
	Counters *metric.Set
	Logger   *slog.Logger

	done        lifecycle.Done
	stopped     lifecycle.Done
	wake        chan struct{}
	mutex       sync.Mutex
	queue       []protocol.Step
	cancels     []protocol.Cancel
	pending     map[protocol.RequestID]pendingStep
	incarnation protocol.Incarnation // of the connected process, 0 until it reports one
}

// pendingStep is the one step that a request has in flight at this runner.
type pendingStep struct {
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
	c.pending = map[protocol.RequestID]pendingStep{}
	go c.run()
}

// Close closes the connection. Every pending request receives ConnectionLost.
func (c *Client) Close() {
	c.done.Close()
	<-c.stopped.Done()
}

// Send queues a step that is expected to take the given number of seconds. Its reply, or
// ConnectionLost, arrives in the mailbox.
func (c *Client) Send(dispatch *stream.Dispatch, expected float64, m *Mailbox) {
	step := dispatch.Step()
	passes := dispatch.LayerPasses()
	c.mutex.Lock()
	if c.done.Closed() {
		c.mutex.Unlock()
		m.put(ConnectionLost{from: c.Runner})
		return
	}
	c.queue = append(c.queue, *step)
	c.pending[step.Request] = pendingStep{
		mailbox: m, attempt: step.Attempt, number: step.Number,
		passes: passes, expected: expected, sentAt: time.Now(),
	}
	c.mutex.Unlock()
	c.Runner.Sent(passes)
	c.wakeUp()
}

// Cancel drops a request up to an attempt, here and at the engine, and reports whether it removed a
// step of the request that was still queued here, unsent.
func (c *Client) Cancel(id protocol.RequestID, attempt uint32) bool {
	c.mutex.Lock()
	p, isPending := c.pending[id]
	if isPending {
		delete(c.pending, id)
		c.Runner.Settled(p.passes)
	}
	unsent := isPending && !p.sent
	if unsent {
		c.dequeue(id)
	}
	if !c.done.Closed() {
		c.cancels = append(c.cancels, protocol.Cancel{Request: id, Attempt: attempt})
	}
	c.mutex.Unlock()
	c.wakeUp()
	return unsent
}

// dequeue removes the steps of a request from the queue.
func (c *Client) dequeue(id protocol.RequestID) {
	kept := c.queue[:0]
	for _, s := range c.queue {
		if s.Request != id {
			kept = append(kept, s)
		}
	}
	c.queue = kept
}

// wakeUp signals that there is something to send.
func (c *Client) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run opens a connection whenever there is something to send.
func (c *Client) run() {
	defer c.stopped.Close()
	defer c.failPending()
	for {
		select {
		case <-c.done.Done():
			return
		case <-c.wake:
			if c.discardCancels() {
				continue
			}
			c.serve()
		}
	}
}

// discardCancels drops the cancels, which no engine needs without a connection, and reports whether
// no step is queued.
func (c *Client) discardCancels() bool {
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
		c.connectionFailed(err)
		return
	}
	defer socket.CloseNow()
	event.RunnerConnected.Log(c.Logger, slog.String("runner", c.Runner.Name()))
	reader := &reader{client: c, socket: socket}
	go reader.run(ctx)
	c.wakeUp()
	for {
		select {
		case <-c.done.Done():
			return
		case <-reader.done.Done():
			c.connectionFailed(reader.err)
			return
		case <-c.wake:
			if err := c.flush(ctx, socket); err != nil {
				c.connectionFailed(err)
				return
			}
		}
	}
}

func (c *Client) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, res, err := websocket.Dial(ctx, "ws://"+c.Runner.Spec().Address+"/steps", &websocket.DialOptions{HTTPClient: limited.Client})
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(protocol.MaxFrameBytes)
	return socket, nil
}

// flush writes all queued steps and cancels, a bounded frame at a time.
func (c *Client) flush(ctx context.Context, socket *websocket.Conn) error {
	for {
		f := c.nextFrame()
		if len(f.Steps) == 0 && len(f.Cancels) == 0 {
			return nil
		}
		b, err := protocol.EncodeSteps(f)
		if err != nil {
			return err
		}
		c.Counters.Add(metric.FramesSent, 1)
		c.Counters.Add(metric.StepsSent, int64(len(f.Steps)))
		if err := writeFrame(ctx, socket, b); err != nil {
			return err
		}
	}
}

func writeFrame(ctx context.Context, socket *websocket.Conn, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return socket.Write(ctx, websocket.MessageBinary, b)
}

// nextFrame takes the next frame from the queue and marks its steps as sent.
func (c *Client) nextFrame() protocol.StepFrame {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	n := min(len(c.queue), maxFrameSteps)
	f := protocol.StepFrame{Steps: c.queue[:n:n], Cancels: c.cancels}
	c.queue = c.queue[n:]
	c.cancels = nil
	for i := range f.Steps {
		if p, ok := c.pending[f.Steps[i].Request]; ok {
			p.sent = true
			c.pending[f.Steps[i].Request] = p
		}
	}
	return f
}

// connectionFailed ejects the runner and reports the loss to every pending request.
func (c *Client) connectionFailed(err error) {
	ejectedUntil := c.Runner.Failed(time.Now())
	c.Counters.CountEjection(metric.EjectedConnection)
	event.RunnerLost.Log(c.Logger, slog.String("runner", c.Runner.Name()),
		slog.Any("cause", err), slog.Time("ejected_till", ejectedUntil))
	c.failPending()
}

// failPending clears the queue and delivers ConnectionLost to every pending request.
func (c *Client) failPending() {
	c.mutex.Lock()
	pending := c.pending
	c.pending = map[protocol.RequestID]pendingStep{}
	c.queue = nil
	incarnation := c.incarnation
	c.incarnation = 0
	c.mutex.Unlock()
	for _, p := range pending {
		c.Runner.Settled(p.passes)
		p.mailbox.put(ConnectionLost{from: c.Runner, sent: p.sent, incarnation: incarnation})
	}
}

// Incarnation returns the incarnation of the connected engine, 0 if there is no connection or the
// engine has not reported one.
func (c *Client) Incarnation() protocol.Incarnation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.incarnation
}

// deliver passes a reply to the request that waits for it.
func (c *Client) deliver(r protocol.Reply) {
	c.mutex.Lock()
	p, ok := c.pending[r.Request]
	ok = ok && p.attempt == r.Attempt && p.number == r.Number
	if ok {
		delete(c.pending, r.Request)
	}
	c.mutex.Unlock()
	if !ok {
		c.Counters.Add(metric.RepliesDropped, 1)
		return
	}
	c.Runner.Settled(p.passes)
	now := time.Now()
	c.Runner.ObserveStep(now.Sub(p.sentAt), p.expected, now)
	if !p.mailbox.put(Replied{from: c.Runner, reply: r}) {
		c.Counters.Add(metric.RepliesDropped, 1)
	}
}

// applyReport applies a load report to the runner, and counts a report that the runner rejects.
func (c *Client) applyReport(l protocol.LoadReport) {
	fault := c.Runner.Report(l, time.Now())
	if fault == fleet.ReportAccepted {
		c.mutex.Lock()
		c.incarnation = l.Incarnation
		c.mutex.Unlock()
		return
	}
	c.Counters.Add(metric.ReportsIgnored, 1)
	event.ReportIgnored.Log(c.Logger, slog.String("runner", c.Runner.Name()), slog.Int("fault", int(fault)))
}
