// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/platform"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/state/registry"
	"pinerun.example/pinerun/state/routing"
	"pinerun.example/pinerun/transport/backlog"
	"pinerun.example/pinerun/transport/forward"
	"pinerun.example/pinerun/transport/relay"
)

// testFleet is some entries in front of endpoints, connected within the process so that it runs in
// virtual time.
type testFleet struct {
	t         *testing.T
	endpoints []*testEndpoint
	entries   []*testEntry
	done      chan struct{}
}

// startStagger is the time between the starts of two entries. Their tickers never fire in the same
// moment of virtual time, which the race detector does not bear when several goroutines meet it.
const startStagger = 1370 * time.Microsecond

// relayDelay is how long a report takes from one entry to the first, which passes it on.
const relayDelay = 10 * time.Millisecond

// testEndpoint is an endpoint of a plain service or, with layers, an engine. Set the exported fields
// before it gets requests.
type testEndpoint struct {
	ID         string
	DataCenter string
	Layers     protocol.Span
	// Respond sets the headers of a response and returns its status. 0 means 200.
	Respond func(entry string, h http.Header) (status int)
	// Work is how long a request takes.
	Work time.Duration

	incoming chan net.Conn
	done     chan struct{}
	mutex    sync.Mutex
	arrivals []arrival
}

// arrival is one request that reached an endpoint.
type arrival struct {
	entry, id string
	at        time.Time
}

// entryConn is a connection of an entry to an endpoint.
type entryConn struct {
	net.Conn
	entry string
}

// connKey is the key of the entryConn in the context of a request.
type connKey struct{}

// Accept, Close and Addr make the endpoint the listener of its server.
func (e *testEndpoint) Accept() (net.Conn, error) {
	select {
	case c := <-e.incoming:
		return c, nil
	case <-e.done:
		return nil, net.ErrClosed
	}
}

func (e *testEndpoint) Close() error   { return nil }
func (e *testEndpoint) Addr() net.Addr { return &net.TCPAddr{} }

func (e *testEndpoint) address() string { return e.ID + ":1" }

func (e *testEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	entry := r.Context().Value(connKey{}).(*entryConn).entry
	id := r.Header.Get("X-Pinerun-Request-Id")
	e.mutex.Lock()
	e.arrivals = append(e.arrivals, arrival{entry: entry, id: id, at: time.Now()})
	e.mutex.Unlock()
	time.Sleep(e.Work)
	h := w.Header()
	h.Set("X-Pinerun-Request-Id", id)
	h.Set("X-Pinerun-Response-Signature", "signed")
	status := 0
	if e.Respond != nil {
		status = e.Respond(entry, h)
	}
	if status == 0 && e.Layers.Layers() > 0 {
		h.Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		return
	}
	if status == http.StatusServiceUnavailable {
		h.Del("X-Pinerun-Response-Signature")
		h.Set("X-Pinerun-Not-Executed", "1")
	}
	if status != 0 {
		w.WriteHeader(status)
	}
	_, _ = io.WriteString(w, "answer of "+e.ID)
}

// received returns the requests that reached the endpoint.
func (e *testEndpoint) received() []arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// testEntry is one entry of a testFleet.
type testEntry struct {
	name        string
	forwarder   *forward.Forwarder
	rateLimits  relay.RateLimits
	replies     chan int // statuses of the responses
	sent, taken uint64   // numbers of the last reports to and from the first entry
}

// newTestFleet starts entries in front of endpoints. Those with layers are engines of "llm", the
// others belong to "plain". Data centers of entries are a, b and c in turn.
func newTestFleet(t *testing.T, entries int, endpoints ...*testEndpoint) *testFleet {
	d := &testFleet{t: t, endpoints: endpoints, done: make(chan struct{})}
	t.Cleanup(func() { close(d.done) })
	for _, e := range endpoints {
		e.incoming, e.done = make(chan net.Conn), make(chan struct{})
		s := &http.Server{Handler: e, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
		go func() { _ = s.Serve(e) }()
		t.Cleanup(func() {
			close(e.done)
			_ = s.Close()
		})
	}
	for i := range entries {
		d.addEntry(fmt.Sprint("entry-", i), string(rune('a'+i%3)), entries)
		time.Sleep(startStagger)
	}
	d.introduce()
	go d.runRelay()
	return d
}

// introduce tells each entry the names of all.
func (d *testFleet) introduce() {
	var names []string
	for _, e := range d.entries {
		names = append(names, e.name)
	}
	for _, e := range d.entries {
		e.rateLimits.SetMembers(e.name, names)
	}
}

// runRelay passes reports between the first entry and the others.
func (d *testFleet) runRelay() {
	ticks := time.NewTicker(relayDelay)
	defer ticks.Stop()
	for {
		select {
		case now := <-ticks.C:
			for _, e := range d.entries[1:] {
				e.exchangeReports(d.entries[0], now)
			}
		case <-d.done:
			return
		}
	}
}

// exchangeReports passes the new reports of an entry to the first one, and those of the first one to
// the entry.
func (e *testEntry) exchangeReports(first *testEntry, now time.Time) {
	up, sent := e.rateLimits.ReportsSince(e.sent, first.name, now)
	first.rateLimits.Receive(up, e.name)
	down, taken := first.rateLimits.ReportsSince(e.taken, e.name, now)
	e.rateLimits.Receive(down, first.name)
	e.sent, e.taken = sent, taken
}

// idleEngines reports engines that run nothing.
type idleEngines struct{}

// Report returns the report of any engine.
func (idleEngines) Report(context.Context, string) (protocol.EngineReport, error) {
	return protocol.EngineReport{CapacityKnown: true}, nil
}

// services are the services of a testFleet.
var services = []protocol.RoutedService{
	{Name: "plain"},
	{Name: "llm", Engine: &protocol.EngineSpec{
		Layers: 10, LayerMB: 100, TokenLayerMB: 0.1, TypicalPrompt: 10, TypicalAnswer: 10, StepMS: 1, PrefillPerSecond: 1e6,
		Accelerators: []protocol.AcceleratorSpec{{Name: "t4", MemoryMB: 2000, StepFactor: 1, ReadFactor: 1}},
	}},
}

// addEntry starts an entry.
func (d *testFleet) addEntry(name, dataCenter string, entries int) *testEntry {
	now := time.Now()
	local := fleet.Entry{Name: name, DataCenter: dataCenter}
	budget := &backlog.Budget{Counters: &metric.Set{}}
	budget.SetLimit(1 << 30)
	e := &testEntry{name: name, replies: make(chan int, 100_000)}
	f := &forward.Forwarder{
		Entry: local, Routing: &routing.Store{}, Registry: &registry.Registry{Entry: local}, Headers: platform.Headers{},
		Counters: &metric.Set{}, MemoryBudget: budget, Reporter: idleEngines{}, Dial: e.dialer(d),
	}
	e.forwarder = f
	f.RateLimits = &e.rateLimits
	f.InitRetryBudget(forward.RetryBudget{Share: 0.2, Slack: 1000, WindowEnd: func(at time.Time) time.Time { return at.Add(10 * time.Second) }}, entries, now)
	f.Registry.SetServices(services)
	var list []protocol.Endpoint
	for _, p := range d.endpoints {
		service := "plain"
		if p.Layers.Layers() > 0 {
			service = "llm"
		}
		list = append(list, protocol.Endpoint{ID: p.ID, Service: service, Address: p.address(), DataCenter: p.DataCenter, Accelerator: "t4", Layers: p.Layers})
	}
	f.Registry.Replace(list, now)
	route := func(service string, repeat protocol.Repeat) protocol.Route {
		return protocol.Route{
			Name: service, Host: "h.example", Prefix: "/" + service + "/", Repeat: repeat, TimeoutMS: 4000, TargetLatencyMS: 500,
			Targets: []protocol.Target{{Service: service, Weight: 1}}, MaxAttempts: 3, PatienceMS: 2000,
		}
	}
	table, err := routing.Build(protocol.Routing{Version: 1, Services: services, Routes: []protocol.Route{route("plain", protocol.Repeatable), route("llm", protocol.Stream)}})
	require.NoError(d.t, err)
	f.Routing.Offer(table)
	f.Routing.Confirm(now)
	f.Start()
	f.EndStartupWait()
	d.t.Cleanup(f.Close)
	d.entries = append(d.entries, e)
	return e
}

// dialer returns the function by which an entry connects to endpoints.
func (e *testEntry) dialer(d *testFleet) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		for _, p := range d.endpoints {
			if p.address() != address {
				continue
			}
			client, server := net.Pipe()
			select {
			case p.incoming <- &entryConn{Conn: server, entry: e.name}:
				return client, nil
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return nil, errors.New("no endpoint at " + address)
	}
}

// call sends a request to the entry and returns the status and headers of the response. The status
// is 0 if the response was aborted.
func (e *testEntry) call(service, id string) (status int, h http.Header) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/"+service+"/x", nil)
	r.Host = "h.example"
	r.Header.Set("X-Pinerun-Request-Id", id)
	w := httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil && v != any(http.ErrAbortHandler) {
			panic(v)
		}
	}()
	e.forwarder.ServeHTTP(w, r)
	return w.Code, w.Header()
}

// load sends requests to one entry at random times.
type load struct {
	entry     *testEntry
	service   string
	perSecond float64
	until     time.Time
	random    *rand.Rand
	open      sync.WaitGroup
}

func (l *load) run() {
	for n := 0; ; n++ {
		time.Sleep(time.Duration(l.random.ExpFloat64() / l.perSecond * float64(time.Second)))
		if !time.Now().Before(l.until) {
			return
		}
		id := fmt.Sprint(l.entry.name, "-", l.service, "-", n)
		l.open.Go(func() {
			status, _ := l.entry.call(l.service, id)
			l.entry.replies <- status
		})
	}
}

// startLoad sends requests to an entry for a while, as many a second as given. It returns the load,
// whose open requests the test has to wait for.
func (e *testEntry) startLoad(service string, perSecond float64, duration time.Duration, seed uint64) *load {
	l := &load{entry: e, service: service, perSecond: perSecond, until: time.Now().Add(duration), random: rand.New(rand.NewPCG(seed, 1))}
	l.open.Go(l.run)
	return l
}

// loadAll sends requests to every entry for a while and waits for the responses.
func (d *testFleet) loadAll(service string, perSecond float64, duration time.Duration) {
	var loads []*load
	for i, e := range d.entries {
		loads = append(loads, e.startLoad(service, perSecond, duration, uint64(i)))
	}
	for _, l := range loads {
		l.open.Wait()
	}
}

// served returns the share of the responses so far that were successes, and how many there were.
func (d *testFleet) served() (share float64, total int) {
	good := 0
	for _, e := range d.entries {
		for range len(e.replies) {
			total++
			if <-e.replies == http.StatusOK {
				good++
			}
		}
	}
	return float64(good) / float64(max(1, total)), total
}
