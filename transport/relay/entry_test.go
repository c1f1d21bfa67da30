// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	transport "pinerun.example/pinerun/transport/relay"
	"pinerun.example/pinerun/transport/watch"
)

const (
	kind  = "tables"
	table = "main"
	// soon bounds how long a test waits for what has to come.
	soon = 10 * time.Second
)

// believes is what an entry has heard.
type believes struct {
	mutex     sync.Mutex
	objects   map[string]protocol.Object
	confirmed time.Time
}

func (b *believes) Listed(objects []protocol.Object, _ time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.objects = map[string]protocol.Object{}
	for _, o := range objects {
		b.objects[o.Name] = o
	}
}

func (b *believes) Changed(c protocol.Change, _ time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.objects == nil {
		b.objects = map[string]protocol.Object{}
	}
	if c.Gone {
		delete(b.objects, c.Object.Name)
	} else {
		b.objects[c.Object.Name] = c.Object
	}
}

func (b *believes) Confirmed(at time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if at.After(b.confirmed) {
		b.confirmed = at
	}
}

func (b *believes) Failed(error, time.Time) {} // the store counts the calls

func (b *believes) value(name string) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return string(b.objects[name].Value)
}

func (b *believes) confirmedAt() time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.confirmed
}

// entry is a source with its watcher, its confirmer and its server.
type entry struct {
	outside   *outside
	source    *transport.Source
	server    *server
	believes  *believes
	watcher   *watch.Watcher
	confirmer *watch.Confirmer
	outages   chan time.Time
	closed    sync.Once
}

// newEntries starts entries of one data center, the first to be followed first.
func newEntries(t testing.TB, s *store, n int) []*entry {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("e-", i))
	}
	return newNamed(t, s, names...)
}

// newNamed is newEntries with names.
func newNamed(t testing.TB, s *store, names ...string) []*entry {
	var all []*entry
	for i, name := range names {
		all = append(all, newEntry(t, s, name, fmt.Sprint("key-", i)))
	}
	return startAll(t, s, all)
}

// newSpread is newEntries over so many data centers.
func newSpread(t testing.TB, s *store, n, centers int) []*entry {
	var all []*entry
	for i := range n {
		e := newEntry(t, s, fmt.Sprint("e-", i), fmt.Sprint("key-", i))
		e.source.Self.DataCenter = fmt.Sprint("dc-", i%centers)
		all = append(all, e)
	}
	return startAll(t, s, all)
}

// startAll starts entries, the first to be followed first, and waits until all hear the same.
func startAll(t testing.TB, s *store, all []*entry) []*entry {
	var records []protocol.EntryRecord
	for _, e := range all {
		records = append(records, e.source.Self)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return len(relay.Candidates(a.source.Self, records)) - len(relay.Candidates(b.source.Self, records))
	})
	for _, e := range all {
		e.start(t, records)
	}
	for _, e := range all[1:] {
		require.Eventually(t, e.source.Following, soon, time.Millisecond, "%s follows", e.outside.name)
	}
	// News end the watches that were waiting at the platform.
	s.put("settled", "yes")
	for _, e := range all {
		require.Eventually(t, func() bool { return e.believes.value("settled") == "yes" }, soon, time.Millisecond)
	}
	return all
}

// newEntry makes an entry that is not started yet.
func newEntry(t testing.TB, s *store, name, key string) *entry {
	e := &entry{outside: &outside{store: s, name: name}, believes: &believes{}, outages: make(chan time.Time, 1000)}
	e.source = &transport.Source{
		Platform: e.outside, Kinds: []string{kind}, ConfirmedKind: kind, ConfirmedName: table, Counters: &metric.Set{}, Dial: s.network.dial,
		OnPlatformFailure: func(at time.Time) {
			select {
			case e.outages <- at:
			default:
			}
		},
	}
	e.server = s.network.serve(name+":1", &transport.Server{Source: e.source})
	e.source.Self = protocol.EntryRecord{Name: name, DataCenter: "a", Key: key, Peers: name + ":1"}
	e.watcher = &watch.Watcher{Source: e.source, Kind: kind, Sink: e.believes}
	e.confirmer = &watch.Confirmer{Source: e.source, Kind: kind, Name: table, Sink: e.believes, Watchers: []*watch.Watcher{e.watcher}}
	t.Cleanup(e.close)
	return e
}

// start starts an entry, tells it of the others, and waits until it has confirmed.
func (e *entry) start(t testing.TB, records []protocol.EntryRecord) {
	e.source.Start()
	e.source.Learn(records, true)
	e.watcher.Start()
	e.confirmer.Start()
	require.Eventually(t, func() bool { return !e.believes.confirmedAt().IsZero() }, soon, time.Millisecond)
}

// follow starts an entry that knows only of one other, and ranks after it.
func follow(t testing.TB, s *store, peer *entry) *entry {
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

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	require.Eventually(t, met, soon, time.Millisecond, what)
}

// allHear waits until entries hear a value of the table and have it confirmed as of after a time.
func allHear(t *testing.T, all []*entry, value string, began time.Time) {
	t.Helper()
	for _, e := range all {
		eventually(t, "the news came", func() bool { return e.believes.value(table) == value })
		eventually(t, "and was confirmed", func() bool { return e.believes.confirmedAt().After(began) })
	}
}

// calls returns how often an entry has called the platform.
func (e *entry) calls() int {
	e.outside.store.mutex.Lock()
	defer e.outside.store.mutex.Unlock()
	return e.outside.store.calls[e.outside.name]
}

// rankedAfter returns a name that ranks after those of records, of data center a.
func rankedAfter(all ...protocol.EntryRecord) string {
	for i := 0; ; i++ {
		self := protocol.EntryRecord{Name: fmt.Sprint("third-", i), DataCenter: "a"}
		if len(relay.Candidates(self, all)) == len(all) {
			return self.Name
		}
	}
}
