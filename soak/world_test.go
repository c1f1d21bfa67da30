// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
)

// The bounds that the settings of the entries name, as on the users' deployments.
const (
	stopWithin   = 8 * time.Second // after SIGTERM
	keyWithdrawn = 5 * time.Second
	drainBound   = 2 * time.Second
	configBound  = 2 * time.Second
	contact      = 3 * time.Second // without trouble before bounds hold
	recoverBound = 12 * time.Second
	retryShare   = 0.2
	retrySlack   = 40
	retryWindow  = 10 * time.Second
	// scheduling is how much later than on a machine of its own a process may act: a
	// few dozen of them share this one, at times beside other work.
	scheduling = 2 * time.Second
)

// entry is one process of the deployed form.
type entry struct {
	world   *world
	name    string
	center  string
	callers *proxy // the way of callers to it
	store   *proxy // its way to the store
	ready   string
	file    string
	log     string

	life    sync.Mutex // held by who ends it and starts it again
	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	wanted  bool          // an end is expected: it was told to, or killed
	paused  time.Time     // when it was last paused or went on
}

// world is the processes and what surrounds them.
type world struct {
	t       testing.TB
	binary  string
	store   *platformtest.Store
	entries []*entry

	tables    sync.Mutex // held by who changes the table
	mutex     sync.Mutex
	endpoints []*endpoint
	version   int
	keys      []string
	spare     []spareChange
	problems  []string
	made      int // endpoints so far
}

// spareChange is when the spare key was given, before the store knew, or taken away,
// once it had acknowledged that.
type spareChange struct {
	at    time.Time
	given bool
}

// endpoint is a stand-in with the proxy before it.
type endpoint struct {
	*platformtest.Endpoint
	link    *proxy
	service string
	center  string
	engine  bool

	mutex   sync.Mutex
	span    [2]int
	leaving time.Time // when the store took that it leaves, zero before
	gone    bool
}

// newWorld starts everything and waits until streams are served everywhere.
func newWorld(t testing.TB, binary string, entries int) *world {
	w := &world{t: t, binary: binary, store: platformtest.NewStore(t), keys: []string{"key", "spare"}, version: 1}
	w.putTable()
	for i := range 3 {
		w.addEndpoint(false, center(i))
	}
	for i := range 6 {
		w.addEndpoint(true, center(i))
	}
	dir := t.TempDir()
	for i := range entries {
		w.entries = append(w.entries, w.newEntry(dir, fmt.Sprint("entry-", i), center(i)))
	}
	for _, e := range w.entries {
		e.start()
	}
	for _, e := range w.entries {
		require.Eventually(t, e.isReady, time.Minute, 20*time.Millisecond, "%s is ready", e.name)
	}
	return w
}

func center(i int) string { return string(rune('a' + i%2)) }

func (w *world) newEntry(dir, name, center string) *entry {
	e := &entry{world: w, name: name, center: center, ready: platformtest.FreeAddress(), store: newProxy(w.t, w.store.Address())}
	callers := platformtest.FreeAddress()
	e.callers = newProxy(w.t, callers)
	text := platformtest.Settings(w.t, "..", map[string]any{
		"node_name": name, "zone": center, "ip": "127.0.0.1", "listen.front": callers, "listen.readiness": e.ready,
		"platform.address": e.store.address(), "bounds.grace_s": stopWithin.Seconds(), "bounds.revoke_ms": keyWithdrawn.Milliseconds(),
		"bounds.retry_budget_ratio": retryShare, "bounds.retry_budget_slack": retrySlack,
		"bounds.budget_window_s": retryWindow.Seconds(), "limits.memory_mb": 284, "internal_ports.0": platformtest.FreePort(),
	})
	text = strings.Replace(text, "127.0.0.1:9464", platformtest.FreeAddress(), 1) // all stand on this machine
	e.file, e.log = filepath.Join(dir, name+".jsonc"), filepath.Join(dir, name+".log")
	require.NoError(w.t, os.WriteFile(e.file, []byte(text), 0o600))
	w.t.Cleanup(e.kill)
	return e
}

// start runs the process; its log goes on.
func (e *entry) start() {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(e.world.t, err)
	defer func() { _ = out.Close() }()
	p := exec.Command(e.world.binary, "front", "-settings", e.file)
	p.Stdout, p.Stderr = out, out
	require.NoError(e.world.t, p.Start())
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process, e.ended, e.wanted = p, make(chan struct{}), false
	go (&watcher{entry: e, process: p, ended: e.ended}).run()
}

// watcher waits for the end of a process.
type watcher struct {
	entry   *entry
	process *exec.Cmd
	ended   chan struct{}
}

func (w *watcher) run() {
	err := w.process.Wait()
	w.entry.mutex.Lock()
	wanted := w.entry.wanted
	w.entry.mutex.Unlock()
	if !wanted {
		w.entry.world.problem("%s ended by itself: %v", w.entry.name, err)
	}
	close(w.ended)
}

// signal sends a signal to the process that runs now.
func (e *entry) signal(s os.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.process != nil {
		_ = e.process.Process.Signal(s) // it may have ended
	}
}

// pause stops the process, or lets it go on.
func (e *entry) pause(s os.Signal) {
	e.mutex.Lock()
	e.paused = time.Now()
	e.mutex.Unlock()
	e.signal(s)
}

// pausedSince reports whether the process was paused or went on after a time.
func (e *entry) pausedSince(at time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.paused.After(at)
}

// expectEnd says that the process will end, and returns a channel that tells when.
func (e *entry) expectEnd() <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.wanted = true
	return e.ended
}

func (e *entry) kill() {
	ended := e.expectEnd()
	e.signal(os.Kill)
	if ended != nil {
		<-ended
	}
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + e.ready + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}

// problem notes a broken promise.
func (w *world) problem(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// addEndpoint starts an endpoint and records it.
func (w *world) addEndpoint(engine bool, center string) {
	w.mutex.Lock()
	id := fmt.Sprint("p-", w.made)
	w.made++
	w.mutex.Unlock()
	e := &endpoint{center: center, service: "plain", engine: engine}
	if engine {
		e.service = "llm"
		e.Endpoint = platformtest.NewEngine(w.t, id)
	} else {
		e.Endpoint = platformtest.NewService(w.t, id)
	}
	e.link = newProxy(w.t, e.Address())
	e.OnSpan(func(from, to int) { w.hold(e, from, to) })
	w.record(e, "ready")
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.endpoints = append(w.endpoints, e)
}

// hold takes an order: the engine holds other layers from now on.
func (w *world) hold(e *endpoint, from, to int) {
	if mb := (to - from) * platformtest.TableLayerMB; mb > platformtest.TableEngineMB || from < 0 || to > platformtest.TableLayers {
		w.problem("%s was ordered to hold %d-%d, %d MB", e.ID, from, to, mb)
	}
	e.mutex.Lock()
	e.span = [2]int{from, to}
	state := "ready"
	if !e.leaving.IsZero() {
		state = "draining"
	}
	gone := e.gone
	e.mutex.Unlock()
	if !gone {
		w.record(e, state)
	}
}

// record writes what an endpoint says of itself.
func (w *world) record(e *endpoint, state string) {
	e.mutex.Lock()
	span := e.span
	e.mutex.Unlock()
	w.store.Put("servers", e.ID, map[string]any{
		"service": e.service, "address": e.link.address(), "zone": e.center, "slots": 8, "state": state, "route_type": "t4",
		"layers": map[string]int{"from": span[0], "target_version": span[1]},
	})
}

// leave makes an endpoint say that it is leaving.
func (w *world) leave(e *endpoint) {
	w.record(e, "draining")
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.leaving = time.Now()
}

// remove ends an endpoint.
func (w *world) remove(e *endpoint) {
	e.mutex.Lock()
	e.gone = true
	e.mutex.Unlock()
	w.store.Delete("servers", e.ID)
	e.Stop()
	e.link.reset()
}

// live returns the endpoints of a service that neither leave nor are gone.
func (w *world) live(engine bool) []*endpoint {
	var list []*endpoint
	for _, e := range w.all() {
		e.mutex.Lock()
		if e.engine == engine && e.leaving.IsZero() && !e.gone {
			list = append(list, e)
		}
		e.mutex.Unlock()
	}
	return list
}

func (w *world) all() []*endpoint {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.endpoints)
}

// putTable writes the routing table with the keys in force.
func (w *world) putTable() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.store.Put("config", "main", platformtest.Table(w.version, w.keys...))
}

// changeTable writes a newer table, with other keys.
func (w *world) changeTable(keys ...string) {
	w.tables.Lock()
	defer w.tables.Unlock()
	w.mutex.Lock()
	w.version += 3
	w.keys = keys
	given := slices.Contains(keys, "spare")
	if given {
		w.spare = append(w.spare, spareChange{at: time.Now(), given: true})
	}
	w.mutex.Unlock()
	w.putTable()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !given {
		w.spare = append(w.spare, spareChange{at: time.Now()})
	}
}

// logs returns all that the entries wrote.
func (w *world) logs() map[string][]byte {
	all := map[string][]byte{}
	for _, e := range w.entries {
		content, err := os.ReadFile(e.log)
		if err != nil {
			w.problem("the log of %s can't be read: %v", e.name, err)
		}
		all[e.name] = bytes.TrimSpace(content)
	}
	return all
}
