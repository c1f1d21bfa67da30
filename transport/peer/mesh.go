// SPDX-License-Identifier: Apache-2.0

// Package peer connects entries to each other by WebSocket with CBOR frames.
//
// A Mesh keeps a link to each peer that coordination/member names, sends a heartbeat on each link
// once a second, and passes every frame to its Handler. A frame may be lost at any time. A sender
// that depends on a frame repeats it.
//
//	m := &peer.Mesh{Self: self, Key: key, Handler: h, Counters: &c}
//	http.Handle("/peer", m)
//	m.Start()
//	m.Send("entry-3", protocol.PeerFrame{...})
package peer

import (
	"crypto/tls"
	"log/slog"
	"sync"
	"time"

	"pinerun.example/pinerun/coordination/member"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

const (
	// HeartbeatInterval is the time between two heartbeats on a link.
	HeartbeatInterval = time.Second
	// silenceTimeout is the time without a frame after which a link is closed.
	silenceTimeout = 3500 * time.Millisecond
	// requestedLinkTTL is how long a link that was opened for Send stays without being used.
	requestedLinkTTL = time.Minute
	dialTimeout      = time.Second
	// discoveryTime is how long after its start an entry is assumed to know all others: long enough
	// for the platform's list and two heartbeats.
	discoveryTime = 3 * time.Second
	// Path is the URL path at which a Mesh is served.
	Path      = "/peer"
	keyHeader = "Authorization"
	keyPrefix = "Bearer "
)

// Handler handles the frames of peers. Its methods are called from many goroutines.
type Handler interface {
	// HandleFrame handles a frame from a peer.
	HandleFrame(from string, f *protocol.PeerFrame)
	// Heartbeat returns the next heartbeat for the peers.
	Heartbeat() protocol.PeerHeartbeat
	// UnresolvedWork returns the reports of unresolved work that may crash runners, for a peer that
	// has just connected.
	UnresolvedWork() []protocol.WorkReport
}

// Mesh is the set of links from an entry to its peers. Set the exported fields before Start.
type Mesh struct {
	Self     protocol.Member
	Key      string
	TLS      *tls.Config // for outgoing links, nil for plain TCP
	Handler  Handler
	Counters *metric.Set
	Logger   *slog.Logger
	// DropFrame, if set, reports for each frame whether to drop it; for tests.
	DropFrame func() bool

	done         lifecycle.Done
	mutex        sync.Mutex
	table        member.Table
	discoveryEnd time.Time // from when entries that are missing in the table count as gone
	links        map[string]*link
	requested    map[string]time.Time // by peer, until when a link that Send asked for is kept
	leaving      bool
}

// Start starts to connect to peers and to send heartbeats.
func (m *Mesh) Start() {
	m.mutex.Lock()
	m.init()
	m.discoveryEnd = time.Now().Add(discoveryTime)
	m.mutex.Unlock()
	go m.run()
}

func (m *Mesh) init() {
	if m.links == nil {
		m.links = map[string]*link{}
		m.requested = map[string]time.Time{}
	}
}

// Close closes every link.
func (m *Mesh) Close() {
	m.done.Close()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, l := range m.links {
		l.done.Close()
	}
}

// Leave announces to the peers that this entry takes no new work, so that other entries take over
// the work that it owns.
func (m *Mesh) Leave() {
	m.mutex.Lock()
	m.leaving = true
	m.table.Forget(m.Self.Name)
	m.mutex.Unlock()
	m.SendHeartbeats()
}

// SendHeartbeats sends a heartbeat on every link now.
func (m *Mesh) SendHeartbeats() {
	heartbeat := m.Handler.Heartbeat()
	m.mutex.Lock()
	heartbeat.Stopping = m.leaving
	m.mutex.Unlock()
	m.Broadcast(protocol.PeerFrame{Heartbeat: &heartbeat})
}

// Send queues a frame on the link to a peer and reports whether there is one. If there is none, it
// is opened for later frames.
func (m *Mesh) Send(to string, f protocol.PeerFrame) bool {
	m.mutex.Lock()
	l := m.links[to]
	if l == nil && m.requested != nil {
		m.requested[to] = time.Now().Add(requestedLinkTTL)
		m.dialMissing(time.Now())
	}
	m.mutex.Unlock()
	return l != nil && l.send(f)
}

// Broadcast queues a frame on every link.
func (m *Mesh) Broadcast(f protocol.PeerFrame) {
	m.mutex.Lock()
	links := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		links = append(links, l)
	}
	m.mutex.Unlock()
	for _, l := range links {
		l.send(f)
	}
}

// run maintains the links and sends heartbeats until the mesh is closed.
func (m *Mesh) run() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	m.tick(time.Now())
	for {
		select {
		case <-m.done.Done():
			return
		case now := <-ticker.C:
			m.tick(now)
		}
	}
}

// tick closes silent links, opens missing ones and sends heartbeats.
func (m *Mesh) tick(now time.Time) {
	m.mutex.Lock()
	for name, l := range m.links {
		if l.isSilent(now) {
			l.done.Close()
			delete(m.links, name)
			m.table.Suspect(name, now)
			event.PeerLost.Log(m.Logger, slog.String("peer", name), slog.String("cause", "silence"))
		}
	}
	m.dialMissing(now)
	m.mutex.Unlock()
	m.SendHeartbeats()
}

// dialMissing opens the links that are missing. The mutex is held.
func (m *Mesh) dialMissing(now time.Time) {
	peers := m.table.Peers(m.Self, now)
	for _, known := range m.table.Alive(now) {
		if now.Before(m.requested[known.Name]) && known.Name != m.Self.Name {
			peers = append(peers, known)
		}
	}
	for _, p := range peers {
		if m.links[p.Name] != nil || m.done.Closed() {
			continue
		}
		l := newLink(m, p.Name)
		m.links[p.Name] = l
		go (&dialer{link: l, address: p.Address}).run()
	}
}

// registerLink registers a link under its peer's name.
func (m *Mesh) registerLink(l *link) {
	m.mutex.Lock()
	m.init()
	old := m.links[l.name]
	m.links[l.name] = l
	if l.dialedName != l.name && m.links[l.dialedName] == l {
		delete(m.links, l.dialedName) // a seed entry whose name is known now
	}
	m.table.MarkAlive(l.name, time.Now())
	m.mutex.Unlock()
	if old != nil && old != l && old.isOpen() {
		return // both sides dialed at the same time; this is the second link
	}
	m.Counters.Add(metric.PeerConnections, 1)
	event.PeerConnected.Log(m.Logger, slog.String("peer", l.name))
}

// removeLink removes a broken link.
func (m *Mesh) removeLink(l *link, err error) {
	l.done.Close()
	m.mutex.Lock()
	current := m.links[l.name] == l
	if current {
		delete(m.links, l.name)
		m.table.Suspect(l.name, time.Now())
	}
	m.mutex.Unlock()
	if current && !m.done.Closed() {
		event.PeerLost.Log(m.Logger, slog.String("peer", l.name), slog.Any("cause", err))
	}
}

// applyMembership updates the membership table with a frame of a peer.
func (m *Mesh) applyMembership(l *link, f *protocol.PeerFrame) {
	m.mutex.Lock()
	if f.Hello != nil {
		m.table.Learn([]protocol.Member{*f.Hello}, time.Now())
	}
	if f.Heartbeat != nil && f.Heartbeat.Stopping {
		m.table.Forget(l.name)
	}
	if len(f.Members) > 0 {
		m.table.Learn(f.Members, time.Now())
	}
	m.table.MarkAlive(l.name, time.Now())
	current := m.links[l.name]
	m.mutex.Unlock()
	if f.Heartbeat != nil && current != nil {
		current.version.Store(f.Heartbeat.Version)
	}
	if current != nil && current != l {
		// Both sides dialed at the same time, and each sends on its own link. A frame on either
		// shows that the peer is alive, for both links.
		current.recordFrame()
	}
}
