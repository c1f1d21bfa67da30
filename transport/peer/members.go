// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"cmp"
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Learn adds a list of entries to the table and opens the links that are missing.
func (m *Mesh) Learn(listed []protocol.Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	m.table.Learn(listed, now)
	if m.links != nil {
		m.dialMissing(now)
	}
}

// Known returns every known entry.
func (m *Mesh) Known() []protocol.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.Known()
}

// IsGone reports whether an incarnation of an entry is over: the entry has another incarnation by
// now, or can't be reached.
func (m *Mesh) IsGone(name string, incarnation uint64) bool {
	if name == m.Self.Name {
		return incarnation != m.Self.Incarnation
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	return now.After(m.discoveryEnd) && m.table.IsGone(name, incarnation, now)
}

// CountAlive returns how many entries are not suspected of being down.
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

// RelayCount returns the number of relays.
func (m *Mesh) RelayCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.table.RelayCount(time.Now())
}

// Owner returns the name of the entry that owns a piece of work, which is this entry if it knows no
// other.
func (m *Mesh) Owner(work string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	owner, ok := m.table.Owner(work, time.Now())
	if !ok {
		return m.Self.Name
	}
	return owner.Name
}

// ConfigVersion is the configuration version that a linked peer reported last.
type ConfigVersion struct {
	Name    string
	Version uint64
}

// Versions returns the last reported version of every linked peer, sorted by name.
func (m *Mesh) Versions() []ConfigVersion {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	versions := make([]ConfigVersion, 0, len(m.links))
	for name, l := range m.links {
		if l.isOpen() {
			versions = append(versions, ConfigVersion{Name: name, Version: l.version.Load()})
		}
	}
	slices.SortFunc(versions, func(a, b ConfigVersion) int { return cmp.Compare(a.Name, b.Name) })
	return versions
}
