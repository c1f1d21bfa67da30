// SPDX-License-Identifier: Apache-2.0

package mirror_test

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/mirror"
)

const kind = "servers"

// platform models the platform's objects of one kind with their whole history.
type platform struct {
	objects   map[string]protocol.Object
	history   []protocol.Change
	revisions []uint64 // revision of each change
	revision  uint64
	era       uint64
	copied    map[string]protocol.Object // the copy to restore
	copiedAt  uint64
	oldest    uint64 // revision from which the history is kept
}

// at returns the revision with a number in the current era.
func (p *platform) at(number uint64) protocol.Revision {
	return protocol.Revision{Era: p.era, Number: number}
}

// makeCopy keeps a copy to restore.
func (p *platform) makeCopy() { p.copied, p.copiedAt = maps.Clone(p.objects), p.revision }

// restore goes back to the copy and begins a new era without a history.
func (p *platform) restore() {
	p.objects, p.revision = maps.Clone(p.copied), p.copiedAt
	p.era++
	for name, o := range p.objects {
		o.Version.Era = p.era
		p.objects[name] = o
	}
	p.history, p.revisions, p.oldest = nil, nil, p.copiedAt
}

func (p *platform) change(t *rapid.T) {
	name := fmt.Sprint("o", rapid.IntRange(0, 4).Draw(t, "object"))
	p.revision += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	_, exists := p.objects[name]
	if exists && rapid.Bool().Draw(t, "removed") {
		// A removal has the revision of the object's last change, or one of its own.
		o := p.objects[name]
		if rapid.Bool().Draw(t, "own revision") {
			o.Version = p.at(p.revision)
		}
		delete(p.objects, name)
		p.history = append(p.history, protocol.Change{Object: o, Deleted: true})
	} else {
		o := protocol.Object{Kind: kind, Name: name, Version: p.at(p.revision)}
		p.objects[name] = o
		p.history = append(p.history, protocol.Change{Object: o})
	}
	p.revisions = append(p.revisions, p.revision)
}

func (p *platform) list() protocol.Listing {
	l := protocol.Listing{Revision: p.at(p.revision)}
	for _, o := range p.objects {
		l.Objects = append(l.Objects, o)
	}
	return l
}

// delta returns the answer of a watch from a revision of the current era.
func (p *platform) delta(after uint64) mirror.Delta {
	d := mirror.Delta{After: p.at(after), To: p.at(p.revision)}
	for i, c := range p.history {
		if p.revisions[i] > after {
			d.Changes = append(d.Changes, c)
		}
	}
	return d
}

// apply applies changes to objects.
func apply(objects map[string]protocol.Object, changes []protocol.Change) {
	for _, c := range changes {
		if c.Deleted {
			delete(objects, c.Object.Name)
		} else {
			objects[c.Object.Name] = c.Object
		}
	}
}

// TestFollowerMatchesSource applies lists, watches and deltas in any order. A follower that
// applies the changes since its revision must have the same objects as the mirror it follows.
func TestFollowerMatchesSource(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{objects: map[string]protocol.Object{}, revision: 1}
		var source, follower mirror.Mirror
		p.makeCopy()
		source.ApplyList(kind, p.list())
		follower.ApplyList(kind, p.list())
		downstream := map[string]protocol.Object{} // objects of a follower of the follower
		apply(downstream, p.delta(0).Changes)
		revision := follower.Revision(kind)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				p.change(t)
			case 2:
				source.ApplyList(kind, p.list())
			case 3:
				if known := source.Revision(kind); known.Era == p.era && known.Number >= p.oldest {
					require.True(t, source.Apply(kind, p.delta(known.Number)))
				}
			case 4: // the follower's own watch, which overlaps the deltas from the source
				if known := follower.Revision(kind); known.Era == p.era && known.Number >= p.oldest {
					from := uint64(rapid.IntRange(int(max(1, p.oldest)), int(known.Number)).Draw(t, "from"))
					require.True(t, follower.Apply(kind, p.delta(from)))
				}
			case 5:
				catchUp(t, &source, &follower)
			case 6:
				require.True(t, follower.Apply(kind, source.Snapshot(kind)))
			case 7:
				p.makeCopy()
			case 8:
				p.restore()
			}
			require.False(t, follower.Revision(kind).Before(revision), "the revision never decreases")
			if rapid.Bool().Draw(t, "reads") {
				revision = readChanges(t, &follower, revision, downstream)
			}
		}
		source.ApplyList(kind, p.list())
		catchUp(t, &source, &follower)
		readChanges(t, &follower, revision, downstream)
		require.Equal(t, p.objects, downstream)
	})
}

// catchUp applies the source's changes to the follower, or a snapshot if the source no longer
// keeps the changes.
func catchUp(t *rapid.T, source, follower *mirror.Mirror) {
	delta, ok := source.Since(kind, follower.Revision(kind))
	if !ok {
		delta = source.Snapshot(kind)
	}
	if follower.Revision(kind).Before(delta.To) {
		require.True(t, follower.Apply(kind, delta))
	}
}

// readChanges applies the changes since a revision, and returns the revision that they lead to.
func readChanges(t *rapid.T, m *mirror.Mirror, revision protocol.Revision, objects map[string]protocol.Object) protocol.Revision {
	delta, ok := m.Since(kind, revision)
	require.True(t, ok)
	apply(objects, delta.Changes)
	return delta.To
}

func TestSnapshotInitializesFollower(t *testing.T) {
	var source, follower mirror.Mirror
	_, ok := source.List(kind)
	require.False(t, ok)
	source.ApplyList(kind, protocol.Listing{Revision: protocol.Revision{Number: 5}, Objects: []protocol.Object{{Kind: kind, Name: "b", Version: protocol.Revision{Number: 3}}, {Kind: kind, Name: "a", Version: protocol.Revision{Number: 4}}}})
	require.True(t, follower.Apply(kind, source.Snapshot(kind)))
	require.Equal(t, protocol.Revision{Number: 5}, follower.Revision(kind))
	all, ok := follower.List(kind)
	require.True(t, ok)
	require.Len(t, all.Objects, 2)
	require.Equal(t, "a", source.Snapshot(kind).Changes[0].Object.Name, "in order of name, not of the map")
}

func TestDeltaWithGapIsRejected(t *testing.T) {
	var m mirror.Mirror
	require.False(t, m.Apply(kind, mirror.Delta{After: protocol.Revision{Number: 1}, To: protocol.Revision{Number: 2}}), "the kind was never listed")
	m.ApplyList(kind, protocol.Listing{Revision: protocol.Revision{Number: 5}})
	require.False(t, m.Apply(kind, mirror.Delta{After: protocol.Revision{Number: 6}, To: protocol.Revision{Number: 8}}))
	require.Equal(t, protocol.Revision{Number: 5}, m.Revision(kind))
}

func TestSinceFailsForDroppedChanges(t *testing.T) {
	var m mirror.Mirror
	m.ApplyList(kind, protocol.Listing{Revision: protocol.Revision{Number: 1}})
	for n := uint64(2); n < 1000; n++ {
		o := protocol.Object{Kind: kind, Name: "o", Version: protocol.Revision{Number: n}}
		require.True(t, m.Apply(kind, mirror.Delta{After: protocol.Revision{Number: n - 1}, To: protocol.Revision{Number: n}, Changes: []protocol.Change{{Object: o}}}))
	}
	_, ok := m.Since(kind, protocol.Revision{Number: 2})
	require.False(t, ok)
	delta, ok := m.Since(kind, protocol.Revision{Number: 990})
	require.True(t, ok)
	require.Equal(t, []protocol.Change{{Object: protocol.Object{Kind: kind, Name: "o", Version: protocol.Revision{Number: 999}}}}, delta.Changes, "only the last change of an object")
	m.Forget(kind)
	require.Zero(t, m.Revision(kind))
}

func TestLargeValuesAreDroppedEarlier(t *testing.T) {
	var m mirror.Mirror
	m.ApplyList(kind, protocol.Listing{Revision: protocol.Revision{Number: 1}})
	value := make([]byte, 1<<20)
	for n := uint64(2); n < 12; n++ {
		o := protocol.Object{Kind: kind, Name: "o", Version: protocol.Revision{Number: n}, Value: value}
		require.True(t, m.Apply(kind, mirror.Delta{After: protocol.Revision{Number: n - 1}, To: protocol.Revision{Number: n}, Changes: []protocol.Change{{Object: o}}}))
	}
	_, ok := m.Since(kind, protocol.Revision{Number: 3})
	require.False(t, ok)
	_, ok = m.Since(kind, protocol.Revision{Number: 9})
	require.True(t, ok)
}

func TestChangedClosesOnChange(t *testing.T) {
	var m mirror.Mirror
	changed := m.Changed()
	m.ApplyList(kind, protocol.Listing{Revision: protocol.Revision{Number: 1}})
	<-changed
}

// TestListDiffAppliesOnlyToItsBaseRevision guards against a stale object in a follower. An
// object was created and deleted between two lists of the source, and the follower had seen
// its creation. The difference between the two lists does not remove it.
func TestListDiffAppliesOnlyToItsBaseRevision(t *testing.T) {
	var source, follower mirror.Mirror
	source.ApplyList(kind, protocol.Listing{Revision: protocol.Revision{Number: 1}})
	source.ApplyList(kind, protocol.Listing{Revision: protocol.Revision{Number: 9}})
	follower.ApplyList(kind, protocol.Listing{Revision: protocol.Revision{Number: 5}, Objects: []protocol.Object{{Kind: kind, Name: "o", Version: protocol.Revision{Number: 4}}}})
	_, ok := source.Since(kind, protocol.Revision{Number: 5})
	require.False(t, ok)
	delta, ok := source.Since(kind, protocol.Revision{Number: 1})
	require.True(t, ok)
	require.False(t, follower.Apply(kind, delta))
}
