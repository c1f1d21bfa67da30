// SPDX-License-Identifier: Apache-2.0

// Package era holds the era of the platform's store that an entry knows to be the latest.
//
// A store that comes back from a copy begins a new era. What it answered before is about a history
// that no longer exists, and may arrive later: on another connection, or through a peer. A Tracker
// tells such answers from those of the latest era:
//
//	if !t.Observe(era) { ... } // the answer is of an earlier era; do not use it
//	if n := t.Restores(); n != seen { ... } // the store was restored
package era

import (
	"sync"

	"pinerun.example/pinerun/internal/lifecycle"
)

// Tracker holds the latest era. The zero value has seen no answer. A nil *Tracker knows era 0 only.
type Tracker struct {
	mutex    sync.Mutex
	answered bool
	latest   uint64
	restores int
	restored lifecycle.Signal
}

// Observe notes the era of an answer, and reports whether it is the latest one.
func (t *Tracker) Observe(era uint64) bool {
	if t == nil {
		return true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if era < t.latest {
		return false
	}
	if t.answered && era > t.latest {
		t.restores++
		t.restored.Broadcast()
	}
	t.answered, t.latest = true, era
	return true
}

// Latest returns the latest era, 0 before the first answer.
func (t *Tracker) Latest() uint64 {
	if t == nil {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.latest
}

// Restores returns how often the era has risen since the first answer.
func (t *Tracker) Restores() int {
	if t == nil {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.restores
}

// Restored returns a channel that is closed when the era rises the next time.
func (t *Tracker) Restored() <-chan struct{} {
	if t == nil {
		return nil
	}
	return t.restored.Changed()
}
