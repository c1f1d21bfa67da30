// SPDX-License-Identifier: Apache-2.0

package tunnel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/platform/platformtest"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/backlog"
	"pinerun.example/pinerun/transport/tunnel"
)

// soon bounds how long a test waits for an expected event.
const soon = 10 * time.Second

// echoEndpoint is an endpoint that sends back each line in capitals.
type echoEndpoint struct {
	listener net.Listener
	mutex    sync.Mutex
	open     []net.Conn
	ended    atomic.Int64 // connections that the other side closed
}

func newEchoEndpoint(t *testing.T) *echoEndpoint {
	e := &echoEndpoint{listener: platformtest.Listen()}
	go e.run()
	t.Cleanup(func() { _ = e.listener.Close(); e.end(false) })
	return e
}

func (e *echoEndpoint) address() string { return e.listener.Addr().String() }

func (e *echoEndpoint) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mutex.Lock()
		e.open = append(e.open, c)
		e.mutex.Unlock()
		go (&echoConn{endpoint: e, conn: c}).run()
	}
}

// end closes all open connections, with a reset if wanted.
func (e *echoEndpoint) end(reset bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, c := range e.open {
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
	e.open = nil
}

type echoConn struct {
	endpoint *echoEndpoint
	conn     net.Conn
}

func (c *echoConn) run() {
	r := bufio.NewReader(c.conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			c.endpoint.ended.Add(1)
			return
		}
		_, _ = io.WriteString(c.conn, strings.ToUpper(line)) // a connection that ends is noticed by the read
	}
}

// entry is an entry with a dialer and a server of tunnels.
type entry struct {
	record    protocol.EntryRecord
	dialer    tunnel.Dialer
	server    tunnel.Server
	partition platformtest.Partition
	http      *httptest.Server
	serving   atomic.Bool
	asked     atomic.Int64
	counters  metric.Set
	head      string // added to the heads of its answers
}

// newEntries returns entries before endpoints, each in a data center of its own, that know each other.
func newEntries(t *testing.T, n int, endpoints ...*echoEndpoint) []*entry {
	var addresses []string
	for _, e := range endpoints {
		addresses = append(addresses, e.address())
	}
	var all []*entry
	var records []protocol.EntryRecord
	for i := range n {
		e := &entry{record: protocol.EntryRecord{Name: fmt.Sprint("entry-", i), DataCenter: fmt.Sprint("dc-", i), Key: fmt.Sprint("key-", i)}}
		e.serving.Store(true)
		e.dialer = tunnel.Dialer{
			Self: e.record.Name, DataCenter: e.record.DataCenter, Connect: e.partition.Dial, Counters: &e.counters,
			DataCenterOf: func(string) string { return "" }, Addresses: func() []string { return append([]string(nil), addresses...) },
		}
		e.server = tunnel.Server{
			Dialer: &e.dialer, Key: func() string { return e.record.Key }, Serving: e.serving.Load, Counters: &e.counters, MemoryBudget: &backlog.Budget{},
			Knows: func(address string) bool { return slices.Contains(addresses, address) },
		}
		e.http = httptest.NewServer(e)
		t.Cleanup(func() {
			e.server.Close()
			e.http.Close()
		})
		e.record.PeerAddress = strings.TrimPrefix(e.http.URL, "http://")
		records = append(records, e.record)
		all = append(all, e)
	}
	for _, e := range all {
		e.dialer.SetPeers(records)
	}
	return all
}

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.asked.Add(1)
	if e.head != "" {
		w.Header().Set("X-Long", e.head)
	}
	e.server.ServeHTTP(w, r)
}

// talk sends a line and returns the answer.
func talk(t *testing.T, c net.Conn, line string) string {
	t.Helper()
	n, err := io.WriteString(c, line+"\n")
	require.NoError(t, err)
	require.Equal(t, len(line)+1, n)
	answer, err := bufio.NewReader(c).ReadString('\n')
	require.NoError(t, err)
	return strings.TrimSuffix(answer, "\n")
}

func TestConnectionThroughAnotherEntryCarriesBytes(t *testing.T) {
	e := newEchoEndpoint(t)
	all := newEntries(t, 2, e)
	c, err := all[0].dialer.DialPeers(t.Context(), e.address())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.Equal(t, "entry-1", tunnel.Peer(c))
	require.Equal(t, "HELLO", talk(t, c, "hello"))
	long := strings.Repeat("x", 5*protocol.MaxTunnelChunk)
	require.Equal(t, strings.ToUpper(long), talk(t, c, long))
	require.EqualValues(t, 1, all[1].server.Open())
}

func TestEndOfTunnelTellsWhoEndedIt(t *testing.T) {
	for name, test := range map[string]struct {
		end    func(e *echoEndpoint, helper *entry)
		result func(t *testing.T, err error)
	}{
		"closed by the endpoint": {
			func(e *echoEndpoint, _ *entry) { e.end(false) },
			func(t *testing.T, err error) { require.Equal(t, io.EOF, err) },
		},
		"reset by the endpoint": {
			func(e *echoEndpoint, _ *entry) { e.end(true) },
			func(t *testing.T, err error) { require.ErrorIs(t, err, syscall.ECONNRESET) },
		},
		"the other entry ends": {
			func(_ *echoEndpoint, helper *entry) { helper.server.Close() },
			func(t *testing.T, err error) {
				var lost *tunnel.PeerLost
				require.ErrorAs(t, err, &lost)
				require.NotErrorIs(t, err, io.EOF)
				require.NotErrorIs(t, err, syscall.ECONNRESET)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEchoEndpoint(t)
			all := newEntries(t, 2, e)
			c, err := all[0].dialer.DialPeers(t.Context(), e.address())
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			require.Equal(t, "A", talk(t, c, "a"))
			test.end(e, all[1])
			_, err = c.Read(make([]byte, 1))
			test.result(t, err)
		})
	}
}

func TestEndpointLearnsThatCallerOfTunnelLeft(t *testing.T) {
	e := newEchoEndpoint(t)
	all := newEntries(t, 2, e)
	c, err := all[0].dialer.DialPeers(t.Context(), e.address())
	require.NoError(t, err)
	require.Equal(t, "A", talk(t, c, "a"))
	_ = c.Close()
	require.True(t, platformtest.Await(soon, time.Millisecond, func() bool { return e.ended.Load() == 1 && all[1].server.Open() == 0 }))
}

func TestEntryWithoutItsOwnPathOpensNoTunnel(t *testing.T) {
	one, two := newEchoEndpoint(t), newEchoEndpoint(t)
	all := newEntries(t, 2, one, two)
	all[1].partition.Set(platformtest.CutRefusesNew, "")
	_, err := all[0].dialer.DialPeers(t.Context(), one.address())
	var failed *tunnel.DialError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, tunnel.NoPath, failed.Verdict(), "not the endpoint's fault")
	require.EqualValues(t, 1, all[1].counters.Value("tunnels_served_by.cut_off"))
	require.Zero(t, all[0].asked.Load(), "a tunnel goes through one entry only")
}

func TestEntryCutOffFromOneServiceBlamesNoEndpoint(t *testing.T) {
	endpoints := []*echoEndpoint{newEchoEndpoint(t), newEchoEndpoint(t), newEchoEndpoint(t), newEchoEndpoint(t)}
	all := newEntries(t, 3, endpoints...)
	for _, e := range all[:2] {
		e.partition.Set(platformtest.CutRefusesNew, endpoints[0].address())
	}
	c, err := all[0].dialer.Dial(t.Context(), endpoints[0].address())
	require.NoError(t, err, "one of the two others reaches it")
	defer func() { _ = c.Close() }()
	require.Equal(t, "entry-2", tunnel.Peer(c))
	require.True(t, all[0].dialer.Blocked(endpoints[0].address()))
	require.False(t, all[0].dialer.Blocked(endpoints[1].address()))
	require.False(t, all[0].dialer.CutOff())
}

func TestDeadEndpointIsBlamedByThreeEntries(t *testing.T) {
	dead := newEchoEndpoint(t)
	all := newEntries(t, 5, dead, newEchoEndpoint(t), newEchoEndpoint(t), newEchoEndpoint(t))
	_ = dead.listener.Close()
	_, err := all[0].dialer.Dial(t.Context(), dead.address())
	var failed *tunnel.DialError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, tunnel.EndpointFailed, failed.Verdict())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.False(t, all[0].dialer.Disturbed(), "a dead endpoint is no cut")
	var asked int64
	for _, e := range all[1:] {
		asked += e.asked.Load()
	}
	require.EqualValues(t, 3, asked)
}

func TestSilentEndpointIsNoCut(t *testing.T) {
	silent := newEchoEndpoint(t)
	all := newEntries(t, 4, silent, newEchoEndpoint(t), newEchoEndpoint(t), newEchoEndpoint(t))
	for _, e := range all {
		e.partition.Set(platformtest.CutHangs, silent.address())
	}
	_, err := all[0].dialer.Dial(t.Context(), silent.address())
	var failed *tunnel.DialError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, tunnel.EndpointFailed, failed.Verdict())
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.False(t, all[0].dialer.Disturbed())
}

// TestStandstillOfEntryIsNoCut has connections that failed while the process was not run.
func TestStandstillOfEntryIsNoCut(t *testing.T) {
	endpoints := []*echoEndpoint{newEchoEndpoint(t), newEchoEndpoint(t)}
	all := newEntries(t, 2, endpoints...)
	all[0].dialer.LateSince = func(time.Time) bool { return true }
	all[0].partition.Set(platformtest.CutHangs, "")
	for _, e := range endpoints {
		c, err := all[0].dialer.Dial(t.Context(), e.address())
		require.NoError(t, err)
		_ = c.Close()
	}
	require.False(t, all[0].dialer.Disturbed())
}

func TestTunnelIsRefused(t *testing.T) {
	for outcome, test := range map[string]struct {
		prepare func(asking, helper *entry)
		address string // "" for that of the endpoint
	}{
		"not_served":       {prepare: func(_, helper *entry) { helper.serving.Store(false) }},
		"unknown_endpoint": {prepare: func(_, _ *entry) {}, address: "127.0.0.1:1"},
		"busy":             {prepare: func(_, helper *entry) { helper.server.MemoryBudget.SetLimit(1000) }},
		"unsupported": {prepare: func(_, helper *entry) {
			helper.http.Config.Handler = http.NotFoundHandler() // as entries of the version before
		}},
		"no_answer": {prepare: func(_, helper *entry) { helper.record.Key = "another" }},
	} {
		t.Run(outcome, func(t *testing.T) {
			e := newEchoEndpoint(t)
			all := newEntries(t, 2, e)
			test.prepare(all[0], all[1])
			address := test.address
			if address == "" {
				address = e.address()
			}
			_, err := all[0].dialer.DialPeers(t.Context(), address)
			var failed *tunnel.DialError
			require.ErrorAs(t, err, &failed)
			require.Equal(t, tunnel.Undecided, failed.Verdict())
			require.EqualValues(t, 1, all[0].counters.Value("tunnels_asked_by."+outcome))
			if outcome == "unknown_endpoint" {
				return // another endpoint may be known
			}
			_, err = all[0].dialer.DialPeers(t.Context(), address)
			require.Error(t, err)
			require.EqualValues(t, 1, all[0].counters.Value("tunnels_asked_by."+outcome), "it is not asked again at once")
		})
	}
}

// TestEndpointThatHelperDoesNotKnowIsNotTakenForNoPath has an entry that is cut off ask for an endpoint whose
// record only it uses. Requests were refused as if no endpoint could be reached.
func TestEndpointThatHelperDoesNotKnowIsNotTakenForNoPath(t *testing.T) {
	endpoints := []*echoEndpoint{newEchoEndpoint(t), newEchoEndpoint(t), newEchoEndpoint(t)}
	all := newEntries(t, 2, endpoints...)
	all[0].partition.Set(platformtest.CutRefusesNew, "")
	for _, e := range endpoints[:2] {
		c, err := all[0].dialer.Dial(t.Context(), e.address())
		require.NoError(t, err)
		_ = c.Close()
	}
	require.True(t, all[0].dialer.CutOff())
	unknown := endpoints[2].address()
	all[1].server.Knows = func(address string) bool { return address != unknown }
	_, err := all[0].dialer.Dial(t.Context(), unknown)
	var failed *tunnel.DialError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, tunnel.Undecided, failed.Verdict())
}

func TestLimitOfTunnelsIsKept(t *testing.T) {
	e := newEchoEndpoint(t)
	all := newEntries(t, 2, e)
	all[1].server.Limit = 3
	var open []net.Conn
	for range 3 {
		c, err := all[0].dialer.DialPeers(t.Context(), e.address())
		require.NoError(t, err)
		open = append(open, c)
	}
	_, err := all[0].dialer.DialPeers(t.Context(), e.address())
	require.Error(t, err)
	require.EqualValues(t, 1, all[0].counters.Value("tunnels_asked_by.busy"))
	for _, c := range open {
		_ = c.Close()
	}
}

// TestUnwantedConnectionIsNoFailureOfPeer has the caller leave while another entry is asked.
func TestUnwantedConnectionIsNoFailureOfPeer(t *testing.T) {
	e := newEchoEndpoint(t)
	all := newEntries(t, 2, e)
	all[1].partition.Set(platformtest.CutHangs, "")
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		platformtest.Await(soon, time.Millisecond, func() bool { return all[1].asked.Load() > 0 })
		cancel()
	}()
	_, err := all[0].dialer.DialPeers(ctx, e.address())
	require.Error(t, err)
	require.Zero(t, all[0].counters.Value("tunnels_asked_by.no_answer"))
}

// TestServerSurvivesInvalidMessages sends a server what is no request of a tunnel.
func TestServerSurvivesInvalidMessages(t *testing.T) {
	e := newEchoEndpoint(t)
	all := newEntries(t, 2, e)
	request, err := protocol.EncodeTunnelRequest(&protocol.TunnelRequest{Name: "x", Address: e.address()})
	require.NoError(t, err)
	for _, first := range [][]byte{nil, {0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), request[:len(request)-1], make([]byte, 2*protocol.MaxTunnelChunk)} {
		socket, res, err := websocket.Dial(t.Context(), "ws://"+all[1].record.PeerAddress, &websocket.DialOptions{
			HTTPHeader: http.Header{protocol.KeyHeader: {protocol.KeyPrefix + all[1].record.Key}},
		})
		require.NoError(t, err)
		if res.Body != nil {
			_ = res.Body.Close()
		}
		if err = socket.Write(t.Context(), websocket.MessageBinary, first); err == nil {
			_, _, err = socket.Read(t.Context())
		}
		require.Error(t, err, "the server ends the connection")
		_ = socket.CloseNow()
	}
	c, err := all[0].dialer.DialPeers(t.Context(), e.address())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.Equal(t, "A", talk(t, c, "a"))
}
