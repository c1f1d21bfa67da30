// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// tellLimit bounds the writing of news to the peer that is followed.
const tellLimit = time.Second

// news is what this entry was told of lost endpoints, or met itself, and passes on along
// the road: to the peer that it follows and to those who follow it, but not back. Each
// report that changes something is passed on once. The zero value is empty.
type news struct {
	mutex sync.Mutex
	book  loss.Tracker
	queue queue
}

// ReportLoss passes on that this entry met a sign of an endpoint.
func (s *Source) ReportLoss(endpoint string, sign protocol.LossObservation, at time.Time) {
	s.hear(loss.NewReport(endpoint, s.Self.Name, sign, at).WithIncarnation(s.lifetimeOf(endpoint)), "")
}

// ReportOwner passes on which process answers at an endpoint's address: occupant is "" for one
// that does not hold the layers of the endpoint's record.
func (s *Source) ReportOwner(endpoint, occupant string, at time.Time) {
	sign := protocol.LossMisplaced
	if occupant == endpoint {
		sign = protocol.LossAnswered
	}
	s.hear(loss.NewReport(endpoint, s.Self.Name, sign, at).WithIncarnation(s.lifetimeOf(endpoint)).WithOccupant(occupant), "")
}

// lifetimeOf returns the lifetime of an endpoint as this entry knows it, 0 if it does not.
func (s *Source) lifetimeOf(endpoint string) protocol.Incarnation {
	if s.Incarnation == nil {
		return 0
	}
	return s.Incarnation(endpoint)
}

// hear judges a report and passes it on if it changes anything.
func (s *Source) hear(r loss.Report, via string) {
	known := 0
	if s.EndpointCount != nil {
		known = s.EndpointCount()
	}
	now := clock.Now()
	if r.Observation() == protocol.LossRefused {
		s.quarantine.RecordCrash(r.Endpoint(), r.Incarnation(), r.At())
	}
	v := s.news.take(r, via, known, now)
	if _, nothing := v.(loss.NoChange); nothing || s.OnLossChange == nil {
		return
	}
	s.OnLossChange(r, v)
}

// hearAll takes what a peer tells.
func (s *Source) hearAll(all []protocol.RelayLoss, via string) {
	now := clock.Now()
	for _, l := range all {
		at := now.Add(-time.Duration(l.AgoMS * float64(time.Millisecond)))
		s.hear(loss.NewReport(l.Endpoint, l.Observer, l.Observation, at).WithIncarnation(l.Incarnation).WithOccupant(l.Occupant), via)
	}
}

// take notes a report that changes something, to be passed on.
func (n *news) take(r loss.Report, via string, known int, now time.Time) loss.Change {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	v := n.book.Apply(r, known, now)
	if _, nothing := v.(loss.NoChange); nothing {
		return v
	}
	n.queue.add(r, via, now.Add(-loss.ReportTTL), 0)
	return v
}

// since returns what to tell a peer after an item's number, and the number of the last.
func (n *news) since(number uint64, peer string, now time.Time) ([]protocol.RelayLoss, uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	queued, last := n.queue.since(number, peer, now.Add(-loss.ReportTTL))
	var all []protocol.RelayLoss
	for _, d := range queued {
		r := d.(loss.Report)
		all = append(all, protocol.RelayLoss{
			Endpoint: r.Endpoint(), Incarnation: r.Incarnation(), Observer: r.Observer(), Observation: r.Observation(),
			AgoMS: max(0, milliseconds(now.Sub(r.At()))), Occupant: r.Occupant(),
		})
	}
	return all, last
}

// upward tells the peer that is followed the news as they come.
type upward struct {
	link  *link
	told  uint64 // losses
	paces uint64
	work  uint64
}

func (u *upward) run() {
	l := u.link
	ctx, cancel := l.done.Context()
	defer cancel()
	for {
		more := l.source.news.queue.changed.Awaited()
		paces := l.source.paces.queue.changed.Awaited()
		work := l.source.quarantine.queue.changed.Awaited()
		if err := u.tell(ctx); err != nil {
			l.broke(err)
			return
		}
		select {
		case <-more:
		case <-paces:
		case <-work:
		case <-l.done.Done():
			return
		}
	}
}

// tell writes what the peer was not told yet.
func (u *upward) tell(ctx context.Context) error {
	var losses []protocol.RelayLoss
	losses, u.told = u.link.source.news.since(u.told, u.link.peer.Name, clock.Now())
	var slow []protocol.RelaySlow
	slow, u.paces = u.link.source.paces.since(u.paces, u.link.peer.Name, clock.Now())
	var work []protocol.RelayWork
	work, u.work = u.link.source.quarantine.since(u.work, u.link.peer.Name, clock.Now())
	if len(losses) == 0 && len(slow) == 0 && len(work) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	return write(ctx, u.link.socket, protocol.RelayAsk{Losses: losses, Slow: slow, Work: work})
}
