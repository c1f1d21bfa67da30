// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The figures of the deployment, those of a small one of the pages. The model is smaller, so that one
// server holds it whole.
const (
	host        = "ficu95.example"
	key         = "n2ctnfzs989anu6wsjnb"
	modelKind   = "h100"
	modelLayers = 20
	serverSlots = 6
	drainBound  = 2 * time.Second // drain_ms
	callTime    = 30 * time.Millisecond
)

// zones are the zones of the deployment.
var zones = []string{"gyor-a", "gyor-b", "gyor-c"}

// readyTimeout bounds the start of the entries and of the model.
const readyTimeout = 30 * time.Second

// bench runs the store, the servers and the entries of a case.
type bench struct {
	root, dir string
	record    *record
	store     *store
	entries   []*entry
}

// entry is one process of the program.
type entry struct {
	name      string
	callers   string // address
	readiness string // address
	port      *storePort
	process   *exec.Cmd
	settings  string // file
	log       string // file
}

// manifest returns a version of the operator's table.
func manifest(version int) map[string]any {
	route := func(name, prefix, kind, service string, attempts, timeout, target int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 1,
			"service": service, "max_attempts": attempts, "public": false, "resumable": kind == "streaming", "gap_aim_ms": 200,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("stream", "/lohu930/", "streaming", "llm", 2, 20000, 500),
			route("once", "/puxa403/", "unsafe", "api", 1, 1500, 300),
			route("again", "/cufi504/", "safe", "api", 2, 1500, 300),
		},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/health", "max_conns": 898, "engine": map[string]any{
				"slots": 192, "kv_bytes": 590000, "stride": 2, "models": []any{map[string]any{"name": "m0", "pace": 1.0, "load_s": 2.0}}, "step_ms": 0.85, "per_seq_ms": 0.00382,
				"read_per_s": 196000.0, "report_lag_ms": 200.0, "loads_at_once": 6, "usual": map[string]any{"prompt": 772, "answer": 172},
				"layers": modelLayers, "layer_mb": 1750.0, "act_bytes": 29500, "kinds": []any{map[string]any{"name": modelKind, "mb": 72000.0, "pace": 1.4, "read_x": 1.0}},
			}},
			map[string]any{"name": "api", "health_path": "/health", "max_conns": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

// startEntries starts entries in the zones in turn and waits until all are ready.
func (b *bench) startEntries(n int, zones []string) error {
	network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
	for i := range n {
		zone := zones[i%len(zones)]
		if err := b.startEntry(fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone, network+strconv.Itoa(11+i)); err != nil {
			return err
		}
	}
	return b.awaitReady()
}

// recordLog copies the log of an entry into the record.
func (b *bench) recordLog(e *entry) {
	content, err := os.ReadFile(e.log)
	if err != nil {
		b.record.add("%s has no log: %v", e.name, err)
		return
	}
	b.record.add("the log of %s:\n%s", e.name, content)
}

// startEntry starts one entry by the command of the deploy file, with settings from its template.
func (b *bench) startEntry(name, zone, ip string) error {
	port, err := b.store.listen()
	if err != nil {
		return err
	}
	e := &entry{name: name, port: port, log: filepath.Join(b.dir, name+".log")}
	addresses, err := freeAddresses(ip, 3)
	if err != nil {
		return err
	}
	e.callers, e.readiness = addresses[0], addresses[1]
	_, peers, _ := net.SplitHostPort(addresses[2])
	file := filepath.Join(b.dir, name+".jsonc")
	settings, err := b.renderSettings(map[string]any{
		"node_name": name, "zone": zone, "ip": ip, "listen.front": e.callers, "listen.readiness": e.readiness, "internal_ports.0": peers,
		"platform.address": port.address, "bounds.grace_s": 8, "bounds.revoke_ms": 5000, "bounds.retry_budget_ratio": 0.2, "bounds.retry_budget_slack": 198,
		"bounds.budget_window_s": 10, "limits.memory_mb": 284, "limits.max_fds": 4100,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	e.settings = file
	if err := b.startProcess(e); err != nil {
		return err
	}
	b.entries = append(b.entries, e)
	return nil
}

// startProcess starts the process of an entry. It ends with this program.
func (b *bench) startProcess(e *entry) error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	e.process = exec.Command(filepath.Join(b.root, "target", "pinerun"), "front", "-settings", e.settings)
	e.process.Dir, e.process.Stdout, e.process.Stderr = b.root, out, out
	e.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.process.Start(); err != nil {
		return fmt.Errorf("%w: %w; build target/pinerun first", errNotRun, err)
	}
	return nil
}

// killAll kills the processes of all entries.
func (b *bench) killAll() {
	for _, e := range b.entries {
		_ = e.process.Process.Kill()
	}
	for _, e := range b.entries {
		_ = e.process.Wait()
	}
}

// awaitReady waits until all entries are ready.
func (b *bench) awaitReady() error {
	for _, e := range b.entries {
		if !await(readyTimeout, e.isReady) {
			b.recordLog(e)
			return fmt.Errorf("%w: %s is not ready", errNotRun, e.name)
		}
		b.record.add("%s is ready", e.name)
	}
	return nil
}

// freeAddresses returns different addresses on which nobody listens.
func freeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // at the end, so that none is returned twice
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

var (
	zonesGap = regexp.MustCompile(`\{\{#zones\}\}"\{\{@\}\}"\{\{,\}\}\{\{/zones\}\}`)
	gap      = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)
)

// renderSettings fills the template of the settings as the platform does.
func (b *bench) renderSettings(values map[string]any) (string, error) {
	content, err := os.ReadFile(filepath.Join(b.root, "deploy", "front.jsonc"))
	if err != nil {
		return "", err
	}
	var missing []string
	text := zonesGap.ReplaceAllString(string(content), `"`+strings.Join(zones, `", "`)+`"`)
	text = gap.ReplaceAllStringFunc(text, func(g string) string {
		m := gap.FindStringSubmatch(g)
		v, ok := values[m[1]]
		if !ok {
			missing = append(missing, m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		j, _ := json.Marshal(v)
		return string(j)
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("%w: the template asks for %s", errNotRun, strings.Join(missing, ", "))
	}
	return text, nil
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + e.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stop ends all processes that the case started.
func (b *bench) stop() { b.killAll() }

// await waits until a condition holds, and reports whether it does in time.
func await(timeout time.Duration, holds func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
