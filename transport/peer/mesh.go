// SPDX-License-Identifier: Apache-2.0

// Package peer connects entries to each other: WebSocket with CBOR frames.
//
// A Mesh keeps a link to each peer that coordination/member names, sends a
// heartbeat on each once a second, and hands every frame to its Handler. A frame
// may be lost at any time; whoever sends one that matters sends it again.
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
	// silentFor is the time without a frame after which a link is closed.
	silentFor = 3500 * time.Millisecond
	// wantedFor is how long a link that was asked for stays without being used.
	wantedFor = time.Minute
	dialLimit = time.Second
	// learnWithin is how long after its start an entry has heard of all others: the
	// platform's list and two heartbeats.
	learnWithin = 3 * time.Second
	// Path is where a Mesh is served.
	Path      = "/peer"
	keyHeader = "Authorization"
	keyPrefix = "Bearer "
)

// Handler gets what peers say. Its methods are called from many goroutines.
type Handler interface {
	// HandleFrame takes a frame from a peer.
	HandleFrame(from string, f *protocol.PeerFrame)
	// Heartbeat returns what to tell peers now.
	Heartbeat() protocol.PeerHeartbeat
	// UnresolvedWork returns what to tell a peer that has just been met of work that may end runners.
	UnresolvedWork() []protocol.WorkReport
}

// Mesh is an entry's links to its peers. Set the exported fields before Start.
type Mesh struct {
	Self     protocol.Member
	Key      string
	TLS      *tls.Config // for dialling, nil for plain TCP
	Handler  Handler
	Counters *metric.Set
	Logger   *slog.Logger
	// DropFrame, if set, is asked for each frame whether to lose it; for tests.
	DropFrame func() bool

	done      lifecycle.Done
	mutex     sync.Mutex
	table     member.Table
	knowsFrom time.Time // from when entries that are not in the table are gone
	links     map[string]*link
	wanted    map[string]time.Time // until when a link is kept that was asked for
	stops     bool
}

// Start begins to connect and to send heartbeats.
func (m *Mesh) Start() {
	m.mutex.Lock()
	m.init()
	m.knowsFrom = time.Now().Add(learnWithin)
	m.mutex.Unlock()
	go m.run()
}

func (m *Mesh) init() {
	if m.links == nil {
		m.links = map[string]*link{}
		m.wanted = map[string]time.Time{}
	}
}

// Close ends every link.
func (m *Mesh) Close() {
	m.done.Close()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, l := range m.links {
		l.done.Close()
	}
}

// Leave tells the peers that this entry takes no new work, so that others
// take over what it ranks first for.
func (m *Mesh) Leave() {
	m.mutex.Lock()
	m.stops = true
	m.table.Forget(m.Self.Name)
	m.mutex.Unlock()
	m.SendHeartbeats()
}

// SendHeartbeats sends a heartbeat on every link now.
func (m *Mesh) SendHeartbeats() {
	beat := m.Handler.Heartbeat()
	m.mutex.Lock()
	beat.Stopping = m.stops
	m.mutex.Unlock()
	m.Broadcast(protocol.PeerFrame{Heartbeat: &beat})
}

// Send gives a frame to a peer's link and reports whether there is one. If
// there is none it is opened for the next time.
func (m *Mesh) Send(to string, f protocol.PeerFrame) bool {
	m.mutex.Lock()
	l := m.links[to]
	if l == nil && m.wanted != nil {
		m.wanted[to] = time.Now().Add(wantedFor)
		m.dialMissing(time.Now())
	}
	m.mutex.Unlock()
	return l != nil && l.send(f)
}

// Broadcast gives a frame to every link.
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

// run keeps links and heartbeats going.
func (m *Mesh) run() {
	t := time.NewTicker(HeartbeatInterval)
	defer t.Stop()
	m.tick(time.Now())
	for {
		select {
		case <-m.done.Done():
			return
		case now := <-t.C:
			m.tick(now)
		}
	}
}

func (m *Mesh) tick(now time.Time) {
	m.mutex.Lock()
	for name, l := range m.links {
		if l.silent(now) {
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

// dialMissing opens the links that should be there. The mutex is held.
func (m *Mesh) dialMissing(now time.Time) {
	peers := m.table.Peers(m.Self, now)
	for _, k := range m.table.Alive(now) {
		if now.Before(m.wanted[k.Name]) && k.Name != m.Self.Name {
			peers = append(peers, k)
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

// opened registers a link under its peer's name.
func (m *Mesh) opened(l *link) {
	m.mutex.Lock()
	m.init()
	old := m.links[l.name]
	m.links[l.name] = l
	if l.asked != l.name && m.links[l.asked] == l {
		delete(m.links, l.asked) // a seed that now has a name
	}
	m.table.MarkAlive(l.name, time.Now())
	m.mutex.Unlock()
	if old != nil && old != l && old.isOpen() {
		return // the second of two links that were dialled at once
	}
	m.Counters.Add(metric.PeerConnections, 1)
	event.PeerConnected.Log(m.Logger, slog.String("peer", l.name))
}

// lost removes a link that broke.
func (m *Mesh) lost(l *link, err error) {
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

// heard notes a frame of a peer.
func (m *Mesh) heard(l *link, f *protocol.PeerFrame) {
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
		current.told.Store(f.Heartbeat.Version)
	}
	if current != nil && current != l {
		// Both sides dialled at once: each sends on its own link, and a word on
		// either is a sign of life for both.
		current.note()
	}
}
