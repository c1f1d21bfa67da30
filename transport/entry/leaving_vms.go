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

// vmListInterval is the average interval at which the platform's list of VMs is
// read. The list is long, so the relays take turns and share what they read.
const vmListInterval = time.Second

// leavingVMs holds the VMs that the platform lists as leaving, by the newest list
// that this entry has read or received from a peer.
type leavingVMs struct {
	mutex  sync.Mutex
	names  map[string]bool
	readAt time.Time // when the list was read, here or at a peer
}

// replace replaces the list if the new one was read later, and reports whether it
// did.
func (l *leavingVMs) replace(names []string, readAt time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !readAt.After(l.readAt) {
		return false
	}
	l.readAt = readAt
	l.names = make(map[string]bool, len(names))
	for _, name := range names {
		l.names[name] = true
	}
	return true
}

func (l *leavingVMs) has(vm string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.names[vm]
}

// list returns the sorted names and the age of the list in milliseconds, which is
// 0 if no list has been read.
func (l *leavingVMs) list(now time.Time) (names []string, ageMS int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.readAt.IsZero() {
		return nil, 0
	}
	return slices.Sorted(maps.Keys(l.names)), max(1, now.Sub(l.readAt).Milliseconds())
}

// vmPoller reads the platform's list of VMs while this entry is a relay.
type vmPoller struct{ entry *Entry }

func (p *vmPoller) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		t := time.NewTimer(p.nextDelay())
		select {
		case <-p.entry.done.Done():
			t.Stop()
			return
		case <-t.C:
			if p.entry.mesh.IsRelay() {
				p.poll(ctx)
			}
		}
	}
}

// nextDelay returns the jittered delay until the next poll. It is proportional to
// the number of relays, which take turns.
func (p *vmPoller) nextDelay() time.Duration {
	interval := time.Duration(p.entry.mesh.RelayCount()) * vmListInterval
	return interval/2 + rand.N(interval)
}

func (p *vmPoller) poll(ctx context.Context) {
	now := time.Now()
	vms, err := p.entry.platform.VMs(ctx)
	if err != nil {
		return // keep the previous list
	}
	var leaving []string
	for _, vm := range vms {
		if vm.Leaving {
			leaving = append(leaving, vm.Name)
		}
	}
	p.entry.setLeaving(leaving, now)
}

// setLeaving replaces the list of leaving VMs if the new one is newer, and marks
// the runners on them.
func (e *Entry) setLeaving(vms []string, readAt time.Time) {
	if !e.leaving.replace(vms, readAt) {
		return
	}
	for _, r := range e.view.Load().Runners() {
		r.SetVMLeaving(e.leaving.has(r.Spec().VM))
	}
}

// receiveLeaving applies a peer's report of leaving runners and VMs.
func (e *Entry) receiveLeaving(heartbeat *protocol.PeerHeartbeat) {
	for _, name := range heartbeat.Leaving {
		if r := e.view.Load().Runner(name); r != nil {
			r.MarkLeaving()
		}
	}
	if heartbeat.VMListAgeMS > 0 {
		e.setLeaving(heartbeat.LeavingVMs, time.Now().Add(-time.Duration(heartbeat.VMListAgeMS)*time.Millisecond))
	}
}

// addLeaving adds the runners and VMs that this entry knows to be leaving to a
// heartbeat.
func (e *Entry) addLeaving(heartbeat *protocol.PeerHeartbeat) {
	for name, r := range e.view.Load().Runners() {
		if r.DeclaredLeaving() && !r.Spec().Drain {
			heartbeat.Leaving = append(heartbeat.Leaving, name)
		}
	}
	heartbeat.LeavingVMs, heartbeat.VMListAgeMS = e.leaving.list(time.Now())
}
