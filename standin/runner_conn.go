// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/protocol"
)

const (
	// replyDelay is how long the fault Delay holds a reply back.
	replyDelay = 30 * time.Millisecond
	// farDelay and slowDelay are the round-trip times of links of those classes. A
	// near link has the latency of loopback.
	farDelay  = 5 * time.Millisecond
	slowDelay = 50 * time.Millisecond
)

// linkDelay returns the latency that a link class adds to loopback.
func linkDelay(class string) time.Duration {
	switch class {
	case "far":
		return farDelay
	case "slow":
		return slowDelay
	default:
		return 0
	}
}

// runnerConn is one entry's connection to a stand-in engine.
type runnerConn struct {
	runner *Runner
	socket *websocket.Conn
}

// run reads step frames until the connection closes.
func (c *runnerConn) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer c.socket.CloseNow()
	c.socket.SetReadLimit(protocol.MaxFrameBytes)
	for {
		_, b, err := c.socket.Read(ctx)
		if err != nil {
			return
		}
		f, err := protocol.DecodeSteps(b)
		if err != nil {
			_ = c.socket.Close(websocket.StatusInvalidFramePayloadData, "broken step frame")
			return
		}
		for _, x := range f.Cancels {
			c.runner.cancel(x)
		}
		if len(f.Steps) > 0 {
			c.runner.enqueue(c, f.Steps)
		}
	}
}

func (c *runnerConn) sendReport(l protocol.LoadReport) {
	c.write(protocol.ReplyFrame{Report: &l})
}

// send injects faults into replies and writes them after the delay of the link.
func (c *runnerConn) send(replies []protocol.Reply, faults ReplyFaults) {
	now, late := injectFaults(replies, faults)
	link := linkDelay(c.runner.Spec.Link)
	if len(late) > 0 {
		go (&delayedReplies{conn: c, replies: late, due: time.Now().Add(replyDelay + link)}).run()
	}
	switch {
	case len(now) == 0:
	case link > 0:
		go (&delayedReplies{conn: c, replies: now, due: time.Now().Add(link)}).run()
	default:
		c.write(protocol.ReplyFrame{Replies: now})
	}
}

func (c *runnerConn) write(f protocol.ReplyFrame) {
	b, err := protocol.EncodeReplies(f)
	if err != nil {
		return
	}
	_ = c.socket.Write(context.Background(), websocket.MessageBinary, b)
}

// delayedReplies holds replies that are written at a later time.
type delayedReplies struct {
	conn    *runnerConn
	replies []protocol.Reply
	due     time.Time
}

func (d *delayedReplies) run() {
	time.Sleep(time.Until(d.due))
	d.conn.write(protocol.ReplyFrame{Replies: d.replies})
}

// injectFaults applies faults to replies and splits them into those to send now and later.
func injectFaults(replies []protocol.Reply, faults ReplyFaults) (now, late []protocol.Reply) {
	for _, r := range replies {
		switch {
		case oneIn(faults.Drop):
			continue
		case oneIn(faults.Delay):
			late = append(late, r)
			continue
		case oneIn(faults.Duplicate):
			now = append(now, r)
		case oneIn(faults.WrongSpan):
			r.Span.To++
		case oneIn(faults.WrongPosition):
			r.Position++
		case oneIn(faults.Truncate) && len(r.Hidden) > protocol.HiddenStateBytes:
			r.Hidden = r.Hidden[:len(r.Hidden)-protocol.HiddenStateBytes]
			r.Count--
		}
		now = append(now, r)
	}
	if faults.Duplicate > 0 {
		slices.Reverse(now)
	}
	return now, late
}

func oneIn(oneIn int) bool { return oneIn > 0 && rand.IntN(oneIn) == 0 }
