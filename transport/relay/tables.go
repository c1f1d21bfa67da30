// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/protocol"
)

const (
	// TablePath is the HTTP path of a TableServer.
	TablePath = "/relay/table"
	// askedPeers is how many peers an entry asks at its start for a table that the platform lost. Any
	// entry that ran during the restore knows it, and so does one that was told.
	askedPeers = 3
)

// lostTable is the latest known table that the platform does not hold: it came back from a copy that
// lacks it. The zero value holds none.
type lostTable struct {
	mutex   sync.Mutex
	report  *protocol.TableReport
	changed lifecycle.Signal
}

// offer keeps a report if its table is later than the one that is kept.
func (t *lostTable) offer(r *protocol.TableReport) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.report != nil && t.report.Version >= r.Version {
		return
	}
	t.report = r
	t.changed.Broadcast()
}

// withdraw drops the report of a table that is no later than a version.
func (t *lostTable) withdraw(version uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.report != nil && t.report.Version <= version {
		t.report = nil
	}
}

// current returns the report, nil for none.
func (t *lostTable) current() *protocol.TableReport {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.report
}

// holds reports whether a table no earlier than a version is kept.
func (t *lostTable) holds(version uint64) bool {
	r := t.current()
	return r != nil && r.Version >= version
}

// since returns the report of a later table than a version, nil for none.
func (t *lostTable) since(version uint64) *protocol.TableReport {
	if r := t.current(); r != nil && r.Version > version {
		return r
	}
	return nil
}

// ReportTable passes on a table that the platform has lost, as the platform stored it. Versions are the
// operator's: a higher one is the later table.
func (s *Source) ReportTable(version uint64, value []byte) {
	if s.lost.holds(version) {
		return
	}
	packed, err := new(deltaEncoder).deflate(value)
	if err != nil {
		event.FrameBroken.Log(s.Logger, slog.String("peer", s.Self.Name), slog.String("cause", err.Error()))
		return
	}
	s.lost.offer(&protocol.TableReport{Version: version, Packed: packed})
}

// WithdrawTable ends the report of a table, because the platform holds it again or a later version.
func (s *Source) WithdrawTable(version uint64) { s.lost.withdraw(version) }

// receiveTable handles a report of a peer.
func (s *Source) receiveTable(r *protocol.TableReport, from string) {
	if r == nil || s.OnLostTable == nil {
		return
	}
	if s.lost.holds(r.Version) {
		return
	}
	value, err := decompress(r.Packed)
	if err != nil {
		event.FrameBroken.Log(s.Logger, slog.String("peer", from), slog.String("cause", err.Error()))
		return
	}
	if s.OnLostTable(r.Version, value) {
		s.lost.offer(r)
	}
}

// TableServer answers a starting entry that asks for a table that the platform lost. It does not wait
// for its own start, since the whole fleet may be starting.
type TableServer struct{ Source *Source }

// ServeHTTP answers 200 with the report, or 204 without one.
func (s *TableServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(protocol.KeyHeader)), []byte(protocol.KeyPrefix+s.Source.key())) != 1 {
		http.Error(w, "not the key of this entry's record; read the record anew", http.StatusUnauthorized)
		return
	}
	report := s.Source.lost.current()
	if report == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	b, err := protocol.EncodeTableReport(report)
	if err == nil {
		_, err = w.Write(b)
	}
	if err != nil {
		event.FrameBroken.Log(s.Source.Logger, slog.String("peer", r.RemoteAddr), slog.String("cause", err.Error()))
	}
}

// tableRequest asks one peer for a table that the platform lost.
type tableRequest struct {
	source *Source
	peer   protocol.EntryRecord
	done   lifecycle.Done
}

func (q *tableRequest) run() {
	defer q.done.Close()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	report, err := q.ask(ctx)
	if err != nil {
		event.PeerLeft.Log(q.source.Logger, slog.String("peer", q.peer.Name), slog.String("cause", err.Error()))
		return
	}
	q.source.receiveTable(report, q.peer.Name)
}

// ask returns the peer's report, nil for none. A peer that does not know or refuses has none.
func (q *tableRequest) ask(ctx context.Context) (*protocol.TableReport, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+q.peer.PeerAddress+TablePath, http.NoBody)
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
		return nil, nil
	}
	b, err := limited.Read(res.Body, protocol.MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	return protocol.DecodeTableReport(b)
}

// askForLostTable asks some peers at once, and returns when all have answered or can't be reached. An
// entry that starts and follows no peer would otherwise confirm what the platform came back with.
func (s *Source) askForLostTable(records []protocol.EntryRecord) {
	if s.Eras.Latest() == 0 {
		return
	}
	var requests []*tableRequest
	for _, i := range rand.Perm(len(records)) {
		if r := records[i]; r.Name != s.Self.Name && r.PeerAddress != "" && len(requests) < askedPeers {
			q := &tableRequest{source: s, peer: r}
			requests = append(requests, q)
			go q.run()
		}
	}
	for _, q := range requests {
		<-q.done.Done()
	}
}
