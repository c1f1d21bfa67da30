// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/protocol"
)

const (
	// tableAnswers is how many peers with a table have to say that they know no later one. One alone may
	// have missed the last change before the restore.
	tableAnswers = 3
	// maxTableRounds bounds how often tableAnswers peers are asked, because those before had no table or
	// did not answer. A round takes answerTimeout at most, and callers with keys are refused meanwhile.
	maxTableRounds = 4
	// recordsWait is how long a check waits for the records of other entries.
	recordsWait = maxStartWait
	// afterParam is the query parameter of a TableServer with the version that the asking entry has.
	afterParam = "after"
)

// tableCheck finds out from peers whether the table that the platform holds is the latest one. A platform
// that came back from a copy knows what it holds, not what it has lost; so in each era of the platform an
// entry that reads the platform itself asks its peers before it confirms that table. One check runs at a
// time.
type tableCheck struct {
	source *Source
	era    uint64
}

// TableChecked reports whether a table of the platform may be confirmed: peers were asked whether they know
// a later one since the platform was last restored, here or by the followed peer.
func (s *Source) TableChecked() bool {
	era := s.Eras.Latest()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return era == 0 || s.checkedEra >= era
}

// setTableChecked notes that the platform's table may be confirmed in an era.
func (s *Source) setTableChecked(era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.checkedEra = max(s.checkedEra, era)
}

// requireTableCheck starts a check unless there was one in this era or one runs.
func (s *Source) requireTableCheck() {
	if s.TableChecked() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.checking {
		return
	}
	s.checking = true
	go (&tableCheck{source: s, era: s.Eras.Latest()}).run()
}

// run waits for the records of other entries, asks some of them, and makes the confirmed object be read
// again at once.
func (c *tableCheck) run() {
	s := c.source
	records := s.awaitRecords(clock.Now().Add(recordsWait))
	s.checkTable(c.era, records)
	s.mutex.Lock()
	s.checking = false
	s.readSoon = true
	s.notifyLinkChanged()
	s.mutex.Unlock()
}

// checkTable asks peers whether they know a later table than this entry does, until enough have answered,
// and notes that the platform's table may be confirmed in an era. Peers without a table, and processes that
// are gone, know of none.
func (s *Source) checkTable(era uint64, records []protocol.EntryRecord) {
	began, informed := clock.Now(), 0
	peers := s.othersAtRandom(records)
	for round := 0; round < maxTableRounds && informed < tableAnswers && len(peers) > 0 && !s.done.Closed(); round++ {
		n := min(len(peers), tableAnswers)
		answers, silent := s.askForTable(peers[:n])
		informed += answers
		peers = append(peers[n:], silent...) // they may know one
	}
	s.setTableChecked(era)
	s.confirmedSignal.Broadcast()
	event.TableChecked.Log(s.Logger, slog.Uint64("era", era), slog.Uint64("in_force", s.versionInForce()),
		slog.Int("answers", informed), slog.Int64("took_ms", clock.Since(began).Milliseconds()))
}

// awaitRecords returns the records of the entries once there are some of others or it is known that there
// are none, or what is known at a deadline.
func (s *Source) awaitRecords(deadline time.Time) []protocol.EntryRecord {
	t := time.NewTimer(clock.Until(deadline))
	defer t.Stop()
	for {
		changed := s.selector.recordsChanged.Changed()
		records, complete := s.selector.knownRecords()
		if complete || len(s.othersAtRandom(records)) > 0 {
			return records
		}
		select {
		case <-changed:
		case <-t.C:
			return records
		case <-s.done.Done():
			return records
		}
	}
}

// othersAtRandom returns the records of the other entries that accept peers, in random order.
func (s *Source) othersAtRandom(records []protocol.EntryRecord) []protocol.EntryRecord {
	var others []protocol.EntryRecord
	for _, i := range rand.Perm(len(records)) {
		if r := records[i]; r.Name != s.Self.Name && r.PeerAddress != "" {
			others = append(others, r)
		}
	}
	return others
}

// askForTable asks peers at once. It returns, when all have answered or can't be reached, how many have a
// table, and those that did not answer in time.
func (s *Source) askForTable(peers []protocol.EntryRecord) (informed int, silent []protocol.EntryRecord) {
	requests := make([]*tableRequest, 0, len(peers))
	for _, p := range peers {
		q := &tableRequest{source: s, peer: p}
		requests = append(requests, q)
		go q.run()
	}
	for _, q := range requests {
		<-q.done.Done()
		switch {
		case q.informed:
			informed++
		case q.silent:
			silent = append(silent, q.peer)
		}
	}
	return informed, silent
}

// versionInForce returns the version of the table in force here, 0 for none.
func (s *Source) versionInForce() uint64 {
	if s.TableInForce == nil {
		return 0
	}
	version, _ := s.TableInForce()
	return version
}

// latestTable returns the latest table that is known here: its version, and its object if that version is
// later than the given one.
func (s *Source) latestTable(after uint64) (*protocol.TableReport, error) {
	report := protocol.TableReport{}
	if lost := s.lost.current(); lost != nil {
		report = *lost
	}
	if s.TableInForce != nil {
		if version, value := s.TableInForce(); version > report.Version {
			packed, err := new(deltaEncoder).deflate(value)
			if err != nil {
				return nil, err
			}
			report = protocol.TableReport{Version: version, Packed: packed}
		}
	}
	if report.Version <= after {
		report.Packed = nil
	}
	return &report, nil
}

// tableRequest asks one peer for a later table than this entry has. Informed and silent are valid once done is
// closed.
type tableRequest struct {
	source   *Source
	peer     protocol.EntryRecord
	informed bool // the peer has a table
	silent   bool // the peer did not answer in time
	done     lifecycle.Done
}

func (q *tableRequest) run() {
	defer q.done.Close()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	report, err := q.ask(ctx)
	if err != nil {
		var timeout net.Error
		q.silent = errors.As(err, &timeout) && timeout.Timeout()
		event.PeerLeft.Log(q.source.Logger, slog.String("peer", q.peer.Name), slog.String("cause", err.Error()))
		return
	}
	q.informed = report.Version > 0
	if len(report.Packed) > 0 {
		q.source.receiveTable(report, q.peer.Name)
	}
}

// ask returns the latest table that the peer knows, with the object if it is later than the one in force
// here. A peer that refuses, or is of a version that answers only of lost tables and has none, has version 0.
func (q *tableRequest) ask(ctx context.Context) (*protocol.TableReport, error) {
	target := "http://" + q.peer.PeerAddress + TablePath + "?" + afterParam + "=" + strconv.FormatUint(q.source.versionInForce(), 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, err
	}
	req.Header.Set(protocol.KeyHeader, protocol.KeyPrefix+q.peer.Key)
	res, err := q.source.selector.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &protocol.TableReport{}, nil
	}
	b, err := limited.Read(res.Body, protocol.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	return protocol.DecodeTableReport(b)
}
