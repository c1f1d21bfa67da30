// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
)

// entry is an entry of the program under test, which runs as one process at a time.
type entry struct {
	testbed          *testbed
	name             string
	dataCenter       string
	callerLink       *proxy // between callers and this entry
	storeLink        *proxy // between this entry and the store
	readinessAddress string
	settingsFile     string
	logFile          string

	lifecycleMutex  sync.Mutex // held while the process is stopped and restarted
	mutex           sync.Mutex
	process         *exec.Cmd
	exited          chan struct{} // closed when the process has exited
	exitExpected    bool          // the process was asked to stop, or killed
	lastPauseChange time.Time     // when it was last paused or resumed
	lastStart       time.Time
	starts          []time.Time
	signals         []sentSignal
	cut             cutForm     // how it is cut off from endpoints, guarded by the mutex of the testbed
	cutChanges      []time.Time // when it was cut off and reconnected, guarded by the mutex of the testbed
	peakMB          int         // peak memory of all processes of this entry
}

func (tb *testbed) newEntry(dir, name, dataCenter string) *entry {
	e := &entry{testbed: tb, name: name, dataCenter: dataCenter, readinessAddress: platformtest.FreeAddress(), storeLink: newProxy(tb.t, tb.store.Address())}
	frontAddress := platformtest.FreeAddress()
	e.callerLink = newProxy(tb.t, frontAddress)
	text := platformtest.RenderSettings(tb.t, "..", map[string]any{
		"node_name": name, "zone": dataCenter, "zones": map[string]string{"a": "east", "b": "west"}, "ip": "127.0.0.1", "listen.front": frontAddress, "listen.readiness": e.readinessAddress,
		"platform.address": e.storeLink.address(), "bounds.grace_s": stopWithin.Seconds(), "bounds.revoke_ms": keyRevocationBound.Milliseconds(),
		"bounds.retry_budget_ratio": retryShare, "bounds.retry_budget_slack": retrySlack,
		"bounds.budget_window_s": retryWindow.Seconds(), "limits.memory_mb": memoryMB, "limits.max_fds": 8192, "internal_ports.0": platformtest.FreePort(),
	})
	text = strings.Replace(text, `"name":`, `"log_level": "debug", "name":`, 1)   // with each call to the store
	text = strings.Replace(text, "127.0.0.1:9464", platformtest.FreeAddress(), 1) // all entries share this machine
	e.settingsFile, e.logFile = filepath.Join(dir, name+".jsonc"), filepath.Join(dir, name+".log")
	require.NoError(tb.t, os.WriteFile(e.settingsFile, []byte(text), 0o600))
	tb.t.Cleanup(e.kill)
	return e
}

// start starts the process, which appends to the log.
func (e *entry) start() {
	out, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(e.testbed.t, err)
	defer func() { _ = out.Close() }()
	p := exec.Command(e.testbed.binary, "front", "-settings", e.settingsFile)
	p.Stdout, p.Stderr = out, out
	require.NoError(e.testbed.t, p.Start())
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process, e.exited, e.exitExpected = p, make(chan struct{}), false
	e.lastStart = time.Now()
	e.starts = append(e.starts, e.lastStart)
	go (&processMonitor{entry: e, process: p, exited: e.exited}).run()
}

// processMonitor waits for a process to exit and reports unexpected exits.
type processMonitor struct {
	entry   *entry
	process *exec.Cmd
	exited  chan struct{}
}

func (m *processMonitor) run() {
	err := m.process.Wait()
	m.entry.mutex.Lock()
	expected := m.entry.exitExpected
	m.entry.mutex.Unlock()
	if !expected {
		m.entry.testbed.reportProblem("%s exited unexpectedly: %v", m.entry.name, err)
	}
	close(m.exited)
}

// sentSignal is a signal that a process of an entry was sent.
type sentSignal struct {
	signal os.Signal
	at     time.Time
}

// signal sends a signal to the current process.
func (e *entry) signal(s os.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.signals = append(e.signals, sentSignal{signal: s, at: time.Now()})
	if e.process != nil {
		_ = e.process.Process.Signal(s) // it may have exited
	}
}

// pause sends SIGSTOP or SIGCONT to the process and records the time.
func (e *entry) pause(s os.Signal) {
	e.mutex.Lock()
	e.lastPauseChange = time.Now()
	e.mutex.Unlock()
	e.signal(s)
}

// pausedSince reports whether the process was paused or resumed after a time.
func (e *entry) pausedSince(at time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lastPauseChange.After(at)
}

// sentSignals returns the signals that the processes of the entry were sent.
func (e *entry) sentSignals() []sentSignal {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.signals)
}

// killedWithin reports whether a process of the entry was killed between two times.
func (e *entry) killedWithin(from, to time.Time) bool {
	return slices.ContainsFunc(e.sentSignals(), func(s sentSignal) bool { return s.signal == os.Kill && s.at.After(from) && s.at.Before(to) })
}

// startedWithin reports whether a process of the entry was started between two times.
func (e *entry) startedWithin(from, to time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.ContainsFunc(e.starts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// expectExit marks an exit of the process as expected. It returns a channel that is closed when
// the process has exited.
func (e *entry) expectExit() <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.exitExpected = true
	return e.exited
}

// dumpStacks ends a process that is stuck, and has it write the stacks of its goroutines to its log.
func (e *entry) dumpStacks() {
	exited := e.expectExit()
	e.signal(syscall.SIGQUIT)
	select {
	case <-exited:
	case <-time.After(schedulingSlack):
	}
}

// stopsInTime waits for the exit of a process that was asked to stop, and reports whether it came in time.
func stopsInTime(exited <-chan struct{}) bool {
	return platformtest.Await(stopWithin+schedulingSlack, 20*time.Millisecond, func() bool {
		select {
		case <-exited:
			return true
		default:
			return false
		}
	})
}

func (e *entry) kill() {
	exited := e.expectExit()
	e.signal(os.Kill)
	if exited != nil {
		<-exited
	}
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + e.readinessAddress + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode == http.StatusOK
}
