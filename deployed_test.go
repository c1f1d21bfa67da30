// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
)

// deployedSoon bounds how long a test waits for what has to come.
const deployedSoon = 20 * time.Second

// machine is one process of the deployed form with its settings and log.
type machine struct {
	t       *testing.T
	binary  string
	file    string
	log     string
	address string
	ready   string
	process *exec.Cmd
}

func newMachine(t *testing.T, binary, name, store string) *machine {
	t.Helper()
	return newMachineOf(t, binary, name, store, 284)
}

// newMachineOf is newMachine with that much memory.
func newMachineOf(t *testing.T, binary, name, store string, memoryMB int) *machine {
	t.Helper()
	m := &machine{t: t, binary: binary, address: platformtest.FreeAddress(), ready: platformtest.FreeAddress()}
	text := platformtest.RenderSettings(t, ".", map[string]any{
		"node_name": name, "zone": "a", "zones": map[string]string{"a": "east"}, "ip": "127.0.0.1", "listen.front": m.address, "listen.readiness": m.ready,
		"platform.address": store, "bounds.grace_s": 8, "bounds.revoke_ms": 5000, "bounds.retry_budget_ratio": 0.2,
		"bounds.retry_budget_slack": 200, "bounds.budget_window_s": 10, "limits.memory_mb": memoryMB, "limits.max_fds": 8192, "internal_ports.0": platformtest.FreePort(),
	})
	text = strings.Replace(text, "127.0.0.1:9464", platformtest.FreeAddress(), 1) // both stand on this machine
	m.file = filepath.Join(t.TempDir(), name+".jsonc")
	m.log = filepath.Join(t.TempDir(), name+".log")
	require.NoError(t, os.WriteFile(m.file, []byte(text), 0o600))
	return m
}

func (m *machine) start() {
	m.t.Helper()
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(m.t, err)
	m.process = exec.Command(m.binary, "front", "-settings", m.file)
	m.process.Stdout, m.process.Stderr = out, os.Stderr
	require.NoError(m.t, m.process.Start())
	_ = out.Close()
	process := m.process
	m.t.Cleanup(func() { _ = process.Process.Kill(); _ = process.Wait() })
	m.until(func() bool { return m.isReady() }, "the entry is ready")
}

func (m *machine) until(met func() bool, what string) {
	m.t.Helper()
	require.Eventually(m.t, met, deployedSoon, 10*time.Millisecond, what)
}

func (m *machine) isReady() bool {
	res, err := http.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (m *machine) logged(text string) bool {
	content, err := os.ReadFile(m.log)
	return err == nil && bytes.Contains(content, []byte(text))
}

// ask sends a request on a connection of its own and returns status and body; the
// error is why the answer did not come whole.
func (m *machine) ask(method, path, id, key string) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+m.address+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("X-Pinerun-Request-Id", id)
	req.Header.Set("X-Pinerun-Deadline-Ms", "8000")
	req.Header.Set("Authorization", "Token "+key)
	res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return res.StatusCode, string(body), err
}

// TestADayOfTheDeployedForm runs two entries as processes before a stand-in
// platform: layers are placed, a table changes, an endpoint leaves, one entry is
// killed and comes back, and one is stopped while a stream is open.
func TestADayOfTheDeployedForm(t *testing.T) {
	store := platformtest.NewStore(t)
	store.Put("config", "main", platformtest.RoutingTable(1, "key", "old"))
	record := func(e *platformtest.Endpoint, service, state string, from, to int) {
		store.Put("servers", e.ID, map[string]any{
			"service": service, "address": e.Address(), "zone": "a", "slots": 8, "state": state, "route_type": "t4",
			"layers": map[string]int{"from": from, "target_version": to},
		})
	}
	var services, engines []*platformtest.Endpoint
	for i := range 2 {
		services = append(services, platformtest.NewService(t, fmt.Sprint("s-", i)))
		record(services[i], "plain", "ready", 0, 0)
	}
	for i := range 3 {
		e := platformtest.NewEngine(t, fmt.Sprint("e-", i))
		engines = append(engines, e)
		e.OnLayersChange(func(from, to int) { record(e, "llm", "ready", from, to) })
		record(e, "llm", "ready", 0, 0)
	}
	binary := platformtest.Build(t, ".")
	one, two := newMachine(t, binary, "front-1", store.Address()), newMachine(t, binary, "front-2", store.Address())
	one.start()
	two.start()
	whole := ""
	for n := range platformtest.StreamEvents {
		whole += platformtest.Event(n + 1)
	}
	for _, m := range []*machine{one, two} {
		m.until(func() bool {
			_, body, err := m.ask(http.MethodPost, "/stream/x", "warm", "key")
			return err == nil && body == whole
		}, "layers are placed")
	}

	t.Log("a table takes a key away")
	store.Put("config", "main", platformtest.RoutingTable(2, "key"))
	for _, m := range []*machine{one, two} {
		m.until(func() bool {
			status, _, _ := m.ask(http.MethodGet, "/again/x", "old-key", "old")
			return status == http.StatusUnauthorized
		}, "the key is gone")
	}

	t.Log("an endpoint leaves")
	record(services[0], "plain", "draining", 0, 0)
	for _, m := range []*machine{one, two} {
		m.until(func() bool { return m.logged("endpoint leaving") }, "the news is in")
	}
	before := len(services[0].Started())
	for i := range 10 {
		status, body, err := one.ask(http.MethodPost, "/once/x", fmt.Sprint("once-", i), "key")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "answer of s-1", body)
	}
	require.Len(t, services[0].Started(), before)

	t.Log("the settings file changes, once with a mistake")
	good := read(t, one.file)
	require.NoError(t, os.WriteFile(one.file, []byte(`{"front": {}}`), 0o600))
	require.NoError(t, one.process.Process.Signal(syscall.SIGHUP))
	one.until(func() bool { return one.logged("settings ignored") }, "the mistake is told")
	require.NoError(t, os.WriteFile(one.file, []byte(good), 0o600))
	require.NoError(t, one.process.Process.Signal(syscall.SIGHUP))
	one.until(func() bool { return one.logged("settings read") }, "the good file is read")
	require.True(t, one.isReady(), "what was in force stays in force")

	t.Log("an entry is killed, the other serves, it comes back")
	require.NoError(t, one.process.Process.Kill())
	_ = one.process.Wait()
	status, body, err := two.ask(http.MethodPost, "/stream/x", "alone", "key")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, whole, body)
	one.start()

	t.Log("an entry is stopped while a stream is open")
	for _, e := range engines {
		e.Fail(platformtest.Pauses, 3)
	}
	runs := func() (n int) {
		for _, e := range engines {
			n += len(e.Started())
		}
		return n
	}
	begun := runs()
	var wait sync.WaitGroup
	wait.Add(1)
	var open string
	var broken error
	go func() { defer wait.Done(); _, open, broken = two.ask(http.MethodPost, "/stream/x", "open", "key") }()
	two.until(func() bool { return runs() > begun }, "the stream has begun")
	require.NoError(t, two.process.Process.Signal(syscall.SIGTERM))
	two.until(func() bool { return !two.isReady() }, "not ready at once")
	require.NoError(t, two.process.Process.Signal(syscall.SIGHUP), "a change of the settings must not end it")
	for _, e := range engines {
		e.Fail(platformtest.None, 0)
	}
	wait.Wait()
	require.NoError(t, broken)
	require.Equal(t, whole, open)
	require.NoError(t, two.process.Wait(), "a planned stop ends well")

	requireRanOnce(t, services, "once-")
	requireEveryLineIsAnEvent(t, one.log, two.log)
}

// requireRanOnce checks that no request that must not run twice did.
func requireRanOnce(t *testing.T, endpoints []*platformtest.Endpoint, prefix string) {
	t.Helper()
	ran := map[string]int{}
	for _, e := range endpoints {
		for _, r := range e.Started() {
			if strings.HasPrefix(r.ID, prefix) {
				ran[r.ID]++
			}
		}
	}
	for id, n := range ran {
		require.Equal(t, 1, n, id)
	}
}

// requireEveryLineIsAnEvent checks that logs are JSON lines with an event's
// number and the entry's name.
func requireEveryLineIsAnEvent(t *testing.T, files ...string) {
	t.Helper()
	for _, f := range files {
		s := bufio.NewScanner(strings.NewReader(read(t, f)))
		for s.Scan() {
			var line struct {
				Event int    `json:"event"`
				Entry string `json:"entry"`
			}
			require.NoError(t, json.Unmarshal(s.Bytes(), &line), s.Text())
			require.NotZero(t, line.Event, s.Text())
			require.NotEmpty(t, line.Entry, s.Text())
		}
	}
}
