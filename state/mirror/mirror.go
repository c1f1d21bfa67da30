// SPDX-License-Identifier: Apache-2.0

// Package mirror is what an entry knows of the platform's objects, and the latest
// changes of them, so that other entries can learn from it what the platform told.
//
// A Mirror takes whole lists and runs of changes, in whatever order they come from
// the platform and from other entries, and tells the changes since a revision. It may
// be used by several goroutines at once.
//
//	m.Listed("servers", listing)
//	m.Took("servers", mirror.Run{After: 7, At: 9, Changes: changes})
//	run, ok := m.Since("servers", 7)
package mirror

import (
	"slices"
	"strings"
	"sync"

	"pinerun.example/pinerun/internal/part"
	"pinerun.example/pinerun/protocol"
)

const (
	// keptRuns and keptBytes (of values) bound the changes that are remembered of a
	// kind: those of some ten seconds of a day on which the whole fleet changes.
	keptRuns  = 128
	keptBytes = 4 << 20
)

// Delta takes whoever knows a kind as it was at revision After to revision At. Changes
// that were watched also serve who knows a later revision than After. A difference
// between two lists does not: it lacks what came and went between them. A whole run
// holds every object there is at At, and serves who knows anything else or nothing.
type Delta struct {
	After    uint64
	To       uint64
	ListDiff bool
	Snapshot bool
	Changes  []protocol.Change
}

// listing returns what a whole run holds.
func (r *Delta) listing() protocol.Listing {
	l := protocol.Listing{At: r.To}
	for _, c := range r.Changes {
		l.Objects = append(l.Objects, c.Object)
	}
	return l
}

// Mirror holds the objects of several kinds. The zero value is empty.
type Mirror struct {
	mutex   sync.Mutex
	kinds   map[string]*kind
	changed part.Signal
}

// kind is the objects of one kind.
type kind struct {
	objects map[string]protocol.Object
	at      uint64
	runs    []Delta // the latest, each going on where the one before it ends
	bytes   int     // of the values in them
}

// Revision returns the revision up to which a kind is known, 0 before its first list.
func (m *Mirror) Revision(name string) uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if k := m.kinds[name]; k != nil {
		return k.at
	}
	return 0
}

// Object returns an object and whether it is there.
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
func (m *Mirror) Changed() <-chan struct{} { return m.changed.Awaited() }

// ApplyList takes a whole list. What it changes is remembered as a run, so that those
// who learn from here need no list of their own.
func (m *Mirror) ApplyList(name string, l protocol.Listing) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.listed(name, l)
}

// listed is Listed with the mutex held.
func (m *Mirror) listed(name string, l protocol.Listing) {
	k := m.kind(name)
	if k.at == 0 {
		k.at = max(1, l.At)
		for _, o := range l.Objects {
			k.objects[o.Name] = o
		}
		m.changed.Tell()
		return
	}
	if l.At <= k.at {
		return // nothing new, or asked for before newer changes came
	}
	k.append(k.difference(l))
	k.at = l.At
	m.changed.Tell()
}

// List returns every object of a kind, and whether it was ever listed.
func (m *Mirror) List(name string) (protocol.Listing, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := m.kinds[name]
	if k == nil || k.at == 0 {
		return protocol.Listing{}, false
	}
	l := protocol.Listing{At: k.at, Objects: make([]protocol.Object, 0, len(k.objects))}
	for _, o := range k.objects {
		l.Objects = append(l.Objects, o)
	}
	return l, true
}

// Snapshot returns every object of a kind as one run, for who can't be told the changes.
func (m *Mirror) Snapshot(name string) Delta {
	l, _ := m.List(name)
	r := Delta{To: l.At, Snapshot: true}
	for _, o := range l.Objects {
		r.Changes = append(r.Changes, protocol.Change{Object: o})
	}
	slices.SortFunc(r.Changes, func(a, b protocol.Change) int { return strings.Compare(a.Object.Name, b.Object.Name) })
	return r
}

// Forget drops what is known of a kind, so that it has to be listed anew.
func (m *Mirror) Forget(name string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.kinds, name)
	m.changed.Tell()
}

// Apply takes a run of changes, and reports whether it goes on from what is known.
// A run that ends before is known already.
func (m *Mirror) Apply(name string, r Delta) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if r.Snapshot {
		m.listed(name, r.listing())
		return true
	}
	k := m.kind(name)
	if r.To <= k.at {
		return true
	}
	if k.at == 0 || r.After > k.at || r.ListDiff && r.After != k.at {
		return false
	}
	r.After = k.at
	k.append(r)
	k.at = r.To
	m.changed.Tell()
	return true
}

// Since returns the changes after a revision as one run, and whether they are all
// remembered. Of several changes of an object only the last is told.
func (m *Mirror) Since(name string, after uint64) (Delta, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := m.kinds[name]
	if k == nil || after >= k.at {
		return Delta{After: after, To: after}, true
	}
	all := Delta{After: after, To: after}
	if len(k.runs) == 0 || k.runs[0].After > after {
		return all, false
	}
	for _, r := range k.runs {
		if r.To <= after {
			continue
		}
		if r.ListDiff && r.After < after {
			return all, false
		}
		all.Changes = append(all.Changes, r.Changes...)
		all.To = r.To
		all.ListDiff = all.ListDiff || r.ListDiff
	}
	all.Changes = lastOfEach(all.Changes)
	return all, true
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

// kind returns a kind, empty if nothing was known of it.
func (m *Mirror) kind(name string) *kind {
	if m.kinds == nil {
		m.kinds = make(map[string]*kind)
	}
	k := m.kinds[name]
	if k == nil {
		k = &kind{objects: make(map[string]protocol.Object)}
		m.kinds[name] = k
	}
	return k
}

// difference returns the run from what is known to a list.
func (k *kind) difference(l protocol.Listing) Delta {
	r := Delta{After: k.at, To: l.At, ListDiff: true}
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
		if known, ok := k.objects[o.Name]; !ok || known.Version < o.Version {
			r.Changes = append(r.Changes, protocol.Change{Object: o})
		}
	}
	for _, o := range k.objects {
		if !listed[o.Name] {
			r.Changes = append(r.Changes, protocol.Change{Object: o, Gone: true})
		}
	}
	return r
}

// append remembers a run that goes on from the last and applies it.
func (k *kind) append(r Delta) {
	for _, c := range r.Changes {
		k.bytes += len(c.Object.Value)
		if c.Gone {
			delete(k.objects, c.Object.Name)
		} else {
			k.objects[c.Object.Name] = c.Object
		}
	}
	k.runs = append(k.runs, r)
	for len(k.runs) > 1 && (len(k.runs) > keptRuns || k.bytes > keptBytes) {
		for _, c := range k.runs[0].Changes {
			k.bytes -= len(c.Object.Value)
		}
		k.runs = slices.Delete(k.runs, 0, 1)
	}
}
