// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pinerun.example/pinerun/platform/platformtest"
)

const (
	// minConfirmationWait is less than a request waits for a confirmation before it is refused.
	minConfirmationWait = 200 * time.Millisecond
	// calmPause is longer than keys are trusted without a confirmation, startPause longer than
	// requests wait for an entry that starts.
	calmPause  = keyRevocationBound + 500*time.Millisecond
	startPause = time.Second
)

// pauseProbe sends a request to an entry the moment that it runs again after a pause.
type pauseProbe struct {
	recovery *recovery
	entry    *entry
	restart  bool          // start the process first
	after    time.Duration // when to pause it
	pause    time.Duration
	done     chan *call
}

func (p *pauseProbe) run() {
	if p.restart {
		p.entry.kill()
		p.entry.start()
	}
	time.Sleep(p.after)
	p.entry.pause(syscall.SIGSTOP)
	time.Sleep(p.pause)
	p.entry.pause(syscall.SIGCONT)
	for end := time.Now().Add(recoveryBound); ; {
		q := p.recovery.sendRequest(p.entry, idempotent, permanentKey)
		if q.status != 0 || time.Now().After(end) {
			p.done <- q
			return
		}
	}
}

// TestPausedEntryRefusesNoRequestAtOnce stops processes and continues them, right after their start and
// in calm time. An entry that has just been continued has an old table, or none, which it can renew
// within milliseconds; requests were refused meanwhile ("keys can't be confirmed", "no routing table").
func TestPausedEntryRefusesNoRequestAtOnce(t *testing.T) {
	tb := newTestbed(t, platformtest.Build(t, ".."), 4)
	starts := []time.Duration{10 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 80 * time.Millisecond}
	for _, restart := range []bool{true, false} {
		var probes []*pauseProbe
		for i, e := range tb.entries {
			p := &pauseProbe{recovery: &recovery{testbed: tb}, entry: e, pause: calmPause, done: make(chan *call, 1)}
			if restart {
				p.restart, p.after, p.pause = true, starts[i], startPause
			}
			probes = append(probes, p)
			go p.run()
		}
		for _, p := range probes {
			q := <-p.done
			waited := time.Since(q.sent) >= minConfirmationWait
			assert.True(t, answered(q) || q.status == http.StatusServiceUnavailable && waited, "restart %v after %v: %s", restart, p.after, describe(q))
		}
	}
	assert.Empty(t, tb.problems)
}
