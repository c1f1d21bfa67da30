// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"crypto/subtle"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
)

// TablePath is the HTTP path of a TableServer.
const TablePath = "/relay/table"

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

// TableServer answers an entry that asks for the latest table that is known here. It does not wait for its
// own start, since the whole fleet may be starting. The answer is about this entry's table, whatever it knows
// of restores: the entry that asks compares.
type TableServer struct{ Source *Source }

// ServeHTTP answers 200 with a protocol.TableReport: the latest version known here, 0 for none, and its
// object if that is later than the version in the query. An entry of an earlier version sends none, and gets
// 204 unless the platform has lost a table.
func (s *TableServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(protocol.KeyHeader)), []byte(protocol.KeyPrefix+s.Source.key())) != 1 {
		http.Error(w, "not the key of this entry's record; read the record anew", http.StatusUnauthorized)
		return
	}
	err := s.answer(w, r.URL.Query())
	if err != nil {
		event.FrameBroken.Log(s.Source.Logger, slog.String("peer", r.RemoteAddr), slog.String("cause", err.Error()))
	}
}

func (s *TableServer) answer(w http.ResponseWriter, query url.Values) error {
	report := s.Source.lost.current()
	if query.Has(afterParam) {
		after, err := strconv.ParseUint(query.Get(afterParam), 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return err
		}
		if report, err = s.Source.latestTable(after); err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return err
		}
	}
	if report == nil {
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
	b, err := protocol.EncodeTableReport(report)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}
