// SPDX-License-Identifier: Apache-2.0

package tunnel

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"

	"pinerun.example/pinerun/coordination/reach"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

const (
	// maxPeers is how many entries are asked for one connection. Most answer within a millisecond that
	// they can't help.
	maxPeers = 8
	// minWitnesses is how many entries must not have reached an endpoint before it is at fault. Several
	// may lack the same path.
	minWitnesses = 3
	// laterWave is how many entries are asked at once after one that did not reach the endpoint.
	laterWave = 2
)

// DialPeers connects to the endpoint at an address through another entry.
func (d *Dialer) DialPeers(ctx context.Context, address string) (net.Conn, error) {
	return d.newSearch(address).run(ctx, 1)
}

// DialManyPeers is like DialPeers, but asks several entries at once: it costs them more, and it is known
// sooner whether any reaches the endpoint.
func (d *Dialer) DialManyPeers(ctx context.Context, address string) (net.Conn, error) {
	return d.newSearch(address).run(ctx, minWitnesses)
}

// search asks other entries for a connection to one endpoint.
type search struct {
	dialer    *Dialer
	address   string
	query     reach.PeerQuery
	known     int // entries that there are to ask
	asked     int
	witnesses int  // that did not reach the endpoint, though others
	unknown   bool // whether one knows no endpoint at the address, so that others may be reached
	failed    DialError
}

func (d *Dialer) newSearch(address string) *search {
	d.mutex.Lock()
	known := d.peers.Known()
	d.mutex.Unlock()
	return &search{
		dialer: d, address: address, known: known, failed: DialError{address: address, cause: errNoPeer},
		query: reach.PeerQuery{
			DataCenter: d.DataCenter, EndpointDataCenter: d.DataCenterOf(address), Tried: make(map[string]bool), Asked: make(map[string]bool),
			Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
	}
}

// run asks entries, in the first wave as many at once as given, until one connects, enough did not reach the
// endpoint, or none is left.
func (s *search) run(ctx context.Context, wave int) (net.Conn, error) {
	for s.asked < maxPeers && ctx.Err() == nil {
		peers := s.next(wave)
		if len(peers) == 0 {
			break
		}
		if c := s.ask(ctx, peers); c != nil {
			return c, nil
		}
		if s.witnesses >= min(minWitnesses, s.known) {
			s.failed.verdict = EndpointFailed
			return nil, &s.failed
		}
		wave = 1
		if s.witnesses > 0 {
			wave = laterWave
		}
	}
	switch {
	case s.unknown:
		s.failed.verdict = Undecided
	case s.dialer.CutOff():
		s.failed.verdict = NoPath
	}
	return nil, &s.failed
}

// next returns the entries to ask next, as many as given at most.
func (s *search) next(n int) []protocol.EntryRecord {
	d := s.dialer
	d.mutex.Lock()
	defer d.mutex.Unlock()
	s.query.Now = clock.Now()
	var peers []protocol.EntryRecord
	for len(peers) < n {
		p, ok := d.peers.Next(&s.query)
		if !ok {
			break
		}
		s.query.Tried[p.Name], s.query.Asked[p.DataCenter], s.query.Recommended = true, true, ""
		peers = append(peers, p)
	}
	s.asked += len(peers)
	return peers
}

// ask asks entries at once and returns the first connection, nil if there is none.
func (s *search) ask(ctx context.Context, peers []protocol.EntryRecord) net.Conn {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan askResult)
	for i := range peers {
		go (&asking{ctx: ctx, dialer: s.dialer, peer: &peers[i], address: s.address, results: results}).run()
	}
	for range peers {
		select {
		case r := <-results:
			if r.conn != nil {
				return r.conn
			}
			s.record(&r)
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// record records an answer without a connection.
func (s *search) record(r *askResult) {
	s.failed.peer = r.peer.Name
	switch r.answer.Outcome {
	case protocol.TunnelRefused, protocol.TunnelSilent:
		s.witnesses++
		s.failed.cause = causeOf(r.answer.Outcome)
	case protocol.TunnelUnknown:
		s.unknown = true
	case protocol.TunnelCutOff:
		s.failed.verdict = NoPath
		s.query.Recommended = r.answer.Peer
	}
}

// asking is the request of one tunnel.
type asking struct {
	ctx     context.Context
	dialer  *Dialer
	peer    *protocol.EntryRecord
	address string
	results chan<- askResult
}

type askResult struct {
	peer   *protocol.EntryRecord
	answer protocol.TunnelAnswer
	conn   net.Conn // nil unless the tunnel is open
}

func (a *asking) run() {
	c, answer, err := a.dialer.open(a.ctx, a.peer, a.address)
	if err == nil || !errors.Is(a.ctx.Err(), context.Canceled) { // an entry that is not waited for may be sound
		a.dialer.recordPeer(a.peer, answer, err)
	}
	select {
	case a.results <- askResult{peer: a.peer, answer: answer, conn: c}:
	case <-a.ctx.Done():
		if c != nil {
			_ = c.Close() // another one was faster
		}
	}
}
