// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
)

const (
	// Path is where a Server is served.
	Path      = "/relay"
	keyHeader = "Authorization"
	keyPrefix = "Bearer "
	// holdMostMS is how long a peer may hold an answer back for news, in milliseconds, a
	// little more than there is between two confirmations. answerWithin bounds the wait for
	// an answer, which takes a millisecond beside.
	holdMostMS   = 500
	answerWithin = (holdMostMS + 300) * time.Millisecond
	// unansweredMost is how many questions in a row a peer may leave without an answer: it
	// answers even when it knows nothing, so its connection is silent.
	unansweredMost = 2
	// connectWithin bounds the way to a peer's port: a VM that is gone or cut off says
	// nothing, and an entry that has just started may have its record first of all. Half a
	// millisecond is usual between data centers.
	connectWithin = 150 * time.Millisecond
	// holdLeast is how long a peer may hold back an answer whose like is too old already:
	// it may be asking the platform.
	holdLeast = 100 * time.Millisecond
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

	patience float64 // see relay.Query

	mutex      sync.Mutex
	asked      uint64 // number of the last question
	unanswered int    // questions in a row
	answers    chan protocol.RelayAnswer
}

// dial connects to a peer and says what is known here, and whether it is for news only.
func dial(ctx context.Context, s *Source, peer protocol.EntryRecord, newsOnly bool) (*link, error) {
	socket, res, err := websocket.Dial(ctx, "ws://"+peer.Peers+Path, &websocket.DialOptions{
		HTTPHeader: http.Header{keyHeader: {keyPrefix + peer.Key}},
		HTTPClient: &s.seeker.client,
	})
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(protocol.MaxFrameBytes)
	l := &link{
		source: s, peer: peer, since: clock.Now(), socket: socket, patience: rand.Float64(),
		answers: make(chan protocol.RelayAnswer, 1),
	}
	if err := l.greet(ctx, s.hello(newsOnly)); err != nil {
		l.forget(err)
		l.close()
		return nil, err
	}
	return l, nil
}

// hello returns what an entry says that begins to follow: what it knows, or that it knows
// nothing, after a peer's changes did not go on from that.
func (s *Source) hello(newsOnly bool) protocol.RelayHello {
	hello := protocol.RelayHello{Name: s.Self.Name, NewsOnly: newsOnly}
	anew := s.anew.Swap(false)
	for _, k := range s.Kinds {
		mark := protocol.RelayMark{Kind: k}
		if !anew {
			mark.At = s.mirror.Revision(k)
		}
		hello.Known = append(hello.Known, mark)
	}
	return hello
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
	if now := clock.Now(); now.Sub(l.since) < relay.MaxConfirmationAge {
		s.seeker.avoid(l.peer.Name, true, now)
	}
	s.leave(l, err.Error())
}

// forget makes this entry list anew if the peer can't send all that is lacking here, and
// ask the next peer for all if changes did not go on from what is known here.
func (l *link) forget(err error) {
	switch {
	case errors.Is(err, errGap):
		l.source.anew.Store(true)
	case websocket.CloseStatus(err) == closeForgotten:
		for _, k := range l.source.Kinds {
			l.source.mirror.Forget(k)
		}
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
	if f.FailedMS >= 0 && l.source.OnPlatformFailure != nil {
		l.source.OnPlatformFailure(clock.Now().Add(-time.Duration(f.FailedMS) * time.Millisecond))
	}
	l.source.hearAll(f.Losses, l.peer.Name)
	l.source.hearPaces(f.Slow, l.peer.Name)
	l.source.hearWork(f.Work, l.peer.Name)
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
	run, err := decode(r)
	if err != nil {
		return err
	}
	if !l.source.mirror.Apply(r.Kind, run) {
		return errGap
	}
	return nil
}

// ask asks the peer how fresh its knowledge is. It returns a time at which the peer
// had all that the platform held, zero when it could not say, and the confirmed object
// then, at least its version. The peer holds its answer back for news until the one
// before is too old.
//
// The age that the answer tells is counted from the question on, and from the end of
// the time for which it was held back, because it may have been under way for long.
func (l *link) ask(ctx context.Context, till time.Time) confirmation {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	number := l.question()
	asked := clock.Now()
	hold := milliseconds(max(holdLeast, till.Sub(asked)))
	if err := write(ctx, l.socket, protocol.RelayAsk{Number: number, HoldMS: hold}); err != nil {
		l.source.leave(l, err.Error())
		return confirmation{}
	}
	for {
		select {
		case a := <-l.answers:
			if a.Number != number {
				continue // of an earlier question
			}
			l.unanswered = 0
			c := confirmation{object: l.told(&a)}
			if a.ConfirmedMS >= 0 {
				c.at = asked.Add(time.Duration((a.HeldMS - a.ConfirmedMS) * float64(time.Millisecond)))
			}
			return c
		case <-ctx.Done():
			l.silent()
			return confirmation{}
		case <-l.done.Done():
			return confirmation{}
		}
	}
}

// told returns the object that an answer speaks of, its version alone if the answer does
// not hold it.
func (l *link) told(a *protocol.RelayAnswer) protocol.Object {
	o := protocol.Object{Kind: l.source.ConfirmedKind, Name: l.source.ConfirmedName, Version: a.Version}
	if a.Ahead == nil {
		return o
	}
	run, err := decode(a.Ahead)
	if err != nil || len(run.Changes) != 1 || run.Changes[0].Object.Name != o.Name {
		event.FrameBroken.Log(l.source.Logger, slog.String("peer", l.peer.Name), slog.String("cause", "an answer does not hold what it confirms"))
		return o
	}
	return run.Changes[0].Object
}

// silent ends following a peer that does not answer any more.
func (l *link) silent() {
	l.unanswered++
	if l.unanswered >= unansweredMost {
		l.source.seeker.avoid(l.peer.Name, true, clock.Now())
		l.source.leave(l, "it did not answer")
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
