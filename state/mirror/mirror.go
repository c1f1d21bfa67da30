// SPDX-License-Identifier: Apache-2.0

// Package mirror holds an entry's copy of the platform's objects and their latest changes,
// so that other entries can read them from this entry instead of the platform.
//
// A Mirror applies whole lists and deltas, in any order, from the platform and from other
// entries. It returns the changes since a revision. A Mirror is safe for concurrent use:
//
//	m.ApplyList("servers", listing)
//	m.Apply("servers", mirror.Delta{After: 7, To: 9, Changes: changes})
//	delta, ok := m.Since("servers", 7)
package mirror

import (
	"slices"
	"strings"
	"sync"

	"pinerun.example/pinerun/internal/lifecycle"
	"pinerun.example/pinerun/protocol"
)

const (
	// maxDeltas and maxDeltaBytes (of values) bound the changes that are kept of a kind. They
	// hold about ten seconds of changes on a day on which the whole fleet changes.
	maxDeltas     = 128
	maxDeltaBytes = 4 << 20
)

// Delta leads from a kind's state at revision After to its state at revision To. A delta
// that was watched also applies to states between After and To. A ListDiff, the difference
// between two lists, does not: it lacks objects that were created and deleted between them.
// A Snapshot holds all objects at To, and applies to any state.
type Delta struct {
	After    protocol.Revision
	To       protocol.Revision
	ListDiff bool
	Snapshot bool
	Changes  []protocol.Change
}

// listing returns the objects of a snapshot.
func (d *Delta) listing() protocol.Listing {
	l := protocol.Listing{Revision: d.To}
	for _, c := range d.Changes {
		l.Objects = append(l.Objects, c.Object)
	}
	return l
}

// Mirror holds the objects of several kinds. The zero value is empty.
type Mirror struct {
	mutex   sync.Mutex
	kinds   map[string]*kindState
	changed lifecycle.Signal
}

// kindState holds the objects of one kind.
type kindState struct {
	objects  map[string]protocol.Object
	revision protocol.Revision
	deltas   []Delta // the latest deltas, each starting where the previous one ends
	bytes    int     // of the values in the deltas
}

// Revision returns the revision up to which a kind is known, the zero one before its first list.
func (m *Mirror) Revision(name string) protocol.Revision {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if k := m.kinds[name]; k != nil {
		return k.revision
	}
	return protocol.Revision{}
}

// Object returns an object and whether it exists.
func (m *Mirror) Object(kindName, name string) (protocol.Object, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := m.kinds[kindName]
	if k == nil {
		return protocol.Object{}, false
	}
	o, ok := k.objects[name]
	return o, ok
}

// Changed returns a channel that closes at the next change of any kind.
func (m *Mirror) Changed() <-chan struct{} { return m.changed.Changed() }

// ApplyList applies a whole list. It keeps the changes as a delta, so that entries that
// follow this one need no list of their own.
func (m *Mirror) ApplyList(name string, l protocol.Listing) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.applyList(name, l)
}

// applyList is ApplyList for a caller that holds the mutex.
func (m *Mirror) applyList(name string, l protocol.Listing) {
	k := m.state(name)
	if k.revision.IsZero() {
		k.revision = l.Revision
		k.revision.Number = max(1, l.Revision.Number)
		for _, o := range l.Objects {
			k.objects[o.Name] = o
		}
		m.changed.Broadcast()
		return
	}
	if !k.revision.Before(l.Revision) {
		return // nothing new, or requested before newer changes arrived
	}
	k.append(k.diffTo(l))
	k.revision = l.Revision
	m.changed.Broadcast()
}

// List returns all objects of a kind, and whether the kind was ever listed.
func (m *Mirror) List(name string) (protocol.Listing, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := m.kinds[name]
	if k == nil || k.revision.IsZero() {
		return protocol.Listing{}, false
	}
	l := protocol.Listing{Revision: k.revision, Objects: make([]protocol.Object, 0, len(k.objects))}
	for _, o := range k.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, true
}

// Snapshot returns all objects of a kind as one delta, for a follower whose changes since
// its revision are no longer kept.
func (m *Mirror) Snapshot(name string) Delta {
	l, _ := m.List(name)
	d := Delta{To: l.Revision, Snapshot: true}
	for _, o := range l.Objects {
		d.Changes = append(d.Changes, protocol.Change{Object: o})
	}
	slices.SortFunc(d.Changes, func(a, b protocol.Change) int { return strings.Compare(a.Object.Name, b.Object.Name) })
	return d
}

// Forget drops a kind, which then has to be listed again.
func (m *Mirror) Forget(name string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.kinds, name)
	m.changed.Broadcast()
}

// Apply applies a delta, and reports whether it continues from the known state. A delta
// that ends at or before the known revision is already known.
func (m *Mirror) Apply(name string, d Delta) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if d.Snapshot {
		m.applyList(name, d.listing())
		return true
	}
	k := m.state(name)
	if !k.revision.Before(d.To) {
		return true
	}
	if k.revision.IsZero() || k.revision.Before(d.After) || d.ListDiff && d.After != k.revision {
		return false
	}
	d.After = k.revision
	k.append(d)
	k.revision = d.To
	m.changed.Broadcast()
	return true
}

// Since returns the changes after a revision as one delta, and whether they are all kept.
// If an object changed several times, the delta has only its last change.
func (m *Mirror) Since(name string, after protocol.Revision) (Delta, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := m.kinds[name]
	if k == nil || !after.Before(k.revision) {
		return Delta{After: after, To: after}, true
	}
	merged := Delta{After: after, To: after}
	if len(k.deltas) == 0 || after.Before(k.deltas[0].After) {
		return merged, false
	}
	for _, d := range k.deltas {
		if !after.Before(d.To) {
			continue
		}
		if d.ListDiff && d.After.Before(after) {
			return merged, false
		}
		merged.Changes = append(merged.Changes, d.Changes...)
		merged.To = d.To
		merged.ListDiff = merged.ListDiff || d.ListDiff
	}
	merged.Changes = lastOfEach(merged.Changes)
	return merged, true
}

// lastOfEach returns the last change of each object, in order.
func lastOfEach(changes []protocol.Change) []protocol.Change {
	last := make(map[string]int, len(changes))
	for i, c := range changes {
		last[c.Object.Name] = i
	}
	if len(last) == len(changes) {
		return changes
	}
	kept := make([]protocol.Change, 0, len(last))
	for i, c := range changes {
		if last[c.Object.Name] == i {
			kept = append(kept, c)
		}
	}
	return kept
}

// state returns the state of a kind, which it creates if necessary.
func (m *Mirror) state(name string) *kindState {
	if m.kinds == nil {
		m.kinds = make(map[string]*kindState)
	}
	k := m.kinds[name]
	if k == nil {
		k = &kindState{objects: make(map[string]protocol.Object)}
		m.kinds[name] = k
	}
	return k
}

// diffTo returns the delta from the known state to a list.
func (k *kindState) diffTo(l protocol.Listing) Delta {
	d := Delta{After: k.revision, To: l.Revision, ListDiff: true}
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
		if known, ok := k.objects[o.Name]; !ok || known.Version.Before(o.Version) {
			d.Changes = append(d.Changes, protocol.Change{Object: o})
		}
	}
	for _, o := range k.objects {
		if !listed[o.Name] {
			o.Version = l.Revision // it was deleted by then
			d.Changes = append(d.Changes, protocol.Change{Object: o, Deleted: true})
		}
	}
	return d
}

// append keeps a delta that continues from the last one, and applies it.
func (k *kindState) append(d Delta) {
	for _, c := range d.Changes {
		k.bytes += len(c.Object.Value)
		if c.Deleted {
			delete(k.objects, c.Object.Name)
		} else {
			k.objects[c.Object.Name] = c.Object
		}
	}
	k.deltas = append(k.deltas, d)
	for len(k.deltas) > 1 && (len(k.deltas) > maxDeltas || k.bytes > maxDeltaBytes) {
		for _, c := range k.deltas[0].Changes {
			k.bytes -= len(c.Object.Value)
		}
		k.deltas = slices.Delete(k.deltas, 0, 1)
	}
}
