// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"pinerun.example/pinerun/coordination/reach"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
)

const (
	// directTimeout bounds how long an endpoint may take to accept a connection. Endpoints are within a
	// millisecond, and a lost packet would be sent again only after a second.
	directTimeout = 300 * time.Millisecond
	// headStart is how long a connection of this entry may take until another entry is asked as well.
	headStart = 100 * time.Millisecond
	// peerConnectTimeout bounds the TCP connect to another entry, and peerTimeout the time until its
	// answer, in which it connects to the endpoint.
	peerConnectTimeout = 100 * time.Millisecond
	peerTimeout        = 250 * time.Millisecond
)

// Dialer connects to endpoints, through other entries where this entry can't. Set the exported fields
// before use.
type Dialer struct {
	Self       string // name of this entry
	DataCenter string
	// Connect connects to an address by itself. If it is nil, connections are over TCP.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// DataCenterOf returns the data center of the endpoint at an address, "" if it is unknown.
	DataCenterOf func(address string) string
	// Addresses returns the addresses of all endpoints in random order.
	Addresses func() []string
	// LateSince reports whether this process was not run for a while since a time. If it is nil, it
	// never was.
	LateSince func(t time.Time) bool
	// OnChange is called when a path was found cut or works again. It may be nil.
	OnChange func()
	Counters *metric.Set
	Logger   *slog.Logger

	disturbed atomic.Bool // whether the tracker is not empty

	mutex   sync.Mutex
	tracker reach.Tracker
	peers   reach.Peers
	client  *http.Client
}

// SetPeers sets the records of the entries that may be asked for tunnels.
func (d *Dialer) SetPeers(records []protocol.EntryRecord) {
	var others []protocol.EntryRecord
	for _, r := range records {
		if r.Name != d.Self && r.PeerAddress != "" {
			others = append(others, r)
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers.Set(others)
}

// HasPeers reports whether there is another entry to ask.
func (d *Dialer) HasPeers() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.peers.Known() > 0
}

// Dial connects to the endpoint at an address. If it fails, the error is a *DialError.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout+peerTimeout)
	defer cancel()
	if d.isDirect(address) {
		return d.dialBoth(ctx, address)
	}
	c, err := d.DialPeers(ctx, address)
	var failed *DialError
	if err == nil || !errors.As(err, &failed) || failed.verdict == EndpointFailed || d.CutOff() {
		return c, err
	}
	if c, direct := d.DialDirect(ctx, address); direct == nil {
		return c, nil
	}
	return nil, err
}

// dialBoth connects by itself, and through another entry if that fails or takes long.
func (d *Dialer) dialBoth(ctx context.Context, address string) (net.Conn, error) {
	begun := clock.Now()
	first, cancel := context.WithTimeout(ctx, headStart)
	defer cancel()
	c, err := d.DialDirect(first, address)
	if err == nil {
		return c, nil
	}
	if ctx.Err() != nil || isLocal(err) || !d.HasPeers() {
		return d.dialAlone(ctx, address, err)
	}
	if isTimeout(err) {
		return d.race(ctx, address, begun)
	}
	c, failed := d.DialPeers(ctx, address)
	if failed != nil {
		return nil, withOwnCause(failed, err)
	}
	d.RecordUnreachable(address, begun)
	return c, nil
}

// dialAlone goes on without another entry after a first attempt that failed.
func (d *Dialer) dialAlone(ctx context.Context, address string, cause error) (net.Conn, error) {
	if ctx.Err() != nil || !isTimeout(cause) {
		return nil, &DialError{address: address, cause: cause}
	}
	ctx, cancel := context.WithTimeout(ctx, directTimeout-headStart)
	defer cancel()
	c, err := d.DialDirect(ctx, address)
	if err != nil {
		return nil, &DialError{address: address, cause: err}
	}
	return c, nil
}

// race connects once more by itself and through another entry, and uses what comes first.
func (d *Dialer) race(ctx context.Context, address string, begun time.Time) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	go (&dialing{ctx: ctx, dial: d.dialRest, address: address, results: results}).run()
	go (&dialing{ctx: ctx, dial: d.DialManyPeers, address: address, results: results}).run()
	var failed error = &DialError{address: address, cause: errNoPeer}
	silent := false
	for range 2 {
		select {
		case r := <-results:
			if r.err == nil {
				d.recordWinner(r.conn, address, begun)
				return r.conn, nil
			}
			var verdict *DialError
			if errors.As(r.err, &verdict) {
				failed = r.err
			} else {
				silent = isTimeout(r.err)
			}
		case <-ctx.Done():
			return nil, &DialError{address: address, cause: ctx.Err()}
		}
	}
	return nil, withSilence(failed, silent)
}

// dialRest connects by itself for what is left of directTimeout after the head start.
func (d *Dialer) dialRest(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout-headStart)
	defer cancel()
	return d.DialDirect(ctx, address)
}

// recordWinner records that only another entry connected in time, if it did.
func (d *Dialer) recordWinner(c net.Conn, address string, begun time.Time) {
	if Peer(c) != "" {
		d.RecordUnreachable(address, begun)
	}
}

// dialing is one of two attempts to connect to an endpoint.
type dialing struct {
	ctx     context.Context
	dial    func(ctx context.Context, address string) (net.Conn, error)
	address string
	results chan<- dialResult
}

type dialResult struct {
	conn net.Conn
	err  error
}

func (g *dialing) run() {
	c, err := g.dial(g.ctx, g.address)
	select {
	case g.results <- dialResult{conn: c, err: err}:
	case <-g.ctx.Done():
		if err == nil {
			_ = c.Close() // the other attempt was faster
		}
	}
}

// DialDirect connects to the endpoint at an address without another entry.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	if d.Connect != nil {
		return d.Connect(ctx, address)
	}
	return DialTCP(ctx, address)
}

// DialTCP connects to an endpoint over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	t := net.Dialer{Timeout: directTimeout, KeepAlive: -1, Control: backlog.LimitEngineSocket}
	return t.DialContext(ctx, "tcp", address)
}

// openedPeer returns an entry that recently opened a tunnel for this one, "" for none.
func (d *Dialer) openedPeer(now time.Time) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.peers.Opened(now)
}

// errUnsupported says that an entry knows no tunnels.
var errUnsupported = errors.New("the entry's version knows no tunnels")

// open asks an entry for a tunnel to an endpoint. The outcome is 0 if it did not answer.
func (d *Dialer) open(ctx context.Context, peer *protocol.EntryRecord, address string) (net.Conn, protocol.TunnelAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	socket, res, err := websocket.Dial(ctx, "ws://"+peer.PeerAddress+Path, &websocket.DialOptions{
		HTTPHeader:   http.Header{protocol.KeyHeader: {protocol.KeyPrefix + peer.Key}},
		HTTPClient:   d.peerClient(),
		Subprotocols: []string{protocol.TunnelSubprotocol},
	})
	if res != nil && res.Body != nil {
		_ = res.Body.Close()
	}
	if err != nil {
		if res != nil && res.StatusCode == http.StatusNotFound {
			err = errUnsupported
		}
		return nil, protocol.TunnelAnswer{}, err
	}
	answer, err := d.request(ctx, socket, address)
	if err != nil || answer.Outcome != protocol.TunnelOpen {
		_ = socket.CloseNow()
		return nil, answer, err
	}
	return newConn(socket, peer.Name), answer, nil
}

// request sends the request of a tunnel and returns the answer.
func (d *Dialer) request(ctx context.Context, socket *websocket.Conn, address string) (protocol.TunnelAnswer, error) {
	b, err := protocol.EncodeTunnelRequest(&protocol.TunnelRequest{Name: d.Self, Address: address})
	if err != nil {
		return protocol.TunnelAnswer{}, err
	}
	if err := socket.Write(ctx, websocket.MessageBinary, b); err != nil {
		return protocol.TunnelAnswer{}, err
	}
	_, b, err = socket.Read(ctx)
	if err != nil {
		return protocol.TunnelAnswer{}, err
	}
	return protocol.DecodeTunnelAnswer(b)
}

// peerClient returns the HTTP client for tunnels, which keeps no connection of its own.
func (d *Dialer) peerClient() *http.Client {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.client == nil {
		t := net.Dialer{Timeout: peerConnectTimeout, Control: backlog.LimitEngineSocket}
		d.client = &http.Client{Transport: limited.Transport(&http.Transport{DialContext: t.DialContext, DisableKeepAlives: true})}
	}
	return d.client
}

// recordPeer records what came of asking an entry.
func (d *Dialer) recordPeer(peer *protocol.EntryRecord, answer protocol.TunnelAnswer, err error) {
	result, reason := reach.PeerAnswered, answer.Outcome.String()
	switch {
	case errors.Is(err, errUnsupported):
		result, reason = reach.PeerUnsupported, "unsupported"
	case err != nil:
		result, reason = reach.PeerFailed, "no_answer"
	}
	d.Counters.CountTunnelAsked(reason)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers.Record(peer, result, answer.Outcome, clock.Now())
	if err != nil {
		event.TunnelFailed.Log(d.Logger, slog.String("peer", peer.Name), slog.String("cause", err.Error()))
	}
}

// withSilence returns the error of asking other entries with whether the own attempt got no answer.
func withSilence(err error, silent bool) error {
	var failed *DialError
	if errors.As(err, &failed) {
		failed.silent = silent
	}
	return err
}

// withOwnCause returns the error of asking other entries with the cause of the own attempt.
func withOwnCause(err, cause error) error {
	var failed *DialError
	if errors.As(err, &failed) {
		failed.cause = cause
	}
	return err
}
