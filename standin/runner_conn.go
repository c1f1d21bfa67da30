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
	// mangledDelay is how long a delayed reply is held back.
	mangledDelay = 30 * time.Millisecond
	// farDelay and slowDelay are there and back on links of those classes; a
	// near link's is what loopback takes.
	farDelay  = 5 * time.Millisecond
	slowDelay = 50 * time.Millisecond
)

// linkDelay is how long a reply takes longer than on loopback.
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

// run reads step frames until the connection ends.
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

// send writes replies, spoilt as m says.
func (c *runnerConn) send(rs []protocol.Reply, m ReplyFaults) {
	now, late := spoil(rs, m)
	link := linkDelay(c.runner.Spec.Link)
	if len(late) > 0 {
		go (&delayed{conn: c, replies: late, due: time.Now().Add(mangledDelay + link)}).run()
	}
	switch {
	case len(now) == 0:
	case link > 0:
		go (&delayed{conn: c, replies: now, due: time.Now().Add(link)}).run()
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

// delayed is a bunch of replies that are held back for a while.
type delayed struct {
	conn    *runnerConn
	replies []protocol.Reply
	due     time.Time
}

func (d *delayed) run() {
	time.Sleep(time.Until(d.due))
	d.conn.write(protocol.ReplyFrame{Replies: d.replies})
}

// spoil applies m to replies and splits them into those sent now and later.
func spoil(rs []protocol.Reply, m ReplyFaults) (now, late []protocol.Reply) {
	for _, r := range rs {
		switch {
		case hit(m.Drop):
			continue
		case hit(m.Delay):
			late = append(late, r)
			continue
		case hit(m.Duplicate):
			now = append(now, r)
		case hit(m.WrongSpan):
			r.Span.To++
		case hit(m.WrongPosition):
			r.Position++
		case hit(m.Truncate) && len(r.Hidden) > protocol.HiddenStateBytes:
			r.Hidden = r.Hidden[:len(r.Hidden)-protocol.HiddenStateBytes]
			r.Count--
		}
		now = append(now, r)
	}
	if m.Duplicate > 0 {
		slices.Reverse(now)
	}
	return now, late
}

func hit(oneIn int) bool { return oneIn > 0 && rand.IntN(oneIn) == 0 }
