// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/mirror"
)

const (
	// Path is where a Server is served.
	Path      = "/relay"
	keyHeader = "Authorization"
	keyPrefix = "Bearer "
	// answerWithin bounds the wait for a peer's answer, which takes a millisecond.
	answerWithin = 300 * time.Millisecond
	// writeWithin bounds the writing of one frame.
	writeWithin = 2 * time.Second
)

// link is the connection to the peer that is followed.
type link struct {
	source *Source
	peer   protocol.EntryRecord
	since  time.Time
	socket *websocket.Conn
	done   part.Done

	mutex   sync.Mutex
	asked   uint64 // number of the last question
	answers chan protocol.RelayAnswer
}

// dial connects to a peer and says what is known here.
func dial(ctx context.Context, s *Source, peer protocol.EntryRecord) (*link, error) {
	socket, res, err := websocket.Dial(ctx, "ws://"+peer.Peers+Path, &websocket.DialOptions{
		HTTPHeader: http.Header{keyHeader: {keyPrefix + peer.Key}},
	})
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(protocol.MaxFrameBytes)
	l := &link{source: s, peer: peer, since: time.Now(), socket: socket, answers: make(chan protocol.RelayAnswer, 1)}
	hello := protocol.RelayHello{Name: s.Self.Name}
	for _, k := range s.Kinds {
		hello.Known = append(hello.Known, protocol.RelayMark{Kind: k, At: s.mirror.At(k)})
	}
	if err := l.greet(ctx, hello); err != nil {
		l.forget(err)
		l.close()
		return nil, err
	}
	return l, nil
}

// greet says what is known here, and waits for the first frame: a peer that can't
// help closes the connection instead.
func (l *link) greet(ctx context.Context, hello protocol.RelayHello) error {
	if err := write(ctx, l.socket, hello); err != nil {
		return err
	}
	_, b, err := l.socket.Read(ctx)
	if err != nil {
		return err
	}
	return l.take(b)
}

// write sends one message.
func write(ctx context.Context, socket *websocket.Conn, message any) error {
	b, err := protocol.EncodeRelay(message)
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, b)
}

func (l *link) close() {
	if l.done.Close() {
		_ = l.socket.CloseNow()
	}
}

// run takes what the peer sends until the connection ends.
func (l *link) run() {
	ctx, cancel := l.done.Context()
	defer cancel()
	for {
		_, b, err := l.socket.Read(ctx)
		if err == nil {
			err = l.take(b)
		}
		if err != nil {
			l.broke(err)
			return
		}
	}
}

// broke ends following after an error. A peer that broke soon is left out for a
// while.
func (l *link) broke(err error) {
	s := l.source
	l.forget(err)
	if now := time.Now(); now.Sub(l.since) < relay.FreshFor {
		s.seeker.avoid(l.peer.Name, now)
	}
	s.leave(l, err.Error())
}

// forget makes this entry list anew if the peer can't tell what changed since what is
// known here.
func (l *link) forget(err error) {
	if websocket.CloseStatus(err) != closeForgotten && !errors.Is(err, errGap) {
		return
	}
	for _, k := range l.source.Kinds {
		l.source.mirror.Forget(k)
	}
}

// errGap says that a peer's changes do not go on from what is known here.
var errGap = errors.New("its changes do not go on from what is known here")

// take takes one frame.
func (l *link) take(b []byte) error {
	f, err := protocol.DecodeRelayFrame(b)
	if err != nil {
		return err
	}
	if f.FailedMS >= 0 && l.source.Failed != nil {
		l.source.Failed(time.Now().Add(-time.Duration(f.FailedMS) * time.Millisecond))
	}
	for i := range f.Runs {
		if err := l.takeRun(&f.Runs[i]); err != nil {
			return err
		}
	}
	if f.Answer != nil {
		l.answered(*f.Answer)
	}
	return nil
}

// takeRun takes the changes of one kind.
func (l *link) takeRun(r *protocol.RelayRun) error {
	run := mirror.Run{After: r.After, At: r.At, Difference: r.Difference}
	for i := range r.Changes {
		c, err := decode(r.Kind, &r.Changes[i])
		if err != nil {
			return err
		}
		run.Changes = append(run.Changes, c)
	}
	if !l.source.mirror.Took(r.Kind, run) {
		return errGap
	}
	return nil
}

// ask asks the peer how fresh its knowledge is. It returns a time at which the peer
// had all that the platform held, zero when it could not say, and the version of
// the confirmed object then.
//
// The age that the answer tells is counted from the question on, because the answer
// may have been under way for long.
func (l *link) ask(ctx context.Context) (confirmed time.Time, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	number := l.question()
	asked := time.Now()
	if err := write(ctx, l.socket, protocol.RelayAsk{Number: number}); err != nil {
		l.source.leave(l, err.Error())
		return time.Time{}, 0
	}
	for {
		select {
		case a := <-l.answers:
			if a.Number != number {
				continue // of an earlier question
			}
			if a.ConfirmedMS < 0 {
				return time.Time{}, a.Version
			}
			return asked.Add(-time.Duration(a.ConfirmedMS * float64(time.Millisecond))), a.Version
		case <-ctx.Done():
			return time.Time{}, 0
		case <-l.done.Done():
			return time.Time{}, 0
		}
	}
}

func (l *link) question() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asked++
	return l.asked
}

// answered keeps the latest answer for whoever asked.
func (l *link) answered(a protocol.RelayAnswer) {
	select {
	case <-l.answers: // nobody took the one before
	default:
	}
	select {
	case l.answers <- a:
	default:
	}
}
