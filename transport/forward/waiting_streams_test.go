// SPDX-License-Identifier: Apache-2.0

package forward_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
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
)

var lossSeeds = flag.Uint64("forward.seeds", 1, "number of seeds of the loss of engines under load")

// cacheFleet is entries in front of engines with a KV cache.
type cacheFleet struct {
	t       *testing.T
	engines []*cacheEngine
	entries []*forward.Forwarder
	begun   time.Time

	mutex    sync.Mutex
	outcomes map[string]int
}

func (d *cacheFleet) engine(address string) *cacheEngine {
	for _, e := range d.engines {
		if e.address() == address && !e.hasEnded() {
			return e
		}
	}
	return nil
}

// Report returns the report of an engine.
func (d *cacheFleet) Report(_ context.Context, address string) (protocol.EngineReport, error) {
	e := d.engine(address)
	if e == nil {
		return protocol.EngineReport{}, refusedConn()
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return protocol.EngineReport{CapacityKnown: true, CapacityUsed: float64(e.used()) / engineTokens}, nil
}

func refusedConn() error { return &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED} }

func (d *cacheFleet) dial(ctx context.Context, address string) (net.Conn, error) {
	e := d.engine(address)
	if e == nil {
		return nil, refusedConn()
	}
	client, server := net.Pipe()
	select {
	case e.incoming <- server:
		return client, nil
	case <-e.ended:
		return nil, refusedConn()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// cacheServices is the service of a cacheFleet.
var cacheServices = []protocol.RoutedService{{Name: "llm", Engine: &protocol.EngineSpec{
	Layers: 10, LayerMB: 100, TokenLayerMB: 0.1, TypicalPrompt: 760, TypicalAnswer: 240, StepMS: 20, PrefillPerSecond: readPerSecond,
	Accelerators: []protocol.AcceleratorSpec{{Name: "t4", MemoryMB: 1000 + engineTokens, StepFactor: 1, ReadFactor: 1}},
}}}

func newCacheFleet(t *testing.T, entries, engines int) *cacheFleet {
	d := &cacheFleet{t: t, outcomes: map[string]int{}, begun: time.Now()}
	for i := range engines {
		e := newCacheEngine(fmt.Sprint("engine-", i))
		d.engines = append(d.engines, e)
		go e.run()
	}
	t.Cleanup(func() {
		for _, e := range d.engines {
			if !e.hasEnded() {
				e.end()
			}
		}
	})
	for i := range entries {
		d.addEntry(fmt.Sprint("entry-", i), entries)
		time.Sleep(startStagger)
	}
	return d
}

func (d *cacheFleet) addEntry(name string, entries int) {
	now := time.Now()
	local := fleet.Entry{Name: name, DataCenter: "a"}
	budget := &backlog.Budget{Counters: &metric.Set{}}
	budget.SetLimit(1 << 30)
	f := &forward.Forwarder{
		Entry: local, Routing: &routing.Store{}, Registry: &registry.Registry{Entry: local}, Headers: platform.Headers{},
		Counters: &metric.Set{}, MemoryBudget: budget, Reporter: d, Dial: d.dial,
	}
	f.InitRetryBudget(forward.RetryBudget{Share: 0.2, Slack: 1000, WindowEnd: func(at time.Time) time.Time { return at.Add(10 * time.Second) }}, entries, now)
	f.Registry.SetServices(cacheServices)
	d.entries = append(d.entries, f)
	d.list(f)
	table, err := routing.Build(protocol.Routing{Version: 1, Services: cacheServices, Routes: []protocol.Route{{
		Name: "llm", Host: "h.example", Prefix: "/llm/", Repeat: protocol.Stream, Resumable: true, TimeoutMS: 60_000,
		TargetLatencyMS: float64(firstEventAim.Milliseconds()), PatienceMS: float64(callerPatience.Milliseconds()),
		Targets: []protocol.Target{{Service: "llm", Weight: 1}}, MaxAttempts: 3,
	}}})
	require.NoError(d.t, err)
	f.Routing.Offer(table)
	f.Routing.Confirm(now)
	f.Start()
	f.EndStartupWait()
	d.t.Cleanup(f.Close)
}

// list tells an entry which engines there are.
func (d *cacheFleet) list(f *forward.Forwarder) {
	var list []protocol.Endpoint
	for _, e := range d.engines {
		if !e.hasEnded() {
			list = append(list, protocol.Endpoint{ID: e.id, Service: "llm", Address: e.address(), DataCenter: "a", Accelerator: "t4", Layers: protocol.Span{From: 0, To: 10}})
		}
	}
	f.Registry.Replace(list, time.Now())
}

// lose ends some engines, of which the entries hear a while later.
func (d *cacheFleet) lose(engines int) {
	for _, e := range d.engines[:engines] {
		e.end()
	}
	time.Sleep(300 * time.Millisecond)
	for _, f := range d.entries {
		d.list(f)
	}
}

// patientCaller is a caller that leaves when its stream has been silent for too long.
type patientCaller struct {
	*httptest.ResponseRecorder
	leave   *time.Timer
	firstAt time.Time
}

func (c *patientCaller) Write(b []byte) (int, error) {
	if c.firstAt.IsZero() {
		c.firstAt = time.Now()
	}
	c.leave.Reset(callerPatience)
	return c.ResponseRecorder.Write(b)
}

// call sends a request through an entry and counts how it ended.
func (d *cacheFleet) call(f *forward.Forwarder, id string, prompt, answer int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/llm/x", nil)
	r.Host = "h.example"
	r.Header.Set("X-Pinerun-Request-Id", id)
	r.Header.Set("X-Pinerun-Token-Usage", fmt.Sprintf("%d,%d", prompt, answer))
	c := &patientCaller{ResponseRecorder: httptest.NewRecorder(), leave: time.AfterFunc(callerPatience, cancel)}
	defer c.leave.Stop()
	begun := time.Now()
	func() {
		defer func() { _ = recover() }()
		f.ServeHTTP(c, r)
	}()
	d.count(outcomeOf(c, begun, answer))
}

// outcomeOf returns how a request ended.
func outcomeOf(c *patientCaller, begun time.Time, answer int) string {
	whole := strings.Contains(c.Body.String(), fmt.Sprintf("id: %d\n", answer/tokensPerEvent))
	switch {
	case c.Code != http.StatusOK:
		return "refused"
	case c.Body.Len() == 0:
		return "left"
	case !whole:
		return "cut"
	case c.firstAt.Sub(begun) > firstEventAim:
		return "late"
	default:
		return "whole"
	}
}

func (d *cacheFleet) count(outcome string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.outcomes[outcome]++
}

// runLoad sends requests of different sizes to an entry for a while, and waits for their ends.
func (d *cacheFleet) runLoad(f *forward.Forwarder, perSecond float64, duration time.Duration, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	var open sync.WaitGroup
	defer open.Wait()
	until := time.Now().Add(duration)
	for n := 0; ; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if !time.Now().Before(until) {
			return
		}
		prompt, answer := 260+random.IntN(1000), 2*(60+random.IntN(120))
		open.Go(func() { d.call(f, fmt.Sprint(f.Entry.Name, "-", n), prompt, answer) })
	}
}

// lossUnderLoad loses engines of a loaded fleet of four entries and six engines, and returns how the requests ended.
func lossUnderLoad(t *testing.T, lost int, perSecond float64, seed uint64) map[string]int {
	d := newCacheFleet(t, 4, 6)
	var loads sync.WaitGroup
	for i, f := range d.entries {
		loads.Go(func() { d.runLoad(f, perSecond/float64(len(d.entries)), 30*time.Second, 100*seed+uint64(i)) })
	}
	time.Sleep(15 * time.Second)
	d.lose(lost)
	loads.Wait()
	for _, e := range d.engines {
		d.outcomes["evicted"] += e.evictions
		d.outcomes["rejected"] += e.rejected
	}
	return d.outcomes
}

// TestFewStreamsAreCutAfterALossUnderLoad prints how requests end when many streams wait for room at once.
func TestFewStreamsAreCutAfterALossUnderLoad(t *testing.T) {
	for _, c := range []struct {
		lost      int
		perSecond float64
	}{{1, 11}, {2, 11}, {3, 10}} {
		t.Run(fmt.Sprintf("%d of 6 engines lost, %v requests a second", c.lost, c.perSecond), func(t *testing.T) {
			sum := map[string]int{}
			for seed := range *lossSeeds {
				synctest.Test(t, func(t *testing.T) {
					for k, n := range lossUnderLoad(t, c.lost, c.perSecond, seed) {
						sum[k] += n
					}
				})
			}
			t.Log(sum)
			require.Less(t, 20*sum["cut"], sum["whole"]+sum["late"]+sum["refused"]+sum["cut"], "one in twenty")
		})
	}
}
