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
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
)

const (
	// Path is the HTTP path of a Server.
	Path = "/relay"
	// maxHoldMS is how long a peer may delay an answer until it has a newer confirmation, in
	// milliseconds. It is a little more than the interval between two confirmations. answerTimeout
	// bounds the wait for an answer, which itself takes a millisecond.
	maxHoldMS     = 500
	answerTimeout = (maxHoldMS + 300) * time.Millisecond
	// maxUnanswered is how many requests in a row a peer may leave unanswered. A healthy peer
	// answers even when it knows nothing, so the connection of one that does not is dead.
	maxUnanswered = 2
	// connectTimeout bounds the TCP connect to a peer. A VM that is gone or unreachable does not
	// refuse a connection, and its record may be the first one that a newly started entry tries. A
	// connect between data centers typically takes half a millisecond.
	connectTimeout = 150 * time.Millisecond
	// minHold is how long a peer may delay an answer when the last confirmation is already too old:
	// it may be asking the platform.
	minHold = 100 * time.Millisecond
	// writeTimeout bounds the writing of one frame.
	writeTimeout = 2 * time.Second
)

// link is the connection to the followed peer.
type link struct {
	source     *Source
	peer       protocol.EntryRecord
	followedAt time.Time
	socket     *websocket.Conn
	form       protocol.RelayForm
	done       lifecycle.Done

	jitter float64 // see relay.Query

	mutex       sync.Mutex
	lastRequest uint64 // number of the last request
	unanswered  int    // requests in a row without an answer
	answers     chan protocol.RelayAnswer
}

// dial connects to a peer and sends a hello, which reports the known revisions and whether the peer
// is followed for reports only.
func dial(ctx context.Context, s *Source, peer protocol.EntryRecord, reportsOnly bool) (*link, error) {
	socket, res, err := websocket.Dial(ctx, "ws://"+peer.PeerAddress+Path, &websocket.DialOptions{
		HTTPHeader:   http.Header{protocol.KeyHeader: {protocol.KeyPrefix + peer.Key}},
		HTTPClient:   &s.selector.client,
		Subprotocols: protocol.RelaySubprotocols(),
	})
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(protocol.MaxFrameBytes)
	l := &link{
		source: s, peer: peer, followedAt: clock.Now(), socket: socket, form: protocol.RelayFormOf(socket.Subprotocol()), jitter: rand.Float64(),
		answers: make(chan protocol.RelayAnswer, 1),
	}
	err = l.checkForm()
	if err == nil {
		err = l.handshake(ctx, s.hello(reportsOnly))
	}
	if err != nil {
		l.resetKnownState(err)
		l.close()
		return nil, err
	}
	return l, nil
}

// errNoEras says that a peer does not tell the era of what it sends, so that it is unknown whether
// that is from before or after a restore of the platform.
var errNoEras = errors.New("the peer does not know eras of the platform")

// checkForm checks that the peer tells eras if the platform names any.
func (l *link) checkForm() error {
	if l.form.HasEras() || l.source.Eras.Latest() == 0 {
		return nil
	}
	return errNoEras
}

// hello returns the first message to a peer. It lists the known revisions, or none after an earlier
// peer's changes did not continue from them.
func (s *Source) hello(reportsOnly bool) *protocol.RelayHello {
	hello := &protocol.RelayHello{Name: s.Self.Name, ReportsOnly: reportsOnly}
	empty := s.sendEmptyHello.Swap(false)
	for _, k := range s.Kinds {
		mark := protocol.KindRevision{Kind: k}
		if !empty {
			mark.Revision = s.mirror.Revision(k)
		}
		hello.Known = append(hello.Known, mark)
	}
	return hello
}

// handshake sends the hello and waits for the first frame. A peer that can't accept a follower
// closes the connection instead.
func (l *link) handshake(ctx context.Context, hello *protocol.RelayHello) error {
	if err := write(ctx, l.socket, l.form, hello); err != nil {
		return err
	}
	_, b, err := l.socket.Read(ctx)
	if err != nil {
		return err
	}
	return l.handleFrame(b)
}

// write sends one message.
func write(ctx context.Context, socket *websocket.Conn, form protocol.RelayForm, message protocol.RelayMessage) error {
	b, err := form.Encode(message)
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

// readLoop handles the frames of the peer until the connection ends.
func (l *link) readLoop() {
	ctx, cancel := l.done.Context()
	defer cancel()
	for {
		_, b, err := l.socket.Read(ctx)
		if err == nil {
			err = l.handleFrame(b)
		}
		if err != nil {
			l.fail(err)
			return
		}
	}
}

// fail drops the peer after an error, and backs off from it if the connection broke soon.
func (l *link) fail(err error) {
	s := l.source
	l.resetKnownState(err)
	if now := clock.Now(); now.Sub(l.followedAt) < relay.MaxConfirmationAge {
		s.selector.backOff(l.peer.Name, true, now)
	}
	s.dropPeer(l, err.Error())
}

// resetKnownState prepares the next connection after an error. If the peer can't send everything
// that is missing, this entry lists again. If the peer's changes left a gap, the next hello reports
// no known state.
func (l *link) resetKnownState(err error) {
	switch {
	case errors.Is(err, errGap):
		l.source.sendEmptyHello.Store(true)
	case websocket.CloseStatus(err) == closeMustList:
		for _, k := range l.source.Kinds {
			l.source.mirror.Forget(k)
		}
	}
}

// errGap says that a peer's changes do not continue from the revision that is known here.
var errGap = errors.New("the peer's changes do not continue from the known revision")

// handleFrame decodes a frame and applies it.
func (l *link) handleFrame(b []byte) error {
	if err := l.checkForm(); err != nil {
		return err
	}
	f, err := l.form.DecodeFrame(b)
	if err != nil {
		return err
	}
	if f.FailedMS >= 0 {
		l.source.reportPeerFailure(clock.Now().Add(-time.Duration(f.FailedMS) * time.Millisecond))
	}
	l.source.receiveLosses(f.Losses, l.peer.Name)
	l.source.receiveSlowness(f.Slow, l.peer.Name)
	l.source.receiveWork(f.Work, l.peer.Name)
	l.source.rateLimits.Receive(f.Rates, l.peer.Name)
	l.source.receiveTable(f.LostTable, l.peer.Name) // before anything that the platform holds now
	for i := range f.Deltas {
		if err := l.applyDelta(&f.Deltas[i]); err != nil {
			return err
		}
	}
	if f.Answer != nil {
		l.deliverAnswer(*f.Answer)
	}
	return nil
}

// applyDelta applies the changes of one kind.
func (l *link) applyDelta(encoded *protocol.RelayDelta) error {
	delta, err := decode(encoded)
	if err != nil {
		return err
	}
	l.source.Eras.Observe(delta.To.Era)
	if !l.source.mirror.Apply(encoded.Kind, delta) {
		return errGap
	}
	return nil
}

// ask asks the peer how fresh its state is. It returns a time at which the peer had everything that
// the platform held, zero when the peer could not say, and the confirmed object at that time, at
// least its version. The peer may delay its answer for a newer confirmation until trustedUntil.
//
// The answer contains the age of the confirmation. That age is subtracted from the time of the
// request plus the time for which the peer delayed the answer, not from the time of arrival,
// because the answer may have been in transit for long.
func (l *link) ask(ctx context.Context, trustedUntil time.Time) confirmation {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	number := l.nextRequestNumber()
	askedAt := clock.Now()
	hold := milliseconds(max(minHold, trustedUntil.Sub(askedAt)))
	if err := write(ctx, l.socket, l.form, &protocol.RelayRequest{Number: number, HoldMS: hold}); err != nil {
		l.source.dropPeer(l, err.Error())
		return confirmation{}
	}
	for {
		select {
		case a := <-l.answers:
			if a.Number != number {
				continue // answer to an earlier request
			}
			l.unanswered = 0
			l.source.Eras.Observe(a.Version.Era)
			c := confirmation{object: l.confirmedObject(&a)}
			if a.ConfirmedMS >= 0 {
				c.at = askedAt.Add(time.Duration((a.HeldMS - a.ConfirmedMS) * float64(time.Millisecond)))
			}
			return c
		case <-ctx.Done():
			if !l.source.lateSince(askedAt) {
				l.recordUnanswered()
			}
			return confirmation{}
		case <-l.done.Done():
			return confirmation{}
		}
	}
}

// confirmedObject returns the object that an answer confirms. It has only a version if the answer
// does not contain the object.
func (l *link) confirmedObject(a *protocol.RelayAnswer) protocol.Object {
	o := protocol.Object{Kind: l.source.ConfirmedKind, Name: l.source.ConfirmedName, Version: a.Version}
	if a.Unsent == nil {
		return o
	}
	delta, err := decode(a.Unsent)
	if err != nil || len(delta.Changes) != 1 || delta.Changes[0].Object.Name != o.Name {
		event.FrameBroken.Log(l.source.Logger, slog.String("peer", l.peer.Name), slog.String("cause", "the answer does not contain the object that it confirms"))
		return o
	}
	return delta.Changes[0].Object
}

// recordUnanswered counts an unanswered request, and drops the peer after maxUnanswered in a row.
func (l *link) recordUnanswered() {
	l.unanswered++
	if l.unanswered >= maxUnanswered {
		l.source.selector.backOff(l.peer.Name, true, clock.Now())
		l.source.dropPeer(l, "it did not answer")
	}
}

func (l *link) nextRequestNumber() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lastRequest++
	return l.lastRequest
}

// deliverAnswer passes the latest answer to the caller of ask, replacing one that nobody took.
func (l *link) deliverAnswer(a protocol.RelayAnswer) {
	select {
	case <-l.answers: // discard the previous answer
	default:
	}
	select {
	case l.answers <- a:
	default:
	}
}
