// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/era"
	transport "pinerun.example/pinerun/transport/relay"
	"pinerun.example/pinerun/transport/watch"
)

const (
	kind  = "tables"
	table = "main"
	// waitTimeout bounds how long a test waits for a condition.
	waitTimeout = 10 * time.Second
)

// receivedState is a watch.Sink that stores what an entry received.
type receivedState struct {
	mutex     sync.Mutex
	objects   map[string]protocol.Object
	confirmed time.Time
	lost      string // table that a peer reported
	version   uint64 // of that table
}

func (r *receivedState) Listed(l protocol.Listing, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.objects = map[string]protocol.Object{}
	for _, o := range l.Objects {
		r.objects[o.Name] = o
	}
}

func (r *receivedState) Changed(c protocol.Change, _ time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.objects == nil {
		r.objects = map[string]protocol.Object{}
	}
	if c.Deleted {
		delete(r.objects, c.Object.Name)
	} else {
		r.objects[c.Object.Name] = c.Object
	}
}

func (r *receivedState) Confirmed(at time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if at.After(r.confirmed) {
		r.confirmed = at
	}
}

func (r *receivedState) Failed(error, time.Time) {} // the store counts the calls

// applyLost stores a table that a peer reported, if it is later than the last one.
func (r *receivedState) applyLost(version uint64, value []byte) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if version <= r.version {
		return false
	}
	r.version, r.lost = version, string(value)
	return true
}

func (r *receivedState) lostTable() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lost
}

func (r *receivedState) value(name string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return string(r.objects[name].Value)
}

func (r *receivedState) confirmedAt() time.Time {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.confirmed
}

// entry is a source with its watcher, its confirmer and its server.
type entry struct {
	client           *platformClient
	source           *transport.Source
	server           *server
	state            *receivedState
	watcher          *watch.Watcher
	confirmer        *watch.Confirmer
	platformFailures chan time.Time
	closed           sync.Once
}

// newEntries starts entries of one data center and returns them in order of rank.
func newEntries(t testing.TB, s *store, n int) []*entry {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("e-", i))
	}
	return newNamed(t, s, names...)
}

// newNamed is newEntries with given names.
func newNamed(t testing.TB, s *store, names ...string) []*entry {
	var all []*entry
	for i, name := range names {
		all = append(all, newEntry(t, s, name, fmt.Sprint("key-", i)))
	}
	return startAll(t, s, all)
}

// newEntriesAcross is newEntries over several data centers.
func newEntriesAcross(t testing.TB, s *store, n, dataCenters int) []*entry {
	var all []*entry
	for i := range n {
		e := newEntry(t, s, fmt.Sprint("e-", i), fmt.Sprint("key-", i))
		e.source.Self.DataCenter = fmt.Sprint("dc-", i%dataCenters)
		all = append(all, e)
	}
	return startAll(t, s, all)
}

// startAll starts entries, waits until all have the same state, and returns them in order of rank.
func startAll(t testing.TB, s *store, all []*entry) []*entry {
	var records []protocol.EntryRecord
	for _, e := range all {
		records = append(records, e.source.Self)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return len(relay.Candidates(a.source.Self, records)) - len(relay.Candidates(b.source.Self, records))
	})
	for i, e := range all {
		time.Sleep(time.Duration(i) * 137 * time.Microsecond) // no two timers are due in the same moment
		e.start(t, records)
	}
	for _, e := range all[1:] {
		require.Eventually(t, e.source.Following, waitTimeout, time.Millisecond, "%s follows", e.client.name)
	}
	// A change ends the watches that are waiting at the platform.
	s.put("settled", "yes")
	for _, e := range all {
		require.Eventually(t, func() bool { return e.state.value("settled") == "yes" }, waitTimeout, time.Millisecond)
	}
	return all
}

// newEntry returns an entry that is not started yet.
func newEntry(t testing.TB, s *store, name, key string) *entry {
	e := &entry{client: &platformClient{store: s, name: name, eras: &era.Tracker{}}, state: &receivedState{}, platformFailures: make(chan time.Time, 1000)}
	e.source = &transport.Source{
		Platform: e.client, Kinds: []string{kind}, ConfirmedKind: kind, ConfirmedName: table, Counters: &metric.Set{}, Dial: s.network.dial, Eras: e.client.eras,
		OnLostTable: e.state.applyLost,
		OnPlatformFailure: func(at time.Time) {
			select {
			case e.platformFailures <- at:
			default:
			}
		},
	}
	routes := http.NewServeMux()
	routes.Handle(transport.Path, &transport.Server{Source: e.source})
	routes.Handle(transport.TablePath, &transport.TableServer{Source: e.source})
	e.server = s.network.serve(name+":1", routes)
	e.source.Self = protocol.EntryRecord{Name: name, DataCenter: "a", Key: key, PeerAddress: name + ":1"}
	e.watcher = &watch.Watcher{Source: e.source, Kind: kind, Sink: e.state}
	e.confirmer = &watch.Confirmer{Source: e.source, Kind: kind, Name: table, Sink: e.state, Watchers: []*watch.Watcher{e.watcher}, Eras: e.client.eras}
	t.Cleanup(e.close)
	return e
}

// start starts an entry, gives it the records of the others, and waits until it has a confirmation.
func (e *entry) start(t testing.TB, records []protocol.EntryRecord) {
	e.source.Start()
	e.source.Learn(records, true)
	e.watcher.Start()
	e.confirmer.Start()
	require.Eventually(t, func() bool { return !e.state.confirmedAt().IsZero() }, waitTimeout, time.Millisecond)
}

// startFollower starts an entry that knows only one other entry and ranks after it.
func startFollower(t testing.TB, s *store, peer *entry) *entry {
	record := peer.source.Self
	e := newEntry(t, s, rankedAfter(record), "third")
	e.start(t, []protocol.EntryRecord{record})
	return e
}

func (e *entry) close() {
	e.closed.Do(func() {
		e.watcher.Close()
		e.confirmer.Close()
		e.source.Close()
		_ = e.server.Close()
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, time.Millisecond, what)
}

// requireConfirmed waits until entries have a value of the table and a confirmation after a time.
func requireConfirmed(t *testing.T, entries []*entry, value string, since time.Time) {
	t.Helper()
	for _, e := range entries {
		eventually(t, "the change arrived", func() bool { return e.state.value(table) == value })
		eventually(t, "the change was confirmed", func() bool { return e.state.confirmedAt().After(since) })
	}
}

// calls returns how often an entry has called the platform.
func (e *entry) calls() int {
	e.client.store.mutex.Lock()
	defer e.client.store.mutex.Unlock()
	return e.client.store.calls[e.client.name]
}

// rankedAfter returns the name of an entry in data center a that ranks after the given records.
func rankedAfter(all ...protocol.EntryRecord) string {
	for i := 0; ; i++ {
		self := protocol.EntryRecord{Name: fmt.Sprint("third-", i), DataCenter: "a"}
		if len(relay.Candidates(self, all)) == len(all) {
			return self.Name
		}
	}
}
