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

// waitTimeout bounds each wait for an expected condition.
const waitTimeout = 20 * time.Second

// entryProcess is an entry that runs as "pinerun front", with its settings file and log.
type entryProcess struct {
	t                *testing.T
	binary           string
	settingsFile     string
	logFile          string
	address          string
	readinessAddress string
	cmd              *exec.Cmd
}

// newEntryProcess prepares an entry with 284 MB of memory. The platform is at the address store.
func newEntryProcess(t *testing.T, binary, name, store string) *entryProcess {
	t.Helper()
	return newEntryProcessWithMemory(t, binary, name, store, 284)
}

// newEntryProcessWithMemory prepares an entry with the given memory limit.
func newEntryProcessWithMemory(t *testing.T, binary, name, store string, memoryMB int) *entryProcess {
	t.Helper()
	p := &entryProcess{t: t, binary: binary, address: platformtest.FreeAddress(), readinessAddress: platformtest.FreeAddress()}
	text := platformtest.RenderSettings(t, ".", map[string]any{
		"node_name": name, "zone": "a", "zones": map[string]string{"a": "east"}, "ip": "127.0.0.1", "listen.front": p.address, "listen.readiness": p.readinessAddress,
		"platform.address": store, "bounds.grace_s": 8, "bounds.revoke_ms": 5000, "bounds.retry_budget_ratio": 0.2,
		"bounds.retry_budget_slack": 200, "bounds.budget_window_s": 10, "limits.memory_mb": memoryMB, "limits.max_fds": 8192, "internal_ports.0": platformtest.FreePort(),
	})
	text = strings.Replace(text, "127.0.0.1:9464", platformtest.FreeAddress(), 1) // the entries share this host
	p.settingsFile = filepath.Join(t.TempDir(), name+".jsonc")
	p.logFile = filepath.Join(t.TempDir(), name+".log")
	require.NoError(t, os.WriteFile(p.settingsFile, []byte(text), 0o600))
	return p
}

// start starts the process and waits until the entry is ready.
func (p *entryProcess) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	p.cmd = exec.Command(p.binary, "front", "-settings", p.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = out, os.Stderr
	require.NoError(p.t, p.cmd.Start())
	_ = out.Close()
	cmd := p.cmd
	p.t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	p.waitUntil(func() bool { return p.isReady() }, "the entry is ready")
}

// waitUntil fails the test if the condition does not hold within waitTimeout.
func (p *entryProcess) waitUntil(condition func() bool, what string) {
	p.t.Helper()
	require.True(p.t, platformtest.Await(waitTimeout, 10*time.Millisecond, condition), what)
}

func (p *entryProcess) isReady() bool {
	res, err := http.Get("http://" + p.readinessAddress + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// hasLogged reports whether the log contains the text.
func (p *entryProcess) hasLogged(text string) bool {
	content, err := os.ReadFile(p.logFile)
	return err == nil && bytes.Contains(content, []byte(text))
}

// request sends a request on a new connection and returns the status and the body. It
// returns an error if the response is incomplete.
func (p *entryProcess) request(method, path, id, key string) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+p.address+path, strings.NewReader("body"))
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

// TestDeployedEntriesAcrossChangesAndFailures runs two entries as processes with a stand-in
// platform. The layers are placed, the routing table changes, an endpoint drains, the settings
// file changes, one entry is killed and restarted, and one is stopped while a stream is open.
// The test fails if a request is lost or runs twice, or if a log line is not an event.
func TestDeployedEntriesAcrossChangesAndFailures(t *testing.T) {
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
	first, second := newEntryProcess(t, binary, "front-1", store.Address()), newEntryProcess(t, binary, "front-2", store.Address())
	first.start()
	second.start()
	fullStream := ""
	for n := range platformtest.StreamEvents {
		fullStream += platformtest.Event(n + 1)
	}
	for _, p := range []*entryProcess{first, second} {
		p.waitUntil(func() bool {
			_, body, err := p.request(http.MethodPost, "/stream/x", "warm", "key")
			return err == nil && body == fullStream
		}, "layers are placed")
	}

	t.Log("the routing table removes an API key")
	store.Put("config", "main", platformtest.RoutingTable(2, "key"))
	for _, p := range []*entryProcess{first, second} {
		p.waitUntil(func() bool {
			status, _, _ := p.request(http.MethodGet, "/again/x", "old-key", "old")
			return status == http.StatusUnauthorized
		}, "the key is rejected")
	}

	t.Log("an endpoint drains")
	record(services[0], "plain", "draining", 0, 0)
	for _, p := range []*entryProcess{first, second} {
		p.waitUntil(func() bool { return p.hasLogged("endpoint leaving") }, "the entry has seen that the endpoint is draining")
	}
	ranBefore := len(services[0].Started())
	for i := range 10 {
		status, body, err := first.request(http.MethodPost, "/once/x", fmt.Sprint("once-", i), "key")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "answer of s-1", body)
	}
	require.Len(t, services[0].Started(), ranBefore)

	t.Log("the settings file changes, first to an invalid one")
	validSettings := readFile(t, first.settingsFile)
	require.NoError(t, os.WriteFile(first.settingsFile, []byte(`{"front": {}}`), 0o600))
	require.NoError(t, first.cmd.Process.Signal(syscall.SIGHUP))
	first.waitUntil(func() bool { return first.hasLogged("settings ignored") }, "the mistake is logged")
	require.NoError(t, os.WriteFile(first.settingsFile, []byte(validSettings), 0o600))
	require.NoError(t, first.cmd.Process.Signal(syscall.SIGHUP))
	first.waitUntil(func() bool { return first.hasLogged("settings read") }, "the good file is read")
	require.True(t, first.isReady(), "the previous settings stay in force")

	t.Log("an entry is killed, the other one serves, and the first is restarted")
	require.NoError(t, first.cmd.Process.Kill())
	_ = first.cmd.Wait()
	status, body, err := second.request(http.MethodPost, "/stream/x", "alone", "key")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, fullStream, body)
	first.start()

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
	runsBefore := runs()
	var wg sync.WaitGroup
	wg.Add(1)
	var got string
	var gotErr error
	go func() { defer wg.Done(); _, got, gotErr = second.request(http.MethodPost, "/stream/x", "open", "key") }()
	second.waitUntil(func() bool { return runs() > runsBefore }, "the stream has begun")
	require.NoError(t, second.cmd.Process.Signal(syscall.SIGTERM))
	second.waitUntil(func() bool { return !second.isReady() }, "the entry stops being ready")
	require.NoError(t, second.cmd.Process.Signal(syscall.SIGHUP), "SIGHUP must not end the process while it stops")
	for _, e := range engines {
		e.Fail(platformtest.None, 0)
	}
	wg.Wait()
	require.NoError(t, gotErr)
	require.Equal(t, fullStream, got)
	require.NoError(t, second.cmd.Wait(), "a planned stop exits with code 0")

	requireNoDuplicateRuns(t, services, "once-")
	requireEventLines(t, first.logFile, second.logFile)
}

// requireNoDuplicateRuns checks that each request with the prefix ran at most once.
func requireNoDuplicateRuns(t *testing.T, endpoints []*platformtest.Endpoint, prefix string) {
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

// requireEventLines checks that each log line is JSON with an event number and the entry's
// name.
func requireEventLines(t *testing.T, files ...string) {
	t.Helper()
	for _, f := range files {
		s := bufio.NewScanner(strings.NewReader(readFile(t, f)))
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
