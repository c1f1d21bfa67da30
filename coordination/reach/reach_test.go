// SPDX-License-Identifier: Apache-2.0

package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/reach"
)

// begin is when the tests begin.
var begin = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func addresses(names ...string) func() []string { return func() []string { return names } }

func TestOneCutPathIsNoCutOff(t *testing.T) {
	var tr reach.Tracker
	tr.Unreachable("a", 3, at(0))
	require.False(t, tr.CutOff())
	require.False(t, tr.Direct("a"))
	require.True(t, tr.Direct("b"))
}

func TestTwoCutPathsWithoutAnyThatWorksAreACutOff(t *testing.T) {
	var tr reach.Tracker
	tr.Reached("c", at(0), 3)
	tr.Unreachable("a", 3, at(10))
	tr.Unreachable("b", 3, at(20))
	require.True(t, tr.CutOff())
	require.False(t, tr.Direct("c"))
}

func TestCutPathsBesideOneThatWorksAreNoCutOff(t *testing.T) {
	var tr reach.Tracker
	tr.Unreachable("a", 3, at(0))
	tr.Reached("c", at(10), 3)
	tr.Unreachable("b", 3, at(20))
	require.False(t, tr.CutOff())
	require.True(t, tr.Direct("c"))
}

// TestAnswerOnOpenConnectionEndsNoCut has new connections refused while open ones go on.
func TestAnswerOnOpenConnectionEndsNoCut(t *testing.T) {
	var tr reach.Tracker
	tr.Unreachable("a", 2, at(10))
	tr.Unreachable("b", 2, at(20))
	tr.Reached("a", at(5), 2)
	require.True(t, tr.CutOff())
	require.False(t, tr.Direct("a"))
}

func TestOnlyEndpointCutOffIsACutOff(t *testing.T) {
	var tr reach.Tracker
	tr.Unreachable("a", 1, at(0))
	require.True(t, tr.CutOff())
	tr.Reached("a", at(1), 1)
	require.True(t, tr.Empty())
}

// TestPartialCutTakenForACutOffIsFoundOut has two paths cut before any new connection elsewhere.
func TestPartialCutTakenForACutOffIsFoundOut(t *testing.T) {
	var tr reach.Tracker
	known := addresses("a", "b", "c", "d")
	tr.Unreachable("a", 4, at(0))
	tr.Unreachable("b", 4, at(1))
	require.True(t, tr.CutOff())
	for now := 1; tr.CutOff(); now += 500 {
		require.Less(t, now, 2000, "within two rounds")
		for _, a := range tr.TakeProbes(at(now), known) {
			answered := a == "c" || a == "d"
			tr.ProbeDone(answered)
			if answered {
				tr.Reached(a, at(now), 4)
			}
		}
	}
	require.True(t, tr.Direct("c"))
	require.False(t, tr.Direct("a"))
}

func TestProbesDoubleWhileAnsweredAndAreFewOtherwise(t *testing.T) {
	var tr reach.Tracker
	var all []string
	for i := range 100 {
		all = append(all, fmt.Sprint("e", i))
		tr.Unreachable(all[i], 100, at(0))
	}
	now := 0
	round := func(answered bool) int {
		now += 500
		probes := tr.TakeProbes(at(now), addresses(all...))
		require.Empty(t, tr.TakeProbes(at(now+499), addresses(all...)), "one round each half a second")
		for _, a := range probes {
			tr.ProbeDone(answered)
			if answered {
				tr.Reached(a, at(now), 100)
			}
		}
		return len(probes)
	}
	for range 20 {
		require.Equal(t, 2, round(false))
	}
	var sizes []int
	for !tr.Empty() {
		sizes = append(sizes, round(true))
	}
	require.Equal(t, []int{2, 4, 8, 16, 16, 16, 16, 16, 6}, sizes)
}

// network is the truth behind a Tracker: which paths of the entry work, and which endpoints others reach.
type network struct {
	names []string
	works map[string]bool
	alive map[string]bool
	now   int // milliseconds
	order int // of the next names in any order
	tr    reach.Tracker
}

// connect makes a connection to an endpoint, through another entry if need be, as a dialer does.
func (n *network) connect(name string) {
	if n.works[name] && n.alive[name] && n.tr.Direct(name) {
		n.tr.Reached(name, at(n.now), len(n.names))
		return
	}
	if !n.tr.Direct(name) || !n.alive[name] {
		return
	}
	n.tr.Unreachable(name, len(n.names), at(n.now))
}

// inAnyOrder returns the names in an order that changes.
func (n *network) inAnyOrder() []string {
	n.order++
	first := n.order % len(n.names)
	return append(append([]string(nil), n.names[first:]...), n.names[:first]...)
}

// probe runs the probes that are due.
func (n *network) probe() {
	for _, name := range n.tr.TakeProbes(at(n.now), n.inAnyOrder) {
		answered := n.works[name] && n.alive[name]
		n.tr.ProbeDone(answered)
		if answered {
			n.tr.Reached(name, at(n.now), len(n.names))
		}
	}
	n.tr.Sweep(func(name string) bool { return n.alive[name] })
}

// TestTrackerFollowsNetwork changes paths at random. While nothing changes, the entry connects directly where
// its path works and through others where it is cut, after a time that the probes allow.
func TestTrackerFollowsNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{works: map[string]bool{}, alive: map[string]bool{}}
		for i := range rapid.IntRange(1, 12).Draw(t, "endpoints") {
			name := fmt.Sprint("e", i)
			n.names = append(n.names, name)
			n.works[name], n.alive[name] = true, true
		}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0: // all paths
				works := rapid.Bool().Draw(t, "works")
				for _, name := range n.names {
					n.works[name] = works
				}
			case 1, 2: // one path
				name := rapid.SampledFrom(n.names).Draw(t, "path")
				n.works[name] = !n.works[name]
			case 3: // one endpoint
				name := rapid.SampledFrom(n.names).Draw(t, "endpoint")
				n.alive[name] = !n.alive[name]
			}
			steps := rapid.IntRange(0, 80).Draw(t, "steps")
			for range steps {
				n.now += 100
				n.probe()
				n.connect(rapid.SampledFrom(n.names).Draw(t, "used"))
			}
			if steps < 80 {
				continue
			}
			n.requireTrue(t)
		}
	})
}

// settle has every endpoint used once, and waits for the probes that may follow.
func (n *network) settle() {
	for _, name := range n.names {
		n.connect(name)
	}
	for range 80 {
		n.now += 100
		n.probe()
	}
}

// requireTrue fails unless the tracker agrees with the network.
func (n *network) requireTrue(t *rapid.T) {
	n.settle()
	reachable := 0
	for _, name := range n.names {
		if n.works[name] && n.alive[name] {
			reachable++
		}
	}
	if enough := reachable >= min(2, len(n.names)); enough {
		require.False(t, n.tr.CutOff())
		for _, name := range n.names {
			if n.works[name] && n.alive[name] {
				require.True(t, n.tr.Direct(name), "%s of %d reachable ones is used directly", name, reachable)
			}
		}
	}
	for _, name := range n.names {
		if n.alive[name] && !n.works[name] {
			n.connect(name)
			require.False(t, n.tr.Direct(name), "%s is not used directly", name)
		}
	}
}
