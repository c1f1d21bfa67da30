// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
	transport "pinerun.example/pinerun/transport/relay"
	"pinerun.example/pinerun/transport/watch"
)

const (
	kind  = "tables"
	table = "main"
	// soon bounds how long a test waits for what has to come.
	soon = 10 * time.Second
)

// store is the platform: one kind of objects and its history.
type store struct {
	mutex   sync.Mutex
	objects map[string]protocol.Object
	history []protocol.Change
	at      []uint64
	now     uint64
	oldest  uint64
	changed chan struct{}
	down    bool
	calls   map[string]int
}

func newStore() *store {
	return &store{objects: map[string]protocol.Object{}, changed: make(chan struct{}), calls: map[string]int{}, now: 1}
}

func (s *store) put(name, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.now++
	o := protocol.Object{Kind: kind, Name: name, Version: s.now, Value: []byte(value)}
	s.objects[name] = o
	s.note(protocol.Change{Object: o})
}

func (s *store) remove(name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.now++
	o := s.objects[name]
	delete(s.objects, name)
	s.note(protocol.Change{Object: o, Gone: true})
}

func (s *store) note(c protocol.Change) {
	s.history = append(s.history, c)
	s.at = append(s.at, s.now)
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history.
func (s *store) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.oldest = s.now
	close(s.changed)
	s.changed = make(chan struct{})
}

// outside is the store as one entry reaches it.
type outside struct {
	store *store
	name  string
	mutex sync.Mutex
	cut   bool
	slow  time.Duration
}

var errCut = platform.Unreached(errors.New("cut off"))

func (o *outside) set(cut bool, slow time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.cut, o.slow = cut, slow
}

func (o *outside) call() error {
	o.mutex.Lock()
	cut, slow := o.cut, o.slow
	o.mutex.Unlock()
	time.Sleep(slow)
	o.store.mutex.Lock()
	defer o.store.mutex.Unlock()
	o.store.calls[o.name]++
	if cut || o.store.down {
		return errCut
	}
	return nil
}

func (o *outside) List(context.Context, string) (protocol.Listing, error) {
	if err := o.call(); err != nil {
		return protocol.Listing{}, err
	}
	s := o.store
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := protocol.Listing{At: s.now}
	for _, o := range s.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, nil
}

func (o *outside) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (protocol.Changes, error) {
	if err := o.call(); err != nil {
		return protocol.Changes{}, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	s := o.store
	for {
		s.mutex.Lock()
		c := protocol.Changes{At: s.now}
		for i, h := range s.history {
			if s.at[i] > after {
				c.Changes = append(c.Changes, h)
			}
		}
		forgotten, changed := after < s.oldest, s.changed
		s.mutex.Unlock()
		if forgotten {
			return protocol.Changes{}, &platform.Forgotten{}
		}
		if len(c.Changes) > 0 {
			return c, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return c, nil
		case <-ctx.Done():
			return protocol.Changes{}, ctx.Err()
		}
	}
}

func (o *outside) Get(_ context.Context, _, name string) (protocol.Object, error) {
	if err := o.call(); err != nil {
		return protocol.Object{}, err
	}
	o.store.mutex.Lock()
	defer o.store.mutex.Unlock()
	object, ok := o.store.objects[name]
	if !ok {
		return protocol.Object{}, platform.Missing(kind, name)
	}
	return object, nil
}

// believes is what an entry has heard.
type believes struct {
	mutex     sync.Mutex
	objects   map[string]protocol.Object
	confirmed time.Time
	failed    int
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

func (b *believes) Failed(error, time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failed++
}

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
	server    *httptest.Server
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
	var records []protocol.EntryRecord
	for i, name := range names {
		e := &entry{outside: &outside{store: s, name: name}, believes: &believes{}, outages: make(chan time.Time, 1000)}
		e.source = &transport.Source{
			Platform: e.outside, Kinds: []string{kind}, Kind: kind, Name: table, Counters: &metric.Set{},
			Failed: func(at time.Time) {
				select {
				case e.outages <- at:
				default:
				}
			},
		}
		key := fmt.Sprint("key-", i)
		e.server = httptest.NewServer(&transport.Server{Source: e.source, Key: key})
		e.source.Self = protocol.EntryRecord{
			Name: e.outside.name, DataCenter: "a", Key: key, Peers: strings.TrimPrefix(e.server.URL, "http://"),
		}
		records = append(records, e.source.Self)
		e.watcher = &watch.Watcher{Source: e.source, Kind: kind, Sink: e.believes}
		e.confirmer = &watch.Confirmer{Source: e.source, Kind: kind, Name: table, Sink: e.believes, Watchers: []*watch.Watcher{e.watcher}}
		all = append(all, e)
		t.Cleanup(e.close)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return len(relay.Before(a.source.Self, records)) - len(relay.Before(b.source.Self, records))
	})
	for _, e := range all {
		e.source.Start()
		e.watcher.Start()
		e.confirmer.Start()
		require.Eventually(t, func() bool { return !e.believes.confirmedAt().IsZero() }, soon, time.Millisecond)
		e.source.Learn(records)
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

func (e *entry) close() {
	e.closed.Do(func() {
		e.watcher.Close()
		e.confirmer.Close()
		e.source.Close()
		e.server.CloseClientConnections()
		e.server.Close()
	})
}

func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	require.Eventually(t, met, soon, time.Millisecond, what)
}

// calls returns how often an entry has called the platform.
func (e *entry) calls() int {
	e.outside.store.mutex.Lock()
	defer e.outside.store.mutex.Unlock()
	return e.outside.store.calls[e.outside.name]
}

func TestFollowersHearAndConfirmWithoutCallingThePlatform(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(t, s, 4)
	require.False(t, all[0].source.Following())
	for _, e := range all[1:] {
		began := time.Now()
		eventually(t, "confirmed through the peer", func() bool { return e.believes.confirmedAt().After(began) })
	}
	before := make([]int, len(all))
	for i, e := range all {
		before[i] = e.calls()
	}
	for i := range 20 {
		value := fmt.Sprint("value-", i)
		s.put(table, value)
		s.put(fmt.Sprint("other-", i), value)
		if i > 0 {
			s.remove(fmt.Sprint("other-", i-1))
		}
		for _, e := range all {
			eventually(t, "the news came", func() bool { return e.believes.value(table) == value })
		}
	}
	for i, e := range all[1:] {
		eventually(t, "what went is gone", func() bool { return e.believes.value("other-18") == "" && e.believes.value("other-19") != "" })
		require.Equal(t, before[i+1], e.calls(), "%s called the platform", e.outside.name)
	}
	require.Greater(t, all[0].calls(), before[0])
}

func TestAFollowerThatIsItselfFollowedAsksThePlatform(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(t, s, 2)
	// A third entry knows only the follower.
	record := all[1].source.Self
	third := newNamed(t, s, rankedAfter(record))[0]
	third.source.Learn([]protocol.EntryRecord{record})
	eventually(t, "the third follows", third.source.Following)
	eventually(t, "the followed one follows no more", func() bool { return !all[1].source.Following() })
	s.put(table, "two")
	eventually(t, "the news came", func() bool { return third.believes.value(table) == "two" })
}

// rankedAfter returns a name that ranks after a record's.
func rankedAfter(r protocol.EntryRecord) string {
	for i := 0; ; i++ {
		self := protocol.EntryRecord{Name: fmt.Sprint("third-", i), DataCenter: r.DataCenter}
		if len(relay.Before(self, []protocol.EntryRecord{r})) == 1 {
			return self.Name
		}
	}
}

func TestTheNextPeerIsFollowedWhenOneEnds(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(t, s, 3)
	all[0].close()
	eventually(t, "the last follows the second", func() bool { return all[2].source.Following() && !all[1].source.Following() })
	s.put(table, "two")
	for _, e := range all[1:] {
		eventually(t, "the news came", func() bool { return e.believes.value(table) == "two" })
	}
}

func TestAPeerThatIsCutOffFromThePlatformIsLeft(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(t, s, 2)
	all[0].outside.set(true, 0)
	s.put(table, "two")
	eventually(t, "the follower finds out", func() bool { return all[1].believes.value(table) == "two" })
	eventually(t, "and leaves the peer", func() bool { return !all[1].source.Following() })
	began := time.Now()
	eventually(t, "and confirms by itself", func() bool { return all[1].believes.confirmedAt().After(began) })
}

func TestInAnOutageFollowersStayAndLearnOfIt(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(t, s, 2)
	s.mutex.Lock()
	s.down = true
	s.mutex.Unlock()
	before := all[1].calls()
	select {
	case <-all[1].outages:
	case <-time.After(soon):
		t.Fatal("the follower was not told")
	}
	eventually(t, "it asks the platform itself", func() bool { return all[1].calls() > before })
	require.True(t, all[1].source.Following())
	s.mutex.Lock()
	s.down = false
	s.mutex.Unlock()
	s.put(table, "two")
	eventually(t, "the news came", func() bool { return all[1].believes.value(table) == "two" })
}

// TestInAnOutageNobodyCallsForOthers: in an outage of all, followers look for a peer that
// knows more, and none of those that they ask gives up following for them.
func TestInAnOutageNobodyCallsForOthers(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(t, s, 4)
	s.mutex.Lock()
	s.down = true
	s.mutex.Unlock()
	before := all[3].calls()
	eventually(t, "the last asks the platform, and then its peers", func() bool { return all[3].calls() >= before+2 })
	for _, e := range all[1:] {
		require.True(t, e.source.Following(), "%s went off on its own", e.outside.name)
	}
}

func TestAForgottenHistoryIsMadeGoodForFollowers(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	s.put("goes", "x")
	all := newEntries(t, s, 2)
	before := all[1].calls()
	s.mutex.Lock()
	s.now++
	delete(s.objects, "goes")
	s.oldest = s.now
	s.mutex.Unlock()
	s.forget()
	for _, e := range all {
		eventually(t, "what went is gone", func() bool { return e.believes.value("goes") == "" })
	}
	require.Equal(t, before, all[1].calls())
}

func TestLongValuesComeThroughThePeer(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(t, s, 2)
	before := all[1].calls()
	long := strings.Repeat("xyz", 100<<10)
	s.put(table, long)
	eventually(t, "the news came", func() bool { return all[1].believes.value(table) == long })
	require.Equal(t, before, all[1].calls())
}

// TestWhoCantBeToldListsAndFollowsAgain takes a follower that knows a moment between
// two lists of the entry that it follows.
func TestWhoCantBeToldListsAndFollowsAgain(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(t, s, 2)
	first := all[0].source.Self
	// Another life of the first entry, which lists when the second knows more.
	all[0].close()
	eventually(t, "it asks the platform itself", func() bool { return !all[1].source.Following() })
	next := newNamed(t, s, first.Name)[0]
	all[1].source.Learn([]protocol.EntryRecord{next.source.Self})
	eventually(t, "it follows again", all[1].source.Following)
	for i := range 5 {
		value := fmt.Sprint("later-", i)
		s.put(table, value)
		eventually(t, "the news came", func() bool { return all[1].believes.value(table) == value })
	}
}

func TestWhoDoesNotReachThePlatformTakesNoFollowers(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	all := newEntries(t, s, 3)
	all[0].outside.set(true, 0)
	eventually(t, "the others follow the second", func() bool { return all[2].source.Following() && !all[1].source.Following() })
	s.put(table, "two")
	eventually(t, "the news came", func() bool { return all[2].believes.value(table) == "two" })
}

func TestAWrongKeyIsRefused(t *testing.T) {
	s := newStore()
	s.put(table, "one")
	e := newEntries(t, s, 1)[0]
	res, err := http.Get(e.server.URL + transport.Path)
	require.NoError(t, err)
	defer res.Body.Close()
	require.Equal(t, http.StatusUnauthorized, res.StatusCode)
}

func TestAnUnwrittenObjectConfirmsNothing(t *testing.T) {
	s := newStore()
	source := &transport.Source{Platform: &outside{store: s, name: "e"}, Counters: &metric.Set{}}
	r, err := source.Read(t.Context(), kind, table)
	require.NoError(t, err)
	require.True(t, r.At().IsZero())
}
