// SPDX-License-Identifier: Apache-2.0

// Package follow keeps an entry's configuration at the highest version that the
// platform or any peer knows.
//
// In each data center two entries, the relays, watch the manifest in the
// platform; the others get changes from them. An entry that hears no relay
// watches by itself. Heartbeats carry the version, so a lost message is made
// good a second later.
//
//	f := &follow.Follower{Platform: p, Mesh: m, Counters: &c, InForce: use}
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
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/transport/peer"
	"pinerun.example/pinerun/transport/platform"
)

const (
	// pause is how long to rest after the platform did not answer, and between
	// two looks whether a relay is heard.
	pause = 200 * time.Millisecond
	// relayQuiet is how long an entry goes without a word of a peer before it
	// watches the platform by itself.
	relayQuiet = 2500 * time.Millisecond
)

// Follower follows the configuration. Set the exported fields before Start.
type Follower struct {
	Platform  *platform.Client
	Mesh      *peer.Mesh
	Counters  *metric.Set
	Logger    *slog.Logger
	OnVersion func(*config.Config) // called once for each version, in order

	done     part.Done
	mutex    sync.Mutex // guards what follows and the order of versions
	store    config.Store
	previous *config.Config
	heardAt  time.Time // when a peer last sent its version
	version  uint64    // platform version of the manifest last seen
	reached  bool
	started  time.Time
	taking   sync.Mutex        // held while a manifest's parts are read
	fetched  map[string][]byte // parts read for a manifest that is not whole yet
}

// Start begins to follow.
func (f *Follower) Start() {
	f.started = time.Now()
	go f.run()
}

// Close ends it.
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
		if !f.mustWatch(time.Now()) {
			f.rest()
			continue
		}
		if err := f.watch(ctx); err != nil {
			f.failed(err)
			f.rest()
		}
	}
}

func (f *Follower) rest() {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.done.Done():
	}
}

// mustWatch reports whether this entry asks the platform itself.
func (f *Follower) mustWatch(now time.Time) bool {
	if f.Mesh.IsRelay() {
		return true
	}
	f.mutex.Lock()
	heard := f.heardAt
	f.mutex.Unlock()
	if heard.Before(f.started) {
		heard = f.started // a new entry gives the relays time to speak
	}
	return now.Sub(heard) > relayQuiet
}

// watch waits for the manifest to change and takes it.
func (f *Follower) watch(ctx context.Context) error {
	o, err := f.Platform.Watch(ctx, protocol.ObjectManifest, protocol.ManifestName, f.version)
	if err != nil {
		return err
	}
	f.answered()
	if o.Version == f.version {
		return nil
	}
	var m protocol.Manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		f.version = o.Version
		f.ignored(err)
		return nil
	}
	if err := f.take(ctx, m); err != nil {
		return err
	}
	f.version = o.Version
	return nil
}

// Refresh reads the manifest now, in place of waiting for the watch.
func (f *Follower) Refresh(ctx context.Context) error {
	o, err := f.Platform.Get(ctx, protocol.ObjectManifest, protocol.ManifestName)
	if err != nil {
		return err
	}
	var m protocol.Manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return err
	}
	return f.take(ctx, m)
}

func (f *Follower) answered() {
	if !f.reached {
		f.reached = true
		event.PlatformBack.Log(f.Logger)
	}
}

func (f *Follower) failed(err error) {
	var missing *platform.NotFound
	if errors.As(err, &missing) || !f.reached || f.done.Closed() {
		return
	}
	f.reached = false
	event.PlatformUnreached.Log(f.Logger, slog.Any("cause", err))
}

// take fetches the parts that are not held and puts the manifest in force. What
// was fetched before an error is kept for the next try.
func (f *Follower) take(ctx context.Context, m protocol.Manifest) error {
	f.taking.Lock()
	defer f.taking.Unlock()
	held := f.store.Current()
	if held != nil && m.Version <= held.Version() {
		return nil
	}
	if f.fetched == nil {
		f.fetched = map[string][]byte{}
	}
	contents := make(map[string][]byte, len(m.Parts))
	for _, ref := range m.Parts {
		content, err := f.part(ctx, held, ref.Hash)
		if err != nil {
			return err
		}
		contents[ref.Hash] = content
	}
	f.fetched = nil
	c, err := config.Build(m, contents)
	if err != nil {
		f.ignored(err)
		return nil
	}
	f.offer(c)
	return nil
}

// part returns a part from what is in force, from an earlier try, or from the
// platform; nil if the platform has none of that name.
func (f *Follower) part(ctx context.Context, held *config.Config, hash string) ([]byte, error) {
	if content := held.Content(hash); content != nil {
		return content, nil
	}
	if content, ok := f.fetched[hash]; ok {
		return content, nil
	}
	if newer := f.store.Current(); newer != held && newer.Content(hash) != nil {
		return newer.Content(hash), nil // a peer was faster
	}
	o, err := f.Platform.Get(ctx, protocol.ObjectPart, hash)
	var missing *platform.NotFound
	if err != nil && !errors.As(err, &missing) {
		return nil, err
	}
	f.fetched[hash] = o.Value
	return o.Value, nil
}

func (f *Follower) ignored(err error) {
	f.Counters.Add(metric.ConfigIgnored, 1)
	event.ConfigIgnored.Log(f.Logger, slog.Any("cause", err))
}

// offer puts a higher version in force and passes it on.
func (f *Follower) offer(c *config.Config) {
	f.mutex.Lock()
	held := f.store.Current()
	if !f.store.Offer(c) {
		f.mutex.Unlock()
		return
	}
	f.previous = held
	f.OnVersion(c)
	f.mutex.Unlock()
	f.Counters.Add(metric.ConfigAccepted, 1)
	event.ConfigInForce.Log(f.Logger, slog.Uint64("version", c.Version()))
	if f.Mesh.IsRelay() {
		change := c.ChangeSince(held)
		f.Mesh.Broadcast(protocol.PeerFrame{Change: &change})
		return
	}
	f.Mesh.SendHeartbeats() // tell the version without waiting for the next second
}

// HandleFrame takes what a peer says about configurations.
func (f *Follower) HandleFrame(from string, x *protocol.PeerFrame) {
	if x.Change != nil {
		f.changed(from, x.Change)
	}
	if x.Heartbeat != nil {
		f.compare(from, x.Heartbeat.Version, x.Want)
	}
}

func (f *Follower) changed(from string, change *protocol.ConfigChange) {
	held := f.store.Current()
	if held != nil && change.Version <= held.Version() {
		return
	}
	c, err := held.Apply(*change)
	var whole *config.BaseMismatchError
	switch {
	case errors.As(err, &whole):
		f.want(from)
	case err != nil:
		f.ignored(err)
	default:
		f.offer(c)
	}
}

func (f *Follower) want(from string) {
	beat := protocol.PeerHeartbeat{Version: f.Version()}
	f.Mesh.Send(from, protocol.PeerFrame{Want: true, Heartbeat: &beat})
}

// compare makes up for a lost change: it asks whoever is ahead, and answers
// whoever asks.
func (f *Follower) compare(from string, theirs uint64, wanted bool) {
	f.mutex.Lock()
	f.heardAt = time.Now()
	c, previous := f.store.Current(), f.previous
	f.mutex.Unlock()
	ours := f.Version()
	switch {
	case theirs > ours:
		f.want(from)
	case wanted && theirs < ours:
		var base *config.Config
		if previous != nil && previous.Version() == theirs {
			base = previous
		}
		change := c.ChangeSince(base)
		f.Mesh.Send(from, protocol.PeerFrame{Change: &change})
	}
}
