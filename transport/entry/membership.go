// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"pinerun.example/pinerun/coordination/member"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// Relays read the platform's list of entries often, the others rarely.
	listAsRelay = 10 * time.Second
	listAsOther = 60 * time.Second
	// listAtFirst is the pause between tries until the first list was read.
	listAtFirst = 500 * time.Millisecond
	// refreshEvery is how often an entry writes its own line anew.
	refreshEvery = 5 * time.Minute
)

// registration keeps this entry's line in the platform and reads the others'.
type registration struct {
	entry     *Entry
	version   uint64 // of our line, 0 when unknown
	refreshAt time.Time
	listed    bool
	sweep     member.Sweep
}

func (r *registration) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for !r.entry.done.Closed() {
		r.step(ctx, time.Now())
		t := time.NewTimer(r.pause())
		select {
		case <-t.C:
		case <-r.entry.done.Done():
			t.Stop()
		}
	}
}

// pause is jittered, so that entries started together do not ask together.
func (r *registration) pause() time.Duration {
	p := listAsOther
	switch {
	case !r.listed:
		p = listAtFirst
	case r.entry.mesh.IsRelay():
		p = listAsRelay
	}
	return p*3/4 + rand.N(p/2)
}

func (r *registration) step(ctx context.Context, now time.Time) {
	if !r.entry.stopping.Load() && !now.Before(r.refreshAt) && r.write(ctx) == nil {
		r.refreshAt = now.Add(refreshEvery)
	}
	objects, err := r.entry.platform.List(ctx, protocol.ObjectEntry)
	if err != nil {
		return
	}
	r.listed = true
	r.entry.mesh.Learn(membersOf(objects))
	if r.entry.mesh.Owner(member.SweepTask) == r.entry.Settings.Name {
		for _, o := range r.sweep.Stale(objects, now) {
			_ = r.entry.platform.Delete(ctx, o.Kind, o.Name, o.Version)
		}
	}
}

// membersOf reads the lines of a list and leaves out what is no member.
func membersOf(objects []protocol.Object) []protocol.Member {
	members := make([]protocol.Member, 0, len(objects))
	for _, o := range objects {
		var m protocol.Member
		if json.Unmarshal(o.Value, &m) == nil && m.Name == o.Name && m.Address != "" {
			members = append(members, m)
		}
	}
	return members
}

// write puts this entry's line into the platform, over an older one.
func (r *registration) write(ctx context.Context) error {
	value, err := json.Marshal(r.entry.mesh.Self)
	if err != nil {
		return err
	}
	version, err := r.entry.platform.Put(ctx, protocol.ObjectEntry, r.entry.Settings.Name, r.version, value)
	var conflict *platform.Conflict
	if errors.As(err, &conflict) {
		r.version = conflict.Held()
		version, err = r.entry.platform.Put(ctx, protocol.ObjectEntry, r.entry.Settings.Name, r.version, value)
	}
	if err == nil {
		r.version = version
	}
	return err
}

// removeLine takes this entry's line out of the platform at a planned stop. If
// that fails the sweep does it later.
func (e *Entry) removeLine(ctx context.Context) {
	o, err := e.platform.Get(ctx, protocol.ObjectEntry, e.Settings.Name)
	if err == nil {
		_ = e.platform.Delete(ctx, protocol.ObjectEntry, e.Settings.Name, o.Version)
	}
}

// peerHandler takes what peers say.
type peerHandler struct{ entry *Entry }

// HandleFrame takes one frame of a peer.
func (h *peerHandler) HandleFrame(from string, f *protocol.PeerFrame) {
	e := h.entry
	if f.Heartbeat != nil {
		e.hearLeaving(f.Heartbeat)
	}
	if len(f.Work) > 0 {
		e.suspects.hear(f.Work, from)
	}
	e.follower.Frame(from, f)
	e.claims.HandleFrame(from, f)
}

// Heartbeat returns what this entry tells its peers.
func (h *peerHandler) Heartbeat() protocol.PeerHeartbeat {
	e := h.entry
	beat := protocol.PeerHeartbeat{Version: e.follower.Version()}
	e.tellLeaving(&beat)
	return beat
}

// UnresolvedWork returns what this entry knows of work that may end runners.
func (h *peerHandler) UnresolvedWork() []protocol.RelayWork { return h.entry.suspects.all() }

// liveEntries returns how many entries share the callers, at least 1.
func (e *Entry) liveEntries() int { return max(1, e.mesh.CountAlive()) }
