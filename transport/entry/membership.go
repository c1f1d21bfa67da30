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
	// relayListInterval and listInterval are how often relays and other entries read
	// the platform's list of entries.
	relayListInterval = 10 * time.Second
	listInterval      = 60 * time.Second
	// initialListInterval is the interval between attempts until the first list
	// is read.
	initialListInterval = 500 * time.Millisecond
	// recordRefreshInterval is how often an entry rewrites its own record.
	recordRefreshInterval = 5 * time.Minute
)

// registration maintains this entry's record in the platform and reads the
// records of other entries.
type registration struct {
	entry     *Entry
	version   protocol.Revision // of this entry's record, zero if unknown
	refreshAt time.Time
	listed    bool
	sweep     member.Sweep
}

func (r *registration) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for !r.entry.done.Closed() {
		r.step(ctx, time.Now())
		t := time.NewTimer(r.nextDelay())
		select {
		case <-t.C:
		case <-r.entry.done.Done():
			t.Stop()
		}
	}
}

// nextDelay returns the jittered delay until the next step, so that entries that
// started together do not call the platform together.
func (r *registration) nextDelay() time.Duration {
	interval := listInterval
	switch {
	case !r.listed:
		interval = initialListInterval
	case r.entry.mesh.IsRelay():
		interval = relayListInterval
	}
	return interval*3/4 + rand.N(interval/2)
}

// step rewrites this entry's record if it is due, reads the list of entries, and
// deletes stale records if this entry is responsible for the sweep.
func (r *registration) step(ctx context.Context, now time.Time) {
	if !r.entry.stopping.Load() && !now.Before(r.refreshAt) && r.writeRecord(ctx) == nil {
		r.refreshAt = now.Add(recordRefreshInterval)
	}
	objects, err := r.entry.platform.List(ctx, protocol.ObjectEntry)
	if err != nil {
		return
	}
	r.listed = true
	r.entry.mesh.Learn(parseMembers(objects))
	if r.entry.mesh.Owner(member.SweepTask) == r.entry.Settings.Name {
		for _, object := range r.sweep.Stale(objects, now) {
			_ = r.entry.platform.Delete(ctx, object.Kind, object.Name, object.Version)
		}
	}
}

// parseMembers decodes the records of a list and skips those that are not valid
// members.
func parseMembers(objects []protocol.Object) []protocol.Member {
	members := make([]protocol.Member, 0, len(objects))
	for _, object := range objects {
		var m protocol.Member
		if json.Unmarshal(object.Value, &m) == nil && m.Name == object.Name && m.Address != "" {
			members = append(members, m)
		}
	}
	return members
}

// writeRecord writes this entry's record to the platform and replaces an older one.
func (r *registration) writeRecord(ctx context.Context) error {
	value, err := json.Marshal(r.entry.mesh.Self)
	if err != nil {
		return err
	}
	version, err := r.entry.platform.Put(ctx, protocol.ObjectEntry, r.entry.Settings.Name, r.version, value)
	var conflict *platform.Conflict
	if errors.As(err, &conflict) {
		r.version = conflict.Version()
		version, err = r.entry.platform.Put(ctx, protocol.ObjectEntry, r.entry.Settings.Name, r.version, value)
	}
	if err == nil {
		r.version = version
	}
	return err
}

// removeRecord deletes this entry's record from the platform at a planned stop.
// If that fails, the sweep deletes it later.
func (e *Entry) removeRecord(ctx context.Context) {
	object, err := e.platform.Get(ctx, protocol.ObjectEntry, e.Settings.Name)
	if err == nil {
		_ = e.platform.Delete(ctx, protocol.ObjectEntry, e.Settings.Name, object.Version)
	}
}

// peerHandler handles frames from peers and provides what this entry sends them.
type peerHandler struct{ entry *Entry }

// HandleFrame handles one frame from a peer.
func (h *peerHandler) HandleFrame(from string, f *protocol.PeerFrame) {
	e := h.entry
	if f.Heartbeat != nil {
		e.receiveLeaving(f.Heartbeat)
	}
	if len(f.Work) > 0 {
		e.quarantine.receive(f.Work, from)
	}
	e.follower.HandleFrame(from, f)
	e.claims.HandleFrame(from, f)
}

// Heartbeat returns the heartbeat that this entry sends to its peers.
func (h *peerHandler) Heartbeat() protocol.PeerHeartbeat {
	e := h.entry
	heartbeat := protocol.PeerHeartbeat{Version: e.follower.Version()}
	e.addLeaving(&heartbeat)
	return heartbeat
}

// UnresolvedWork returns the reports about work that may crash runners.
func (h *peerHandler) UnresolvedWork() []protocol.WorkReport { return h.entry.quarantine.reports() }

// liveEntries returns the number of entries that share the load of callers, at
// least 1.
func (e *Entry) liveEntries() int { return max(1, e.mesh.CountAlive()) }
