// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

const (
	// linkQueue is how many frames wait on a link before more are lost.
	linkQueue  = 256
	writeLimit = 2 * time.Second
)

// link is one connection to a peer.
type link struct {
	mesh  *Mesh
	name  string // as the peer's first Hello says
	asked string // under which the link was dialled, "" for an accepted one
	out   chan protocol.PeerFrame
	done  lifecycle.Done
	mutex sync.Mutex
	open  bool
	heard time.Time
	told  atomic.Uint64 // configuration version
}

func newLink(m *Mesh, name string) *link {
	return &link{mesh: m, name: name, asked: name, out: make(chan protocol.PeerFrame, linkQueue), heard: time.Now()}
}

// send queues a frame and reports whether there was room.
func (l *link) send(f protocol.PeerFrame) bool {
	if l.done.Closed() || l.mesh.DropFrame != nil && l.mesh.DropFrame() {
		return false
	}
	select {
	case l.out <- f:
		return true
	default:
		return false
	}
}

func (l *link) silent(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Sub(l.heard) > silentFor
}

func (l *link) isOpen() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open && !l.done.Closed()
}

func (l *link) note() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.heard = time.Now()
	l.open = true
}

// serve runs the link over a socket until it breaks.
func (l *link) serve(socket *websocket.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer socket.CloseNow()
	socket.SetReadLimit(protocol.MaxFrameBytes)
	hello := l.mesh.Self
	beat := l.mesh.Handler.Heartbeat()
	first := protocol.PeerFrame{Hello: &hello, Heartbeat: &beat, Members: l.mesh.Known(), Work: l.mesh.Handler.UnresolvedWork()}
	go (&linkWriter{link: l, socket: socket, first: first}).run(ctx)
	l.mesh.lost(l, l.read(ctx, socket))
}

var errNoHello = errors.New("the first frame has no hello")

func (l *link) read(ctx context.Context, socket *websocket.Conn) error {
	greeted := false
	for {
		_, b, err := socket.Read(ctx)
		if err != nil {
			return err
		}
		f, err := protocol.DecodePeer(b)
		if err != nil {
			return err
		}
		if !greeted {
			if f.Hello == nil {
				return errNoHello
			}
			l.name = f.Hello.Name
			greeted = true
			l.mesh.opened(l)
		}
		l.note()
		l.mesh.heard(l, &f)
		l.mesh.Handler.HandleFrame(l.name, &f)
	}
}

// linkWriter writes a link's frames.
type linkWriter struct {
	link   *link
	socket *websocket.Conn
	first  protocol.PeerFrame // goes before whatever was queued while dialling
}

func (w *linkWriter) run(ctx context.Context) {
	defer w.socket.CloseNow()
	if w.write(ctx, w.first) != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.link.done.Done():
			return
		case f := <-w.link.out:
			if w.write(ctx, f) != nil {
				return
			}
		}
	}
}

func (w *linkWriter) write(ctx context.Context, f protocol.PeerFrame) error {
	b, err := protocol.EncodePeer(f)
	if err != nil {
		return err
	}
	w.link.mesh.Counters.Add(metric.PeerFrames, 1)
	w.link.mesh.Counters.Add(metric.PeerBytes, int64(len(b)))
	ctx, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	return w.socket.Write(ctx, websocket.MessageBinary, b)
}
