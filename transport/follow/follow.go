// SPDX-License-Identifier: Apache-2.0

// Package follow keeps an entry's configuration at the highest version that the platform or any
// peer knows.
//
// In each data center two entries, the relays, watch the manifest in the platform and send changes
// to the others. An entry that does not hear from any peer watches the platform itself. Heartbeats
// carry the version, so the peers recover from a lost message a second later.
//
//	f := &follow.Follower{Platform: p, Mesh: m, Counters: &c, OnVersion: use}
//	f.Start()
package follow

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/transport/peer"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// retryDelay is how long to wait after the platform did not answer, and between two checks
	// whether a peer was heard.
	retryDelay = 200 * time.Millisecond
	// relayTimeout is how long an entry waits for a message of a peer before it watches the
	// platform itself.
	relayTimeout = 2500 * time.Millisecond
)

// Follower keeps the configuration up to date. Set the exported fields before Start.
type Follower struct {
	Platform  *platform.Client
	Mesh      *peer.Mesh
	Counters  *metric.Set
	Logger    *slog.Logger
	OnVersion func(*config.Config) // called once for each version in force, in order

	done            lifecycle.Done
	mutex           sync.Mutex // guards the fields below and the order of versions
	store           config.Store
	previous        *config.Config
	heardAt         time.Time         // when a peer last sent its version
	manifestVersion protocol.Revision // platform version of the last manifest
	platformReached bool
	startedAt       time.Time
	applyMutex      sync.Mutex        // held while a manifest's parts are fetched
	fetchedParts    map[string][]byte // parts of a manifest that is not complete yet
}

// Start begins to watch.
func (f *Follower) Start() {
	f.startedAt = time.Now()
	go f.run()
}

// Close stops the Follower.
func (f *Follower) Close() { f.done.Close() }

// Current returns the configuration in force, or nil before the first.
func (f *Follower) Current() *config.Config { return f.store.Current() }

// Version returns the version in force, 0 before the first.
func (f *Follower) Version() uint64 {
	if c := f.store.Current(); c != nil {
		return c.Version()
	}
	return 0
}

func (f *Follower) run() {
	ctx, cancel := f.done.Context()
	defer cancel()
	for !f.done.Closed() {
		if !f.shouldWatch(time.Now()) {
			f.pause()
			continue
		}
		if err := f.watch(ctx); err != nil {
			f.markUnreached(err)
			f.pause()
		}
	}
}

func (f *Follower) pause() {
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.done.Done():
	}
}

// shouldWatch reports whether this entry watches the platform itself.
func (f *Follower) shouldWatch(now time.Time) bool {
	if f.Mesh.IsRelay() {
		return true
	}
	f.mutex.Lock()
	heardAt := f.heardAt
	f.mutex.Unlock()
	if heardAt.Before(f.startedAt) {
		heardAt = f.startedAt // a new entry gives its peers time to send
	}
	return now.Sub(heardAt) > relayTimeout
}

// watch waits for the manifest to change and applies it.
func (f *Follower) watch(ctx context.Context) error {
	o, err := f.Platform.Watch(ctx, protocol.ObjectManifest, protocol.ManifestName, f.manifestVersion)
	if err != nil {
		return err
	}
	f.markReached()
	if o.Version == f.manifestVersion {
		return nil
	}
	var m protocol.Manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		f.manifestVersion = o.Version
		f.rejectConfig(err)
		return nil
	}
	if err := f.applyManifest(ctx, m); err != nil {
		return err
	}
	f.manifestVersion = o.Version
	return nil
}

// Refresh reads and applies the manifest now, without waiting for the watch.
func (f *Follower) Refresh(ctx context.Context) error {
	o, err := f.Platform.Get(ctx, protocol.ObjectManifest, protocol.ManifestName)
	if err != nil {
		return err
	}
	var m protocol.Manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return err
	}
	return f.applyManifest(ctx, m)
}

// markReached logs when the platform answers for the first time or again after an outage.
func (f *Follower) markReached() {
	if !f.platformReached {
		f.platformReached = true
		event.PlatformBack.Log(f.Logger)
	}
}

// markUnreached logs the first failed call of an outage.
func (f *Follower) markUnreached(err error) {
	var missing *platform.NotFound
	if errors.As(err, &missing) || !f.platformReached || f.done.Closed() {
		return
	}
	f.platformReached = false
	event.PlatformUnreached.Log(f.Logger, slog.Any("cause", err))
}

// applyManifest fetches the missing parts and puts the manifest in force. Parts that were fetched
// before an error are kept for the next attempt.
func (f *Follower) applyManifest(ctx context.Context, m protocol.Manifest) error {
	f.applyMutex.Lock()
	defer f.applyMutex.Unlock()
	current := f.store.Current()
	if current != nil && m.Version <= current.Version() {
		return nil
	}
	if f.fetchedParts == nil {
		f.fetchedParts = map[string][]byte{}
	}
	contents := make(map[string][]byte, len(m.Parts))
	for _, ref := range m.Parts {
		content, err := f.fetchPart(ctx, current, ref.Hash)
		if err != nil {
			return err
		}
		contents[ref.Hash] = content
	}
	f.fetchedParts = nil
	c, err := config.Build(m, contents)
	if err != nil {
		f.rejectConfig(err)
		return nil
	}
	f.activate(c)
	return nil
}

// fetchPart returns a part from the configuration in force, from an earlier attempt or from the
// platform; nil if the platform has no such part.
func (f *Follower) fetchPart(ctx context.Context, current *config.Config, hash string) ([]byte, error) {
	if content := current.Content(hash); content != nil {
		return content, nil
	}
	if content, ok := f.fetchedParts[hash]; ok {
		return content, nil
	}
	if newer := f.store.Current(); newer != current && newer.Content(hash) != nil {
		return newer.Content(hash), nil // a peer sent it meanwhile
	}
	o, err := f.Platform.Get(ctx, protocol.ObjectPart, hash)
	var missing *platform.NotFound
	if err != nil && !errors.As(err, &missing) {
		return nil, err
	}
	f.fetchedParts[hash] = o.Value
	return o.Value, nil
}

// rejectConfig counts and logs a configuration that is ignored.
func (f *Follower) rejectConfig(err error) {
	f.Counters.Add(metric.ConfigIgnored, 1)
	event.ConfigIgnored.Log(f.Logger, slog.Any("cause", err))
}

// activate puts a higher version in force and passes it on.
func (f *Follower) activate(c *config.Config) {
	f.mutex.Lock()
	previous := f.store.Current()
	if !f.store.Offer(c) {
		f.mutex.Unlock()
		return
	}
	f.previous = previous
	f.OnVersion(c)
	f.mutex.Unlock()
	f.Counters.Add(metric.ConfigAccepted, 1)
	event.ConfigInForce.Log(f.Logger, slog.Uint64("version", c.Version()))
	if f.Mesh.IsRelay() {
		change := c.ChangeSince(previous)
		f.Mesh.Broadcast(protocol.PeerFrame{Change: &change})
		return
	}
	f.Mesh.SendHeartbeats() // send the version without waiting for the next heartbeat
}

// HandleFrame handles what a peer sends about configurations.
func (f *Follower) HandleFrame(from string, frame *protocol.PeerFrame) {
	if frame.Change != nil {
		f.applyChange(from, frame.Change)
	}
	if frame.Heartbeat != nil {
		f.compareVersions(from, frame.Heartbeat.Version, frame.WantConfig)
	}
}

func (f *Follower) applyChange(from string, change *protocol.ConfigChange) {
	current := f.store.Current()
	if current != nil && change.Version <= current.Version() {
		return
	}
	c, err := current.Apply(*change)
	var baseMismatch *config.BaseMismatchError
	switch {
	case errors.As(err, &baseMismatch):
		f.requestChange(from)
	case err != nil:
		f.rejectConfig(err)
	default:
		f.activate(c)
	}
}

// requestChange asks a peer for the changes since the version in force.
func (f *Follower) requestChange(from string) {
	heartbeat := protocol.PeerHeartbeat{Version: f.Version()}
	f.Mesh.Send(from, protocol.PeerFrame{WantConfig: true, Heartbeat: &heartbeat})
}

// compareVersions recovers from a lost change: it requests the change from a peer with a higher
// version, and sends it to a peer with a lower one that requests it.
func (f *Follower) compareVersions(from string, peerVersion uint64, wanted bool) {
	f.mutex.Lock()
	f.heardAt = time.Now()
	c, previous := f.store.Current(), f.previous
	f.mutex.Unlock()
	ownVersion := f.Version()
	switch {
	case peerVersion > ownVersion:
		f.requestChange(from)
	case wanted && peerVersion < ownVersion:
		var base *config.Config
		if previous != nil && previous.Version() == peerVersion {
			base = previous
		}
		change := c.ChangeSince(base)
		f.Mesh.Send(from, protocol.PeerFrame{Change: &change})
	}
}
