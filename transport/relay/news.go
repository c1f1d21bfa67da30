// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/loss"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
)

// tellLimit bounds the writing of news to the peer that is followed.
const tellLimit = time.Second

// news is what this entry was told of lost endpoints, or met itself, and passes on along
// the road: to the peer that it follows and to those who follow it, but not back. Each
// report that changes something is passed on once. The zero value is empty.
type news struct {
	mutex   sync.Mutex
	book    loss.Book
	items   []newsItem // in order of number
	numbers uint64
	changed part.Signal
}

// newsItem is a report and the peer that told it, "" for this entry.
type newsItem struct {
	number uint64
	report loss.Report
	via    string
}

// Tell passes on that this entry met a sign of an endpoint.
func (s *Source) Tell(endpoint string, sign protocol.LossSign, at time.Time) {
	s.hear(loss.NewReport(endpoint, s.Self.Name, sign, at).In(s.lifetimeOf(endpoint)), "")
}

// Locate passes on which process answers at an endpoint's address: occupant is "" for one
// that does not hold the layers of the endpoint's record.
func (s *Source) Locate(endpoint, occupant string, at time.Time) {
	sign := protocol.LossMisplaced
	if occupant == endpoint {
		sign = protocol.LossAnswered
	}
	s.hear(loss.NewReport(endpoint, s.Self.Name, sign, at).In(s.lifetimeOf(endpoint)).Naming(occupant), "")
}

// lifetimeOf returns the lifetime of an endpoint as this entry knows it, 0 if it does not.
func (s *Source) lifetimeOf(endpoint string) protocol.Lifetime {
	if s.Lifetime == nil {
		return 0
	}
	return s.Lifetime(endpoint)
}

// hear judges a report and passes it on if it changes anything.
func (s *Source) hear(r loss.Report, via string) {
	known := 0
	if s.Endpoints != nil {
		known = s.Endpoints()
	}
	now := time.Now()
	v := s.news.take(r, via, known, now)
	if _, nothing := v.(loss.Nothing); nothing || s.Judged == nil {
		return
	}
	s.Judged(r, v)
}

// hearAll takes what a peer tells.
func (s *Source) hearAll(all []protocol.RelayLoss, via string) {
	now := time.Now()
	for _, l := range all {
		at := now.Add(-time.Duration(l.AgoMS * float64(time.Millisecond)))
		s.hear(loss.NewReport(l.Endpoint, l.Witness, l.Sign, at).In(l.Lifetime).Naming(l.Occupant), via)
	}
}

// take notes a report that changes something, to be passed on.
func (n *news) take(r loss.Report, via string, known int, now time.Time) loss.Verdict {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	v := n.book.Take(r, known, now)
	if _, nothing := v.(loss.Nothing); nothing {
		return v
	}
	n.forget(now)
	n.numbers++
	n.items = append(n.items, newsItem{number: n.numbers, report: r, via: via})
	n.changed.Tell()
	return v
}

// forget drops items that count for nothing any more.
func (n *news) forget(now time.Time) {
	old := 0
	for old < len(n.items) && now.Sub(n.items[old].report.At()) > loss.KeptFor {
		old++
	}
	n.items = n.items[old:]
}

// since returns what to tell a peer after an item's number, and the number of the last.
func (n *news) since(number uint64, peer string, now time.Time) ([]protocol.RelayLoss, uint64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var all []protocol.RelayLoss
	for _, i := range n.items {
		ago := now.Sub(i.report.At())
		if i.number <= number || i.via == peer || ago > loss.KeptFor {
			continue
		}
		all = append(all, protocol.RelayLoss{
			Endpoint: i.report.Endpoint(), Lifetime: i.report.Lifetime(), Witness: i.report.Witness(), Sign: i.report.Sign(),
			AgoMS: max(0, milliseconds(ago)), Occupant: i.report.Occupant(),
		})
	}
	return all, n.numbers
}

// upward tells the peer that is followed the news as they come.
type upward struct {
	link  *link
	told  uint64 // losses
	paces uint64
}

func (u *upward) run() {
	l := u.link
	ctx, cancel := l.done.Context()
	defer cancel()
	for {
		more := l.source.news.changed.Awaited()
		paces := l.source.paces.changed.Awaited()
		if err := u.tell(ctx); err != nil {
			l.broke(err)
			return
		}
		select {
		case <-more:
		case <-paces:
		case <-l.done.Done():
			return
		}
	}
}

// tell writes what the peer was not told yet.
func (u *upward) tell(ctx context.Context) error {
	var losses []protocol.RelayLoss
	losses, u.told = u.link.source.news.since(u.told, u.link.peer.Name, time.Now())
	var slow []protocol.RelaySlow
	slow, u.paces = u.link.source.paces.since(u.paces, u.link.peer.Name, time.Now())
	if len(losses) == 0 && len(slow) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	return write(ctx, u.link.socket, protocol.RelayAsk{Losses: losses, Slow: slow})
}
