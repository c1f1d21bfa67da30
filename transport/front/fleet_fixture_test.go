// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/state/era"
	"pinerun.example/pinerun/transport/platform"
	transport "pinerun.example/pinerun/transport/relay"
)

const (
	// storeCallTimeout is how long a call of a store that does not answer takes.
	storeCallTimeout = 1500 * time.Millisecond
	// storeCallTime is how long a call of a healthy store takes.
	storeCallTime = 4 * time.Millisecond
)

// access is how the store treats the calls of one entry.
type access uint8

const (
	accepts access = iota
	rejects        // calls fail at once, also those that wait
	hangs          // calls are not answered, also those that wait
)

// sharedStore is a store with the routing table and the endpoints' records.
type sharedStore struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]protocol.Object // by kind and name
	history  []protocol.Change          // each with its revision as the object's version
	changed  chan struct{}              // closed at each change, also of an access
	down     bool                       // rejects the calls of all entries
	era      uint64
}

func newSharedStore() *sharedStore {
	return &sharedStore{revision: 1, era: 1, objects: make(map[string]protocol.Object), changed: make(chan struct{})}
}

// notify wakes the waiting watches. The caller holds the mutex.
func (s *sharedStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *sharedStore) put(kind, name, value string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	o := protocol.Object{Kind: kind, Name: name, Version: protocol.Revision{Era: s.era, Number: s.revision}, Value: []byte(value)}
	s.objects[kind+"/"+name] = o
	s.history = append(s.history, protocol.Change{Object: o})
	s.notify()
}

// removeEndpoint removes the record of an endpoint.
func (s *sharedStore) removeEndpoint(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	o := s.objects["servers/"+id]
	o.Version.Number = s.revision
	delete(s.objects, "servers/"+id)
	s.history = append(s.history, protocol.Change{Object: o, Deleted: true})
	s.notify()
}

// storeCopy is the content of the store at a moment.
type storeCopy struct {
	revision uint64
	objects  map[string]protocol.Object
}

// copied returns a copy to restore later.
func (s *sharedStore) copied() storeCopy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return storeCopy{revision: s.revision, objects: maps.Clone(s.objects)}
}

// restore makes the store come back from a copy, in the next era and without a history.
func (s *sharedStore) restore(c storeCopy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.revision, s.objects, s.history, s.down = c.revision, maps.Clone(c.objects), nil, false
	for name, o := range s.objects {
		o.Version.Era = s.era
		s.objects[name] = o
	}
	s.notify()
}

func (s *sharedStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.notify()
}

// storeClient is the store as one entry reaches it.
type storeClient struct {
	Objects // panics for what the tests do not use
	store   *sharedStore
	eras    *era.Tracker
	access  access // guarded by the store's mutex
}

// setAccess changes how the store treats the entry.
func (c *storeClient) setAccess(a access) {
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	c.access = a
	c.store.notify()
}

// admit waits as long as a call takes, and returns its error.
func (c *storeClient) admit(ctx context.Context) error {
	if err := sleep(ctx, storeCallTime); err != nil {
		return err
	}
	return c.check(ctx)
}

// check returns the error of a call as the store treats the entry now.
func (c *storeClient) check(ctx context.Context) error {
	c.store.mutex.Lock()
	a, down := c.access, c.store.down
	c.store.mutex.Unlock()
	switch {
	case a == hangs:
		if err := sleep(ctx, storeCallTimeout); err != nil {
			return err
		}
		return platform.NewUnavailable(context.DeadlineExceeded)
	case a == rejects || down:
		return platform.NewUnavailable(errors.New("503"))
	}
	c.store.mutex.Lock()
	current := c.store.era
	c.store.mutex.Unlock()
	c.eras.Observe(current)
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *storeClient) List(ctx context.Context, kind string) (protocol.Listing, error) {
	if err := c.admit(ctx); err != nil {
		return protocol.Listing{}, err
	}
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	l := protocol.Listing{Revision: protocol.Revision{Era: c.store.era, Number: c.store.revision}}
	for _, o := range c.store.objects {
		if o.Kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	return l, nil
}

func (c *storeClient) Get(ctx context.Context, kind, name string) (protocol.Object, error) {
	if err := c.admit(ctx); err != nil {
		return protocol.Object{}, err
	}
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	o, ok := c.store.objects[kind+"/"+name]
	if !ok {
		return protocol.Object{}, platform.NewNotFound(kind, name)
	}
	return o, nil
}

func (c *storeClient) Watch(ctx context.Context, kind string, after protocol.Revision, wait time.Duration) (protocol.Changes, error) {
	if err := c.admit(ctx); err != nil {
		return protocol.Changes{}, err
	}
	end := time.Now().Add(wait)
	for {
		s := c.store
		s.mutex.Lock()
		if after.Era != s.era {
			s.mutex.Unlock()
			return protocol.Changes{}, &platform.Compacted{}
		}
		changed := s.changed
		r := protocol.Changes{Revision: protocol.Revision{Era: s.era, Number: s.revision}}
		for _, h := range s.history {
			if h.Object.Kind == kind && h.Object.Version.Number > after.Number {
				r.Changes = append(r.Changes, h)
			}
		}
		s.mutex.Unlock()
		if err := c.check(ctx); err != nil {
			return protocol.Changes{}, err
		}
		if len(r.Changes) > 0 || !time.Now().Before(end) {
			return r, nil
		}
		t := time.NewTimer(time.Until(end))
		select {
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		if err := ctx.Err(); err != nil {
			return protocol.Changes{}, err
		}
	}
}

// peerNetwork connects entries within the process.
type peerNetwork struct {
	mutex   sync.Mutex
	entries map[string]*fleetEntry // by address
}

// heldConn is one end of a connection that passes nothing on while its entry stands still.
type heldConn struct {
	net.Conn
	entry *fleetEntry
}

// Read reads once the entry goes on.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.entry.awaitMoving()
	return n, err
}

// Write writes once the entry goes on.
func (c *heldConn) Write(b []byte) (int, error) {
	c.entry.awaitMoving()
	return c.Conn.Write(b)
}

func (n *peerNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	e := n.entries[address]
	n.mutex.Unlock()
	if e == nil {
		return nil, errors.New("no listener at " + address)
	}
	client, server := net.Pipe()
	held := &heldConn{Conn: server, entry: e}
	select {
	case e.incoming <- held:
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.conns = append(e.conns, held)
		return client, nil
	case <-e.closed:
		return nil, errors.New("connection refused by " + address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fleetEntry is one entry with the parts that learn of endpoints.
type fleetEntry struct {
	*Front
	client *storeClient

	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
	mutex    sync.Mutex
	conns    []net.Conn
	moving   chan struct{} // closed unless the entry stands still
}

// Accept, Close and Addr make the entry the listener of its server.
func (e *fleetEntry) Accept() (net.Conn, error) {
	select {
	case c := <-e.incoming:
		return c, nil
	case <-e.closed:
		return nil, net.ErrClosed
	}
}

// Close ends nothing: kill does.
func (e *fleetEntry) Close() error   { return nil }
func (e *fleetEntry) Addr() net.Addr { return &net.TCPAddr{} }

// awaitMoving waits until the entry does not stand still.
func (e *fleetEntry) awaitMoving() {
	e.mutex.Lock()
	moving := e.moving
	e.mutex.Unlock()
	select {
	case <-moving:
	case <-e.closed:
	}
}

// standStill stops what the entry sends, and its calls of the store. goOn ends that.
func (e *fleetEntry) standStill() {
	e.mutex.Lock()
	e.moving = make(chan struct{})
	e.mutex.Unlock()
	e.client.setAccess(hangs)
}

func (e *fleetEntry) goOn() {
	e.client.setAccess(accepts)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	close(e.moving)
}

// resetFollowers closes the connections of the entry's followers.
func (e *fleetEntry) resetFollowers() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.conns = nil
}

// kill ends the entry and its connections.
func (e *fleetEntry) kill() {
	e.once.Do(func() {
		close(e.closed)
		for _, w := range e.watchers {
			w.Close()
		}
		e.confirmer.Close()
		e.source.Close()
		e.done.Close()
		e.resetFollowers()
	})
}

// cutOff ends an entry, and leaves connects to its address without an answer.
func (f *entryFleet) cutOff(t *testing.T, e *fleetEntry) {
	e.kill()
	nobody := &fleetEntry{incoming: make(chan net.Conn), closed: make(chan struct{})}
	t.Cleanup(func() { close(nobody.closed) })
	f.network.mutex.Lock()
	defer f.network.mutex.Unlock()
	f.network.entries[e.source.Self.PeerAddress] = nobody
}

// run drops vanished endpoints as the entry does.
func (e *fleetEntry) run() {
	sweeps := time.NewTicker(sweepInterval)
	defer sweeps.Stop()
	for {
		select {
		case <-sweeps.C:
			e.awaitMoving()
			e.dropVanished(time.Now())
		case <-e.closed:
			return
		}
	}
}

// uses reports whether the entry uses an endpoint.
func (e *fleetEntry) uses(id string) bool {
	return slices.ContainsFunc(e.endpoints.Endpoints(), func(p protocol.Endpoint) bool { return p.ID == id })
}

// usable reports whether new requests may be sent to an endpoint.
func (e *fleetEntry) usable(id string) bool {
	r := e.endpoints.View().Runner(id)
	return r != nil && r.Usable(time.Now())
}

// recordDecoder decodes endpoint records whose value is their state, and tables whose version is the length
// of their value.
type recordDecoder struct{ fixedDecoder }

func (d recordDecoder) Routing(o protocol.Object) (protocol.Routing, error) {
	r, err := d.fixedDecoder.Routing(o)
	r.Version = uint64(len(o.Value))
	return r, err
}

func (recordDecoder) Endpoint(o protocol.Object) (protocol.Endpoint, error) {
	return protocol.Endpoint{ID: o.Name, Service: "plain", Address: o.Name, Leaving: string(o.Value) == "draining"}, nil
}

// entryFleet is entries that follow each other before one store.
type entryFleet struct {
	store   *sharedStore
	network peerNetwork
	entries []*fleetEntry // the one that calls the store for all is the first
}

// newEntryFleet starts entries in data centers before a store with three endpoints, and waits until all follow.
func newEntryFleet(t *testing.T, n, dataCenters int) *entryFleet {
	f := &entryFleet{store: newSharedStore(), network: peerNetwork{entries: make(map[string]*fleetEntry)}}
	f.store.put("config", "main", "1")
	for i := range 3 {
		f.store.put("servers", fmt.Sprint("p-", i), "ready")
	}
	for i := range n {
		f.entries = append(f.entries, f.newEntry(fmt.Sprint("e-", i), fmt.Sprint("dc-", i%dataCenters)))
	}
	var records []protocol.EntryRecord
	for _, e := range f.entries {
		records = append(records, e.source.Self)
	}
	slices.SortFunc(f.entries, func(a, b *fleetEntry) int {
		return len(relay.Candidates(a.source.Self, records)) - len(relay.Candidates(b.source.Self, records))
	})
	for _, e := range f.entries {
		e.start(records)
		time.Sleep(1370 * time.Microsecond) // no two tickers fire in the same moment
		t.Cleanup(e.kill)
	}
	time.Sleep(5 * time.Second)
	for _, e := range f.entries[1:] {
		require.True(t, e.source.Following())
	}
	return f
}

// start starts an entry that knows the records of all.
func (e *fleetEntry) start(records []protocol.EntryRecord) {
	e.source.Start()
	e.source.Learn(records, true)
	for _, w := range e.watchers {
		w.Start()
	}
	e.confirmer.Start()
	go e.run()
}

// newEntry returns an entry that is not started yet.
func (f *entryFleet) newEntry(name, dataCenter string) *fleetEntry {
	client := &storeClient{store: f.store, eras: &era.Tracker{}}
	e := &fleetEntry{client: client, incoming: make(chan net.Conn), closed: make(chan struct{}), moving: make(chan struct{})}
	close(e.moving)
	e.Front = &Front{
		Settings: settings.Front{Name: name, DataCenter: dataCenter}, Counters: &metric.Set{},
		Dependencies: Dependencies{
			Objects: e.client, Eras: client.eras, RoutingKind: "config", RoutingName: "main", EndpointKind: "servers",
			Decoder: recordDecoder{fixedDecoder{table: protocol.Routing{Version: 1, Services: []protocol.RoutedService{{Name: "plain"}}}}},
		},
	}
	e.assemble()
	e.source.Dial = f.network.dial
	e.source.Kinds = []string{"config", "servers"}
	e.source.Self.PeerAddress, e.source.Self.Key = name+":1", "key-"+name
	e.prepareWatchers()
	e.watchers = e.watchers[:2] // without the coordination objects
	routes := http.NewServeMux()
	routes.Handle(transport.Path, &transport.Server{Source: &e.source})
	routes.Handle(transport.TablePath, &transport.TableServer{Source: &e.source})
	f.network.mutex.Lock()
	f.network.entries[name+":1"] = e
	f.network.mutex.Unlock()
	go func() { _ = http.Serve(e, routes) }()
	return e
}
