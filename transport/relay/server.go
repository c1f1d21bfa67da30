// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"crypto/subtle"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
)

const (
	// helloTimeout bounds the wait for a follower's first frame.
	helloTimeout = time.Second
	// maxQueuedRequests bounds the unread requests of a follower, which asks one at a time.
	maxQueuedRequests = 4
)

// Server passes the state of a Source on to the entries that follow it. A follower must present the
// key of this entry's record in the platform, so that only entries with access to the platform can
// follow.
type Server struct {
	Source *Source

	encoder deltaEncoder
}

// Close codes that a follower acts on.
const (
	// closeMustList says that the follower can't be brought up to date in one frame; it must list
	// again.
	closeMustList websocket.StatusCode = 4001
	// closeStale says that the state here is too old; another entry may be fresher.
	closeStale websocket.StatusCode = 4002
)

// ServeHTTP serves one follower until its connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Source.selector.awaitStart(r.Context()) // the key that was used before a restart may become known
	expected := protocol.KeyPrefix + s.Source.key()
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(protocol.KeyHeader)), []byte(expected)) != 1 {
		http.Error(w, "not the key of this entry's record; read the record anew", http.StatusUnauthorized)
		return
	}
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: protocol.RelaySubprotocols()})
	if err != nil {
		event.FrameBroken.Log(s.Source.Logger, slog.String("peer", r.RemoteAddr), slog.String("cause", err.Error()))
		return
	}
	defer socket.CloseNow()
	if err := s.serve(socket); err != nil {
		if errors.Is(err, errStale) {
			_ = socket.Close(closeStale, err.Error())
		}
		event.FollowerGone.Log(s.Source.Logger, slog.String("peer", r.RemoteAddr), slog.String("cause", err.Error()))
	}
}

func (s *Server) serve(socket *websocket.Conn) error {
	source := s.Source
	socket.SetReadLimit(protocol.MaxFrameBytes)
	ctx, cancel := source.done.Context()
	defer cancel()
	form := protocol.RelayFormOf(socket.Subprotocol())
	hello, err := readHello(ctx, socket, form)
	if err != nil {
		return err
	}
	if !source.acceptFollower(ctx, hello.ReportsOnly) {
		return errStale
	}
	source.addFollower()
	defer source.followers.Add(-1)
	f := &follower{
		source: source, name: hello.Name, encoder: &s.encoder, socket: socket, form: form, known: hello.Known,
		requests: make(chan protocol.RelayRequest, maxQueuedRequests), readErr: make(chan error, 1),
	}
	f.assumeEras()
	go f.readLoop(ctx)
	err = f.serve(ctx)
	if errors.Is(err, errExceedsFrame) || errors.Is(err, errEraUnknown) {
		// Before the context ends: that closes the connection without a code.
		_ = socket.Close(closeMustList, err.Error())
	}
	return err
}

func readHello(ctx context.Context, socket *websocket.Conn, form protocol.RelayForm) (protocol.RelayHello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	_, b, err := socket.Read(ctx)
	if err != nil {
		return protocol.RelayHello{}, err
	}
	return form.DecodeHello(b)
}

// errStale says that the state here is too old.
var errStale = errors.New("what the platform holds is not known here")
