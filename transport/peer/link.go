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
	// linkQueueLength is the number of frames that may wait on a link. Further frames are dropped.
	linkQueueLength = 256
	writeTimeout    = 2 * time.Second
)

// link is one connection to a peer.
type link struct {
	mesh        *Mesh
	name        string // from the peer's first hello
	dialedName  string // name under which the link was dialed, "" if it was accepted
	queue       chan protocol.PeerFrame
	done        lifecycle.Done
	mutex       sync.Mutex
	open        bool
	lastFrameAt time.Time
	version     atomic.Uint64 // configuration version that the peer reported last
}

func newLink(m *Mesh, name string) *link {
	return &link{mesh: m, name: name, dialedName: name, queue: make(chan protocol.PeerFrame, linkQueueLength), lastFrameAt: time.Now()}
}

// send queues a frame and reports whether the queue had space.
func (l *link) send(f protocol.PeerFrame) bool {
	if l.done.Closed() || l.mesh.DropFrame != nil && l.mesh.DropFrame() {
		return false
	}
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// isSilent reports whether the last frame came too long ago.
func (l *link) isSilent(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Sub(l.lastFrameAt) > silenceTimeout
}

// isOpen reports whether the peer has sent a frame and the link is not closed.
func (l *link) isOpen() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open && !l.done.Closed()
}

// recordFrame records that the peer sent a frame.
func (l *link) recordFrame() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastFrameAt = time.Now()
	l.open = true
}

// serve runs the link on a socket until the connection breaks.
func (l *link) serve(socket *websocket.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer socket.CloseNow()
	socket.SetReadLimit(protocol.MaxFrameBytes)
	hello := l.mesh.Self
	heartbeat := l.mesh.Handler.Heartbeat()
	first := protocol.PeerFrame{Hello: &hello, Heartbeat: &heartbeat, Members: l.mesh.Known(), Work: l.mesh.Handler.UnresolvedWork()}
	go (&linkWriter{link: l, socket: socket, first: first}).run(ctx)
	l.mesh.removeLink(l, l.read(ctx, socket))
}

// errNoHello reports that a peer did not introduce itself.
var errNoHello = errors.New("the peer's first frame has no hello")

// read handles the frames of the peer until the connection breaks.
func (l *link) read(ctx context.Context, socket *websocket.Conn) error {
	gotHello := false
	for {
		_, b, err := socket.Read(ctx)
		if err != nil {
			return err
		}
		f, err := protocol.DecodePeer(b)
		if err != nil {
			return err
		}
		if !gotHello {
			if f.Hello == nil {
				return errNoHello
			}
			l.name = f.Hello.Name
			gotHello = true
			l.mesh.registerLink(l)
		}
		l.recordFrame()
		l.mesh.applyMembership(l, &f)
		l.mesh.Handler.HandleFrame(l.name, &f)
	}
}

// linkWriter writes the frames of a link.
type linkWriter struct {
	link   *link
	socket *websocket.Conn
	first  protocol.PeerFrame // sent before any frame that was queued while dialing
}

// run writes queued frames until the link is closed or a write fails.
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
		case f := <-w.link.queue:
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
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return w.socket.Write(ctx, websocket.MessageBinary, b)
}
