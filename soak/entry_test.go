// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
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
	peakMB  int           // the most memory that a process of it took
}

func (w *world) newEntry(dir, name, center string) *entry {
	e := &entry{world: w, name: name, center: center, ready: platformtest.FreeAddress(), store: newProxy(w.t, w.store.Address())}
	callers := platformtest.FreeAddress()
	e.callers = newProxy(w.t, callers)
	text := platformtest.RenderSettings(w.t, "..", map[string]any{
		"node_name": name, "zone": center, "zones": map[string]string{"a": "east", "b": "west"}, "ip": "127.0.0.1", "listen.front": callers, "listen.readiness": e.ready,
		"platform.address": e.store.address(), "bounds.grace_s": stopWithin.Seconds(), "bounds.revoke_ms": keyWithdrawn.Milliseconds(),
		"bounds.retry_budget_ratio": retryShare, "bounds.retry_budget_slack": retrySlack,
		"bounds.budget_window_s": retryWindow.Seconds(), "limits.memory_mb": memoryMB, "limits.max_fds": 8192, "internal_ports.0": platformtest.FreePort(),
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
