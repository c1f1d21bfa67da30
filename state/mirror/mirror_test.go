// SPDX-License-Identifier: Apache-2.0

package mirror_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/mirror"
)

const kind = "servers"

// platform is a model of the platform's objects of one kind with all its history.
type platform struct {
	objects map[string]protocol.Object
	history []protocol.Change
	at      []uint64 // revision of each change
	now     uint64
}

func (p *platform) change(t *rapid.T) {
	name := fmt.Sprint("o", rapid.IntRange(0, 4).Draw(t, "object"))
	p.now += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	_, there := p.objects[name]
	if there && rapid.Bool().Draw(t, "goes") {
		// The platform tells the last change of an object that went, or its own.
		o := p.objects[name]
		if rapid.Bool().Draw(t, "own revision") {
			o.Version = p.now
		}
		delete(p.objects, name)
		p.history = append(p.history, protocol.Change{Object: o, Gone: true})
	} else {
		o := protocol.Object{Kind: kind, Name: name, Version: p.now}
		p.objects[name] = o
		p.history = append(p.history, protocol.Change{Object: o})
	}
	p.at = append(p.at, p.now)
}

func (p *platform) list() protocol.Listing {
	l := protocol.Listing{At: p.now}
	for _, o := range p.objects {
		l.Objects = append(l.Objects, o)
	}
	return l
}

// run returns what a watch from a revision answers.
func (p *platform) run(after uint64) mirror.Delta {
	r := mirror.Delta{After: after, To: p.now}
	for i, c := range p.history {
		if p.at[i] > after {
			r.Changes = append(r.Changes, c)
		}
	}
	return r
}

// apply replays changes over objects.
func apply(objects map[string]protocol.Object, changes []protocol.Change) {
	for _, c := range changes {
		if c.Gone {
			delete(objects, c.Object.Name)
		} else {
			objects[c.Object.Name] = c.Object
		}
	}
}

// TestWhoFollowsKnowsWhatTheFollowedKnows draws lists, watches and follows in any
// order: whoever takes the changes since what it knows has what the mirror has.
func TestWhoFollowsKnowsWhatTheFollowedKnows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &platform{objects: map[string]protocol.Object{}, now: 1}
		var source, follower mirror.Mirror
		source.ApplyList(kind, p.list())
		follower.ApplyList(kind, p.list())
		seen := map[string]protocol.Object{} // what the follower's own follower has
		apply(seen, p.run(0).Changes)
		at := follower.Revision(kind)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				p.change(t)
			case 2:
				source.ApplyList(kind, p.list())
			case 3:
				require.True(t, source.Apply(kind, p.run(source.Revision(kind))))
			case 4: // a watch of the follower's own, which overlaps what came from the source
				require.True(t, follower.Apply(kind, p.run(uint64(rapid.IntRange(1, int(follower.Revision(kind))).Draw(t, "from")))))
			case 5:
				catchUp(t, &source, &follower)
			case 6:
				require.True(t, follower.Apply(kind, source.Snapshot(kind)))
			}
			require.Equal(t, at, min(at, follower.Revision(kind)), "what is known never steps back")
			if rapid.Bool().Draw(t, "looks") {
				at = look(t, &follower, at, seen)
			}
		}
		source.ApplyList(kind, p.list())
		catchUp(t, &source, &follower)
		look(t, &follower, at, seen)
		require.Equal(t, p.objects, seen)
	})
}

// catchUp takes what the source knows to the follower, all of it where the source can't
// tell the changes.
func catchUp(t *rapid.T, source, follower *mirror.Mirror) {
	run, ok := source.Since(kind, follower.Revision(kind))
	if !ok {
		run = source.Snapshot(kind)
	}
	if run.To > follower.Revision(kind) {
		require.True(t, follower.Apply(kind, run))
	}
}

// look takes the changes since a revision, and returns the one that they lead to.
func look(t *rapid.T, m *mirror.Mirror, at uint64, seen map[string]protocol.Object) uint64 {
	run, ok := m.Since(kind, at)
	require.True(t, ok)
	apply(seen, run.Changes)
	return run.To
}

func TestWhoKnowsNothingIsToldTheWhole(t *testing.T) {
	var source, follower mirror.Mirror
	_, ok := source.List(kind)
	require.False(t, ok)
	source.ApplyList(kind, protocol.Listing{At: 5, Objects: []protocol.Object{{Kind: kind, Name: "b", Version: 3}, {Kind: kind, Name: "a", Version: 4}}})
	require.True(t, follower.Apply(kind, source.Snapshot(kind)))
	require.Equal(t, uint64(5), follower.Revision(kind))
	all, ok := follower.List(kind)
	require.True(t, ok)
	require.Len(t, all.Objects, 2)
	require.Equal(t, "a", source.Snapshot(kind).Changes[0].Object.Name, "in order of name, whatever the map's")
}

func TestARunThatLeavesAGapIsRefused(t *testing.T) {
	var m mirror.Mirror
	require.False(t, m.Apply(kind, mirror.Delta{After: 1, To: 2}), "nothing was listed yet")
	m.ApplyList(kind, protocol.Listing{At: 5})
	require.False(t, m.Apply(kind, mirror.Delta{After: 6, To: 8}))
	require.Equal(t, uint64(5), m.Revision(kind))
}

func TestChangesThatWereForgottenAreNotMadeUp(t *testing.T) {
	var m mirror.Mirror
	m.ApplyList(kind, protocol.Listing{At: 1})
	for n := uint64(2); n < 1000; n++ {
		o := protocol.Object{Kind: kind, Name: "o", Version: n}
		require.True(t, m.Apply(kind, mirror.Delta{After: n - 1, To: n, Changes: []protocol.Change{{Object: o}}}))
	}
	_, ok := m.Since(kind, 2)
	require.False(t, ok)
	run, ok := m.Since(kind, 990)
	require.True(t, ok)
	require.Equal(t, []protocol.Change{{Object: protocol.Object{Kind: kind, Name: "o", Version: 999}}}, run.Changes, "only the last of an object")
	m.Forget(kind)
	require.Zero(t, m.Revision(kind))
}

func TestLongValuesAreForgottenSooner(t *testing.T) {
	var m mirror.Mirror
	m.ApplyList(kind, protocol.Listing{At: 1})
	value := make([]byte, 1<<20)
	for n := uint64(2); n < 12; n++ {
		o := protocol.Object{Kind: kind, Name: "o", Version: n, Value: value}
		require.True(t, m.Apply(kind, mirror.Delta{After: n - 1, To: n, Changes: []protocol.Change{{Object: o}}}))
	}
	_, ok := m.Since(kind, 3)
	require.False(t, ok)
	_, ok = m.Since(kind, 9)
	require.True(t, ok)
}

func TestAChangeWakesThoseWhoWait(t *testing.T) {
	var m mirror.Mirror
	changed := m.Changed()
	m.ApplyList(kind, protocol.Listing{At: 1})
	<-changed
}

// TestADifferenceServesOnlyWhoKnowsItsBeginning is the smallest case that rapid drew:
// an object came and went between two lists of the source, and the follower had
// seen it come.
func TestADifferenceServesOnlyWhoKnowsItsBeginning(t *testing.T) {
	var source, follower mirror.Mirror
	source.ApplyList(kind, protocol.Listing{At: 1})
	source.ApplyList(kind, protocol.Listing{At: 9})
	follower.ApplyList(kind, protocol.Listing{At: 5, Objects: []protocol.Object{{Kind: kind, Name: "o", Version: 4}}})
	_, ok := source.Since(kind, 5)
	require.False(t, ok)
	run, ok := source.Since(kind, 1)
	require.True(t, ok)
	require.False(t, follower.Apply(kind, run))
}
