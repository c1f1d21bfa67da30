// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"context"
	"crypto/subtle"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
)

const (
	// Path is the HTTP path of a Server.
	Path = "/tunnel"
	// requestTimeout bounds the wait for a tunnel's request and the writing of its answer.
	requestTimeout = time.Second
	// endpointTimeout bounds how long an endpoint may take to accept the connection of a tunnel.
	endpointTimeout = 100 * time.Millisecond
	// vouchTimeout bounds how long another endpoint may take to show that this entry reaches it.
	vouchTimeout = 20 * time.Millisecond
	// vouchEndpoints is how many other endpoints must be reached before one is blamed. An entry that is
	// cut off from most endpoints may still reach one of them.
	vouchEndpoints = 3
	// maxVouchFailures is how many others may fail meanwhile: several endpoints may have crashed.
	maxVouchFailures = 2
	// tunnelBytes is what a tunnel takes from the memory budget: its buffers and those of its sockets.
	tunnelBytes = 64 << 10
)

// Server opens tunnels for other entries. Set the exported fields before use.
type Server struct {
	Dialer *Dialer
	// Key returns the key of this entry's record, which an entry that asks must present.
	Key func() string
	// Serving reports whether this entry knows the endpoints and is not stopping.
	Serving func() bool
	// Knows reports whether there is an endpoint at an address.
	Knows        func(address string) bool
	MemoryBudget *backlog.Budget
	Limit        int // tunnels open at once, 0 for no limit
	Counters     *metric.Set
	Logger       *slog.Logger

	done lifecycle.Done
	open atomic.Int64
}

// Open returns how many tunnels are open.
func (s *Server) Open() int64 { return s.open.Load() }

// Close ends all tunnels.
func (s *Server) Close() { s.done.Close() }

// ServeHTTP serves one tunnel until one side closes it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	expected := protocol.KeyPrefix + s.Key()
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(protocol.KeyHeader)), []byte(expected)) != 1 {
		http.Error(w, "not the key of this entry's record; read the record anew", http.StatusUnauthorized)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{protocol.TunnelSubprotocol}})
	if err != nil {
		event.FrameBroken.Log(s.Logger, slog.String("peer", r.RemoteAddr), slog.String("cause", err.Error()))
		return
	}
	defer socket.CloseNow()
	socket.SetReadLimit(protocol.MaxTunnelChunk)
	ctx, cancel := s.done.Context()
	defer cancel()
	err = s.serve(ctx, socket)
	var invalid *protocol.FrameError
	if errors.As(err, &invalid) { // any other error is an entry that no longer wants the connection
		event.FrameBroken.Log(s.Logger, slog.String("peer", r.RemoteAddr), slog.String("cause", err.Error()))
	}
}

// serve answers the request of a tunnel and passes the bytes on if it is open.
func (s *Server) serve(ctx context.Context, socket *websocket.Conn) error {
	opening, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, b, err := socket.Read(opening)
	if err != nil {
		return err
	}
	request, err := protocol.DecodeTunnelRequest(b)
	if err != nil {
		return err
	}
	release, ok := s.reserve()
	if !ok {
		return s.answer(opening, socket, protocol.TunnelBusy)
	}
	defer release()
	endpoint, outcome := s.connect(opening, request.Address)
	if endpoint != nil {
		defer func() { _ = endpoint.Close() }() // everything was passed on, or can't be any more
	}
	if err := s.answer(opening, socket, outcome); err != nil || outcome != protocol.TunnelOpen {
		return err
	}
	(&exchange{ctx: ctx, socket: socket, endpoint: endpoint}).run()
	return nil
}

// answer counts and sends the outcome of a request.
func (s *Server) answer(ctx context.Context, socket *websocket.Conn, o protocol.TunnelOutcome) error {
	s.Counters.CountTunnelServed(o)
	a := protocol.TunnelAnswer{Outcome: o}
	if o == protocol.TunnelCutOff {
		a.Peer = s.Dialer.openedPeer(clock.Now())
	}
	b, err := protocol.EncodeTunnelAnswer(&a)
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, b)
}

// reserve takes the room of one tunnel, and reports whether there is any. The returned function gives it
// back.
func (s *Server) reserve() (release func(), ok bool) {
	if n := s.open.Add(1); s.Limit > 0 && n > int64(s.Limit) || !s.MemoryBudget.ReserveBody(tunnelBytes) {
		s.open.Add(-1)
		return nil, false
	}
	return s.release, true
}

func (s *Server) release() {
	s.MemoryBudget.ReserveBody(-tunnelBytes)
	s.open.Add(-1)
}

// connect connects to an endpoint for another entry, always by a connection of this entry: a tunnel goes
// through one entry only.
func (s *Server) connect(ctx context.Context, address string) (net.Conn, protocol.TunnelOutcome) {
	if !s.Serving() {
		return nil, protocol.TunnelNotServed
	}
	if !s.Knows(address) {
		return nil, protocol.TunnelUnknown
	}
	if !s.Dialer.isDirect(address) {
		return nil, protocol.TunnelCutOff
	}
	dialing, cancel := context.WithTimeout(ctx, endpointTimeout)
	defer cancel()
	c, err := s.Dialer.DialDirect(dialing, address)
	switch {
	case err == nil:
		return c, protocol.TunnelOpen
	case isLocal(err):
		return nil, protocol.TunnelBusy
	case !s.vouch(ctx, address):
		return nil, protocol.TunnelCutOff
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, protocol.TunnelRefused
	default:
		return nil, protocol.TunnelSilent
	}
}

// vouch reports whether this entry reaches endpoints, so that the one at an address that it does not reach is
// at fault. An entry that knows of a path that is cut can't tell. One that knows no other endpoint takes the
// only one to be at fault.
func (s *Server) vouch(ctx context.Context, address string) bool {
	reached, failures, others := 0, 0, 0
	for _, other := range s.Dialer.Addresses() {
		if other == address {
			continue
		}
		if reached == vouchEndpoints || failures > maxVouchFailures || s.Dialer.Disturbed() {
			break
		}
		others++
		if s.reaches(ctx, other) {
			reached++
		} else {
			failures++
		}
	}
	return reached >= min(vouchEndpoints, others) && !s.Dialer.Disturbed()
}

// reaches reports whether this entry can connect to an endpoint.
func (s *Server) reaches(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, vouchTimeout)
	defer cancel()
	c, err := s.Dialer.DialDirect(ctx, address)
	if err != nil {
		return false
	}
	_ = c.Close() // nothing was sent on it
	return true
}

// exchange passes the bytes of one tunnel on.
type exchange struct {
	ctx      context.Context
	socket   *websocket.Conn
	endpoint net.Conn
}

// run passes bytes on in both directions until either side ends.
func (x *exchange) run() {
	up := &upstream{exchange: x, done: make(chan struct{})}
	go up.run()
	code := x.passDown()
	_ = x.endpoint.Close() // the endpoint drops the request if the caller left
	_ = x.socket.Close(code, "")
	<-up.done
}

// passDown passes on what the endpoint sends, and returns how its connection ended.
func (x *exchange) passDown() websocket.StatusCode {
	b := make([]byte, protocol.MaxTunnelChunk)
	for {
		n, err := x.endpoint.Read(b)
		if n > 0 && x.socket.Write(x.ctx, websocket.MessageBinary, b[:n]) != nil {
			return websocket.StatusNormalClosure // the other entry is gone
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return closeEnded
		default:
			return closeReset
		}
	}
}

// upstream passes on what the other entry sends to the endpoint.
type upstream struct {
	exchange *exchange
	done     chan struct{}
}

func (u *upstream) run() {
	defer close(u.done)
	x := u.exchange
	for {
		_, r, err := x.socket.Reader(x.ctx)
		if err == nil {
			_, err = io.Copy(x.endpoint, r)
		}
		if err != nil {
			_ = x.endpoint.Close() // ends passDown
			return
		}
	}
}
