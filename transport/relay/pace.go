// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/slow"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
)

// paceNewsMost bounds the reports of endpoints' pace that are kept to be passed on. The oldest
// are dropped first: a report is repeated as long as its endpoint is slow.
const paceNewsMost = 1024

// paces holds the reports of endpoints' pace that this entry made or was told, and passes
// them on along the relay tree as it does losses: each report that changes something, once,
// and not back to the peer that told it.
// The zero value is empty.
type paces struct {
	mutex sync.Mutex
	book  slow.Tracker
	queue queue
	told  uint64 // number of the last report of this entry
}

// ReportSlowness passes on that this entry met a sign of an endpoint's pace. It fills in the witness
// and the number.
func (s *Source) ReportSlowness(news protocol.RelaySlow, at time.Time) {
	news.Observer = s.Self.Name
	news.Number = s.paces.next()
	s.hearPace(slow.NewReport(news, at), "")
}

// hearPace judges a report and passes it on if it changes anything.
func (s *Source) hearPace(r slow.Report, via string) {
	v := s.paces.take(r, via, clock.Now())
	if _, nothing := v.(slow.NoChange); nothing || s.OnSlownessChange == nil {
		return
	}
	s.OnSlownessChange(r, v)
}

// hearPaces takes the reports that a peer tells.
func (s *Source) hearPaces(all []protocol.RelaySlow, via string) {
	now := clock.Now()
	for _, n := range all {
		at := now.Add(-time.Duration(n.AgoMS * float64(time.Millisecond)))
		s.hearPace(slow.NewReport(n, at), via)
	}
}

// next returns the number of this entry's next report. It is at least the time in
// nanoseconds, so that the reports of a restarted entry are newer than those before.
func (p *paces) next() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.told = max(p.told+1, uint64(time.Now().UnixNano()))
	return p.told
}

// take notes a report that changes something, to be passed on.
func (p *paces) take(r slow.Report, via string, now time.Time) slow.Change {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	v := p.book.Apply(r, now)
	if _, nothing := v.(slow.NoChange); nothing {
		return v
	}
	p.queue.add(r, via, now.Add(-slow.ReportTTL), paceNewsMost)
	return v
}

// since returns the reports after an item's number that a peer must be told, and the number
// of the last item.
func (p *paces) since(number uint64, peer string, now time.Time) ([]protocol.RelaySlow, uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	queued, last := p.queue.since(number, peer, now.Add(-slow.ReportTTL))
	var all []protocol.RelaySlow
	for _, d := range queued {
		all = append(all, d.(slow.Report).Message(now))
	}
	return all, last
}
