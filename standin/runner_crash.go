// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"pinerun.example/pinerun/protocol"
)

// crashTrigger defines which prompts crash an engine. The zero value triggers no crash.
type crashTrigger struct {
	mutex        sync.Mutex
	prompt       string        // text that triggers a crash if a prompt contains it; "" for none
	restartDelay time.Duration // from the crash to the restart
	crashes      int
	restarted    []*Runner // engines that restarted after a crash
	closed       bool
}

// CrashOn makes an engine crash when it starts to run a prompt that contains a text. The engine
// restarts after a delay, without its previous state. Engines of later stages receive no prompt
// and don't crash.
func (d *Deployment) CrashOn(text string, restartDelay time.Duration) {
	d.crashTrigger.mutex.Lock()
	defer d.crashTrigger.mutex.Unlock()
	d.crashTrigger.prompt, d.crashTrigger.restartDelay = text, restartDelay
}

// Crashes returns the number of crashes that CrashOn has caused.
func (d *Deployment) Crashes() int {
	d.crashTrigger.mutex.Lock()
	defer d.crashTrigger.mutex.Unlock()
	return d.crashTrigger.crashes
}

// triggeredBy reports whether a step of a batch crashes the engine, and counts the crash.
func (t *crashTrigger) triggeredBy(batch []job) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.prompt == "" {
		return false
	}
	for i := range batch {
		if strings.Contains(protocol.Text(batch[i].step.Tokens), t.prompt) {
			t.crashes++
			return true
		}
	}
	return false
}

// close stops all restarted engines and prevents further restarts.
func (t *crashTrigger) close() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.closed = true
	for _, r := range t.restarted {
		r.Close()
	}
}

// crash stops an engine and restarts it after a delay.
type crash struct {
	trigger *crashTrigger
	runner  *Runner
}

func (c *crash) run() {
	old := c.runner
	old.Close()
	time.Sleep(c.trigger.restartDelay)
	c.trigger.mutex.Lock()
	defer c.trigger.mutex.Unlock()
	if c.trigger.closed {
		return
	}
	next := &Runner{Spec: old.Spec, Layers: old.Layers, ExecutionLog: old.ExecutionLog, Unfenced: old.Unfenced, crashTrigger: old.crashTrigger}
	if err := next.Listen(old.Spec.Address); err != nil {
		slog.Error("stand-in engine did not restart", "runner", old.Spec.Name, "cause", err)
		return
	}
	c.trigger.restarted = append(c.trigger.restarted, next)
}
