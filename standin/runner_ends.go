// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"pinerun.example/pinerun/protocol"
)

// ends says under which prompts engines end. The zero value says under none.
type ends struct {
	mutex  sync.Mutex
	text   string        // that a prompt holds; "" for no prompt
	away   time.Duration // from an end to the next life
	count  int
	lives  []*Runner // that came after an end
	closed bool
}

// CrashOn makes each engine that begins to run a prompt which holds a text end, as a process that
// crashes does, and come back after a time, with nothing of before. Engines of later stages get no
// prompt and live.
func (d *Deployment) CrashOn(text string, away time.Duration) {
	d.ends.mutex.Lock()
	defer d.ends.mutex.Unlock()
	d.ends.text, d.ends.away = text, away
}

// Crashes returns how many lives of engines ended so.
func (d *Deployment) Crashes() int {
	d.ends.mutex.Lock()
	defer d.ends.mutex.Unlock()
	return d.ends.count
}

// under reports whether an engine ends under one of some steps.
func (e *ends) under(batch []job) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.text == "" {
		return false
	}
	for i := range batch {
		if strings.Contains(protocol.Text(batch[i].step.Tokens), e.text) {
			e.count++
			return true
		}
	}
	return false
}

// close ends every later life, and lets none begin.
func (e *ends) close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.closed = true
	for _, r := range e.lives {
		r.Close()
	}
}

// crash is the end of an engine's process, and the start of its next one.
type crash struct {
	ends   *ends
	runner *Runner
}

func (c *crash) run() {
	old := c.runner
	old.Close()
	time.Sleep(c.ends.away)
	c.ends.mutex.Lock()
	defer c.ends.mutex.Unlock()
	if c.ends.closed {
		return
	}
	next := &Runner{Spec: old.Spec, Layers: old.Layers, ExecutionLog: old.ExecutionLog, Unfenced: old.Unfenced, ends: old.ends}
	if err := next.Listen(old.Spec.Address); err != nil {
		slog.Error("a stand-in engine did not come back", "runner", old.Spec.Name, "cause", err)
		return
	}
	c.ends.lives = append(c.ends.lives, next)
}
