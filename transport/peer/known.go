// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"cmp"
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Learn takes a list of entries.
func (m *Mesh) Learn(listed []protocol.Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	m.table.Learn(listed, now)
	if m.links != nil {
		m.dialMissing(now)
	}
}

// Known returns every entry known.
func (m *Mesh) Known() []protocol.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Known()
}

// IsGone reports whether an entry's life is over: it has another life by now, or
// can't be reached.
func (m *Mesh) IsGone(name string, incarnation uint64) bool {
	if name == m.Self.Name {
		return incarnation != m.Self.Incarnation
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	return now.After(m.knowsFrom) && m.table.IsGone(name, incarnation, now)
}

// CountAlive returns how many entries are not suspected.
func (m *Mesh) CountAlive() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.CountAlive(time.Now())
}

// IsRelay reports whether this entry watches the platform for its data center.
func (m *Mesh) IsRelay() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.IsRelay(m.Self, time.Now())
}

// RelayCount returns how many entries are relays.
func (m *Mesh) RelayCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.RelayCount(time.Now())
}

// Owner returns the name of the entry that ranks first for a piece of work,
// this one's if it knows nobody.
func (m *Mesh) Owner(work string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	first, ok := m.table.Owner(work, time.Now())
	if !ok {
		return m.Self.Name
	}
	return first.Name
}

// PeerVersion is the configuration version that a linked peer last told.
type PeerVersion struct {
	Name    string
	Version uint64
}

// Versions returns what every linked peer last told, in order of name.
func (m *Mesh) Versions() []PeerVersion {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	all := make([]PeerVersion, 0, len(m.links))
	for name, l := range m.links {
		if l.isOpen() {
			all = append(all, PeerVersion{Name: name, Version: l.told.Load()})
		}
	}
	slices.SortFunc(all, func(a, b PeerVersion) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
