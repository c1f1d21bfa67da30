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
	// helloWithin bounds the wait for a follower's first frame.
	helloWithin = time.Second
	// asksWaiting is how many questions of a follower wait; it asks one at a time.
	asksWaiting = 4
)

// Server passes what a Source knows on to entries that follow it. A follower shows the
// key of this entry's record in the platform, so that only who may read there can follow.
type Server struct {
	Source *Source

	packer packer
}

// The codes with which a connection is closed that a follower can act on.
const (
	// closeForgotten: the changes since what it knows are forgotten; it has to list.
	closeForgotten websocket.StatusCode = 4001
	// closeStale: what is known here is too old; another entry may know more.
	closeStale websocket.StatusCode = 4002
)

// ServeHTTP serves one follower until its connection ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.Source.seeker.await(q.Context()) // a key of before the start may come to be known
	want := keyPrefix + s.Source.key()
	if subtle.ConstantTimeCompare([]byte(q.Header.Get(keyHeader)), []byte(want)) != 1 {
		http.Error(w, "not the key of this entry's record; read the record anew", http.StatusUnauthorized)
		return
	}
	socket, err := websocket.Accept(w, q, nil)
	if err != nil {
		event.FrameBroken.Log(s.Source.Logger, slog.String("peer", q.RemoteAddr), slog.String("cause", err.Error()))
		return
	}
	defer socket.CloseNow()
	if err := s.serve(socket); err != nil {
		switch {
		case errors.Is(err, errForgotten):
			_ = socket.Close(closeForgotten, err.Error())
		case errors.Is(err, errStale):
			_ = socket.Close(closeStale, err.Error())
		}
		event.FollowerGone.Log(s.Source.Logger, slog.String("peer", q.RemoteAddr), slog.String("cause", err.Error()))
	}
}

func (s *Server) serve(socket *websocket.Conn) error {
	source := s.Source
	socket.SetReadLimit(protocol.MaxFrameBytes)
	ctx, cancel := source.done.Context()
	defer cancel()
	hello, err := readHello(ctx, socket)
	if err != nil {
		return err
	}
	if !source.beFollowed(ctx, hello.NewsOnly) {
		return errStale
	}
	source.tookFollower()
	defer source.followers.Add(-1)
	f := &follower{
		source: source, name: hello.Name, packer: &s.packer, socket: socket, known: hello.Known,
		asks: make(chan protocol.RelayAsk, asksWaiting), left: make(chan error, 1),
	}
	go f.run(ctx)
	return f.serve(ctx)
}

func readHello(ctx context.Context, socket *websocket.Conn) (protocol.RelayHello, error) {
	ctx, cancel := context.WithTimeout(ctx, helloWithin)
	defer cancel()
	_, b, err := socket.Read(ctx)
	if err != nil {
		return protocol.RelayHello{}, err
	}
	return protocol.DecodeRelayHello(b)
}

// errStale says that what is known here is too old.
var errStale = errors.New("what the platform holds is not known here")
