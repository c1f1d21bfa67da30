// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pinerun.example/pinerun/protocol"
)

// vmsEvery is how often any relay reads the platform's list of VMs. The relays
// take turns and tell each other, for the list is long.
const vmsEvery = time.Second

// leavingVMs are the VMs that the platform lists as leaving, by the newest list
// that this entry has read or been told of.
type leavingVMs struct {
	mutex  sync.Mutex
	names  map[string]bool
	readAt time.Time // when the list was read, by whoever did
}

// take replaces the list by one read at a time, if that is newer.
func (l *leavingVMs) take(names []string, readAt time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !readAt.After(l.readAt) {
		return false
	}
	l.readAt = readAt
	l.names = make(map[string]bool, len(names))
	for _, n := range names {
		l.names[n] = true
	}
	return true
}

func (l *leavingVMs) has(vm string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.names[vm]
}

// list returns the names in order, and how many milliseconds ago they were
// read, 0 when they never were.
func (l *leavingVMs) list(now time.Time) (names []string, ageMS int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.readAt.IsZero() {
		return nil, 0
	}
	return slices.Sorted(maps.Keys(l.names)), max(1, now.Sub(l.readAt).Milliseconds())
}

// vmWatch reads the platform's list of VMs while this entry is a relay.
type vmWatch struct{ entry *Entry }

func (w *vmWatch) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		t := time.NewTimer(w.pause())
		select {
		case <-w.entry.done.Done():
			t.Stop()
			return
		case <-t.C:
			if w.entry.mesh.IsRelay() {
				w.step(ctx)
			}
		}
	}
}

// pause is jittered and as long as there are relays to take turns with.
func (w *vmWatch) pause() time.Duration {
	turn := time.Duration(w.entry.mesh.RelayCount()) * vmsEvery
	return turn/2 + rand.N(turn)
}

func (w *vmWatch) step(ctx context.Context) {
	now := time.Now()
	list, err := w.entry.platform.VMs(ctx)
	if err != nil {
		return // what was known stays
	}
	var leaving []string
	for _, vm := range list {
		if vm.Leaving {
			leaving = append(leaving, vm.Name)
		}
	}
	w.entry.setLeaving(leaving, now)
}

// setLeaving takes a list of leaving VMs, if it is newer than the one held, and
// marks the runners on them.
func (e *Entry) setLeaving(vms []string, readAt time.Time) {
	if !e.leaving.take(vms, readAt) {
		return
	}
	for _, r := range e.view.Load().Runners() {
		r.SetVMLeaving(e.leaving.has(r.Spec().VM))
	}
}

// hearLeaving takes what a peer says of leaving runners and VMs.
func (e *Entry) hearLeaving(b *protocol.PeerHeartbeat) {
	for _, name := range b.Leaving {
		if r := e.view.Load().Runner(name); r != nil {
			r.MarkLeaving()
		}
	}
	if b.AgeMS > 0 {
		e.setLeaving(b.VMs, time.Now().Add(-time.Duration(b.AgeMS)*time.Millisecond))
	}
}

// tellLeaving adds to a heartbeat what this entry knows to be leaving.
func (e *Entry) tellLeaving(b *protocol.PeerHeartbeat) {
	for name, r := range e.view.Load().Runners() {
		if r.DeclaredLeaving() && !r.Spec().Drain {
			b.Leaving = append(b.Leaving, name)
		}
	}
	b.VMs, b.AgeMS = e.leaving.list(time.Now())
}
