// SPDX-License-Identifier: Apache-2.0

package loss

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// locatedAgain is how long the same news of an address is not passed on again: every request
// that was under way there meets the same sign.
const locatedAgain = time.Second

// OccupantObserved says who answers at an endpoint's address: itself, another process, or a process
// without the layers of the endpoint's record. The sign is an answer, so one witness suffices,
// and the number of such endpoints is not bounded as that of losses is: an entry that is cut
// off gets no answers, so it tells no such news.
type OccupantObserved struct{}

func (OccupantObserved) verdict() {}

// located is the latest news of who answers at an endpoint's address.
type located struct {
	sign     protocol.LossObservation
	occupant string
	at       time.Time
}

// locates reports whether a report tells who answers at the endpoint's address.
func (r *Report) locates() bool {
	return r.sign == protocol.LossMisplaced || r.sign == protocol.LossAnswered && r.occupant != ""
}

// locate takes a report of who answers at an endpoint's address.
func (b *Tracker) locate(r Report, p *page, now time.Time) Change {
	if p == nil {
		p = b.open(&r)
	}
	news := located{sign: r.sign, occupant: r.occupant, at: r.at}
	if !p.located.newer(&news) {
		return NoChange{}
	}
	p.located = news
	if till := now.Add(ReportTTL); till.After(p.expires) {
		p.expires = till
	}
	return OccupantObserved{}
}

// newer reports whether later news says something that is not known yet.
func (l *located) newer(news *located) bool {
	if l.sign == news.sign && l.occupant == news.occupant {
		return news.at.After(l.at.Add(locatedAgain))
	}
	return news.at.After(l.at)
}
