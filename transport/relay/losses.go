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

// reportWriteTimeout bounds the writing of reports to the followed peer.
const reportWriteTimeout = time.Second

// lossReports holds the reports of lost endpoints that this entry made or received. They are passed
// on along the relay tree, to the followed peer and to the followers, but not back to the peer that
// sent them. Each report that changes something is sent once. The zero value is empty.
type lossReports struct {
	mutex   sync.Mutex
	tracker loss.Tracker
	log     reportLog
}

// ReportLoss passes on what this entry observed of an endpoint.
func (s *Source) ReportLoss(endpoint string, observation protocol.LossObservation, at time.Time) {
	s.applyLoss(loss.NewReport(endpoint, s.Self.Name, observation, at).WithIncarnation(s.incarnationOf(endpoint)), "")
}

// ReportAddressOwner passes on which process answers at an endpoint's address. The owner is "" for a
// process that does not hold the layers of the endpoint's record.
func (s *Source) ReportAddressOwner(endpoint, owner string, at time.Time) {
	observation := protocol.LossMismatch
	if owner == endpoint {
		observation = protocol.LossAnswered
	}
	s.applyLoss(loss.NewReport(endpoint, s.Self.Name, observation, at).WithIncarnation(s.incarnationOf(endpoint)).WithAddressOwner(owner), "")
}

// incarnationOf returns the incarnation of an endpoint that this entry knows, 0 for none.
func (s *Source) incarnationOf(endpoint string) protocol.Incarnation {
	if s.Incarnation == nil {
		return 0
	}
	return s.Incarnation(endpoint)
}

// applyLoss applies a report and passes it on if it changes anything.
func (s *Source) applyLoss(r loss.Report, from string) {
	endpoints := 0
	if s.EndpointCount != nil {
		endpoints = s.EndpointCount()
	}
	now := clock.Now()
	if r.Observation() == protocol.LossRefused {
		s.quarantine.RecordCrash(r.Endpoint(), r.Incarnation(), r.At())
	}
	change := s.losses.apply(r, from, endpoints, now)
	if _, nothing := change.(loss.NoChange); nothing || s.OnLossChange == nil {
		return
	}
	s.OnLossChange(r, change)
}

// receiveLosses applies the reports that a peer sent.
func (s *Source) receiveLosses(messages []protocol.LossReport, from string) {
	now := clock.Now()
	for _, m := range messages {
		at := now.Add(-time.Duration(m.AgoMS * float64(time.Millisecond)))
		s.applyLoss(loss.NewReport(m.Endpoint, m.Observer, m.Observation, at).WithIncarnation(m.Incarnation).WithAddressOwner(m.AddressOwner), from)
	}
}

// apply applies a report, and keeps it to be passed on if it changes something.
func (l *lossReports) apply(r loss.Report, from string, endpoints int, now time.Time) loss.Change {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change := l.tracker.Apply(r, endpoints, now)
	if _, nothing := change.(loss.NoChange); nothing {
		return change
	}
	l.log.add(r, from, now.Add(-loss.ReportTTL), 0)
	return change
}

// since returns the reports after a number that must be sent to a peer, and the number of the last
// report.
func (l *lossReports) since(number uint64, peer string, now time.Time) ([]protocol.LossReport, uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	reports, last := l.log.since(number, peer, now.Add(-loss.ReportTTL))
	var messages []protocol.LossReport
	for _, logged := range reports {
		r := logged.(loss.Report)
		messages = append(messages, protocol.LossReport{
			Endpoint: r.Endpoint(), Incarnation: r.Incarnation(), Observer: r.Observer(), Observation: r.Observation(),
			AgoMS: max(0, milliseconds(now.Sub(r.At()))), AddressOwner: r.AddressOwner(),
		})
	}
	return messages, last
}

// upstreamReporter sends new reports to the followed peer. Its fields are the numbers of the last
// reports that were sent.
type upstreamReporter struct {
	link         *link
	lossesSent   uint64
	slownessSent uint64
	workSent     uint64
	ratesSent    uint64
	lostSent     uint64 // version of the lost table that was last sent
}

func (u *upstreamReporter) run() {
	l := u.link
	ctx, cancel := l.done.Context()
	defer cancel()
	for {
		losses := l.source.losses.log.changed.Changed()
		slowness := l.source.slowness.log.changed.Changed()
		work := l.source.quarantine.log.changed.Changed()
		rates := l.source.rateLimits.log.changed.Changed()
		lost := l.source.lost.changed.Changed()
		if err := u.send(ctx); err != nil {
			l.fail(err)
			return
		}
		select {
		case <-losses:
		case <-slowness:
		case <-work:
		case <-rates:
		case <-lost:
		case <-l.done.Done():
			return
		}
	}
}

// send writes the reports that the peer does not have yet.
func (u *upstreamReporter) send(ctx context.Context) error {
	var losses []protocol.LossReport
	losses, u.lossesSent = u.link.source.losses.since(u.lossesSent, u.link.peer.Name, clock.Now())
	var slow []protocol.SlownessReport
	slow, u.slownessSent = u.link.source.slowness.since(u.slownessSent, u.link.peer.Name, clock.Now())
	var work []protocol.WorkReport
	work, u.workSent = u.link.source.quarantine.messagesFor(u.workSent, u.link.peer.Name, clock.Now())
	var rates []protocol.RateReport
	rates, u.ratesSent = u.link.source.rateLimits.ReportsSince(u.ratesSent, u.link.peer.Name, clock.Now())
	var lost *protocol.TableReport
	if u.link.form.HasEras() {
		if lost = u.link.source.lost.since(u.lostSent); lost != nil {
			u.lostSent = lost.Version
		}
	}
	if len(losses) == 0 && len(slow) == 0 && len(work) == 0 && len(rates) == 0 && lost == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportWriteTimeout)
	defer cancel()
	return write(ctx, u.link.socket, u.link.form, &protocol.RelayRequest{Losses: losses, Slow: slow, Work: work, Rates: rates, LostTable: lost})
}
