// SPDX-License-Identifier: Apache-2.0

package reach

import (
	"math/rand/v2"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// cutOffRest is how long an entry that is cut off itself is not asked again, and how long its data
	// center is asked last.
	cutOffRest = 500 * time.Millisecond
	// busyRest is how long an entry without room is not asked again.
	busyRest = 200 * time.Millisecond
	// minFailureRest and maxFailureRest bound how long an entry is not asked again that did not answer.
	// The time doubles with each failure in a row.
	minFailureRest = time.Second
	maxFailureRest = 16 * time.Second
	// failureRetry is how long after a failure an entry is asked again all the same if no other is left. It
	// may be the only one that reaches endpoints.
	failureRetry = 100 * time.Millisecond
	// unsupportedRest is how long an entry of a version without tunnels is not asked again. It may be
	// restarted with a later one.
	unsupportedRest = 10 * time.Second
	// openedAge is for how long an entry that opened a tunnel is recommended to others.
	openedAge = 2 * time.Second
)

// PeerResult is what came of asking another entry for a tunnel.
type PeerResult uint8

// PeerAnswered means that it answered with an outcome. PeerFailed means that it did not answer.
// PeerUnsupported means that its version knows no tunnels.
const (
	PeerAnswered PeerResult = iota
	PeerFailed
	PeerUnsupported
)

// Peers chooses the entries to ask for tunnels. The zero value knows none.
type Peers struct {
	records     []protocol.EntryRecord
	rests       map[string]peerRest  // by the entry's name
	dataCenters map[string]time.Time // until when entries of a data center are asked last
	opened      string               // entry that opened a tunnel last
	openedAt    time.Time
}

// peerRest says until when an entry is not asked, and how often in a row it failed.
type peerRest struct {
	until    time.Time
	failures int
	failedAt time.Time // when it last did not answer, zero if it answered since
}

// PeerQuery holds what the choice of an entry depends on.
type PeerQuery struct {
	Now                time.Time
	DataCenter         string // of the entry that asks
	EndpointDataCenter string // "" if it is unknown
	Tried              map[string]bool
	Recommended        string // by an entry that is cut off itself, "" for none
	// Asked are the data centers of entries that were asked already. Those elsewhere are asked first:
	// they may have another path.
	Asked map[string]bool
	Rand  *rand.Rand
}

// Set sets the entries that may be asked: all but the own one.
func (p *Peers) Set(records []protocol.EntryRecord) {
	p.records = records
	for name := range p.rests {
		if p.find(name) == nil {
			delete(p.rests, name)
		}
	}
}

// Known returns how many entries may be asked.
func (p *Peers) Known() int { return len(p.records) }

// Opened returns the name of an entry that recently opened a tunnel, "" for none.
func (p *Peers) Opened(now time.Time) string {
	if now.Sub(p.openedAt) > openedAge {
		return ""
	}
	return p.opened
}

// Next returns the entry to ask next: the recommended one, or one near the endpoint, which is most likely to
// reach it. Among equals the choice is random, so that many entries without a path spread their requests.
func (p *Peers) Next(q *PeerQuery) (protocol.EntryRecord, bool) {
	if r := p.find(q.Recommended); r != nil && p.mayAsk(r, q) {
		return *r, true
	}
	var best *protocol.EntryRecord
	bestRank, equals := 0, 0
	for i := range p.records {
		r := &p.records[i]
		if !p.mayAsk(r, q) {
			continue
		}
		rank := p.rank(r, q)
		switch {
		case best == nil || rank < bestRank:
			best, bestRank, equals = r, rank, 1
		case rank == bestRank:
			equals++
			if q.Rand.IntN(equals) == 0 {
				best = r
			}
		}
	}
	if best == nil {
		best = p.lastResort(q)
	}
	if best == nil {
		return protocol.EntryRecord{}, false
	}
	return *best, true
}

// lastResort returns the entry that has not failed for longest among those that did, nil if there is none or
// it failed a moment ago.
func (p *Peers) lastResort(q *PeerQuery) *protocol.EntryRecord {
	var best *protocol.EntryRecord
	var failedAt time.Time
	for i := range p.records {
		r := &p.records[i]
		rest, resting := p.rests[r.Name]
		if !resting || rest.failedAt.IsZero() || q.Tried[r.Name] || q.Now.Sub(rest.failedAt) < failureRetry {
			continue
		}
		if best == nil || rest.failedAt.Before(failedAt) {
			best, failedAt = r, rest.failedAt
		}
	}
	return best
}

func (p *Peers) find(name string) *protocol.EntryRecord {
	for i := range p.records {
		if name != "" && p.records[i].Name == name {
			return &p.records[i]
		}
	}
	return nil
}

func (p *Peers) mayAsk(r *protocol.EntryRecord, q *PeerQuery) bool {
	return !q.Tried[r.Name] && !q.Now.Before(p.rests[r.Name].until)
}

// rank returns the rank of an entry, the first one 0.
func (p *Peers) rank(r *protocol.EntryRecord, q *PeerQuery) int {
	const ranks = 3
	rank := ranks - 1
	switch r.DataCenter {
	case q.EndpointDataCenter:
		rank = 0
	case q.DataCenter:
		rank = 1
	}
	if q.Asked[r.DataCenter] || q.Now.Before(p.dataCenters[r.DataCenter]) {
		rank += ranks
	}
	return rank
}

// Record records what came of asking an entry. The outcome counts only if it answered.
func (p *Peers) Record(r *protocol.EntryRecord, result PeerResult, outcome protocol.TunnelOutcome, now time.Time) {
	if p.rests == nil {
		p.rests, p.dataCenters = make(map[string]peerRest), make(map[string]time.Time)
	}
	switch {
	case result == PeerUnsupported:
		p.rests[r.Name] = peerRest{until: now.Add(unsupportedRest)}
	case result == PeerFailed:
		failures := p.rests[r.Name].failures
		p.rests[r.Name] = peerRest{until: now.Add(min(maxFailureRest, minFailureRest<<min(failures, 10))), failures: failures + 1, failedAt: now}
	case outcome == protocol.TunnelCutOff:
		p.rests[r.Name] = peerRest{until: now.Add(cutOffRest)}
		p.dataCenters[r.DataCenter] = now.Add(cutOffRest)
	case outcome == protocol.TunnelBusy, outcome == protocol.TunnelNotServed:
		p.rests[r.Name] = peerRest{until: now.Add(busyRest)}
	default:
		delete(p.rests, r.Name)
		delete(p.dataCenters, r.DataCenter)
		if outcome == protocol.TunnelOpen {
			p.opened, p.openedAt = r.Name, now
		}
	}
}
