// SPDX-License-Identifier: Apache-2.0

package reach_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/reach"
	"pinerun.example/pinerun/protocol"
)

// largeFleets adds fleets to the simulations that take long.
var largeFleets = flag.Bool("reach.large", false, "simulate 985 and 1,970 entries as well")

// fleetSizes returns the sizes of the simulated fleets.
func fleetSizes() []int {
	if *largeFleets {
		return []int{7, 295, 985, 1970}
	}
	return []int{7, 295}
}

func TestEntryThatDoesNotAnswerIsAskedLessAndLess(t *testing.T) {
	var p reach.Peers
	r, other := protocol.EntryRecord{Name: "one", DataCenter: "a"}, protocol.EntryRecord{Name: "two", DataCenter: "b"}
	p.Set([]protocol.EntryRecord{r, other})
	q := &reach.PeerQuery{DataCenter: "a", EndpointDataCenter: "a", Rand: rand.New(rand.NewPCG(1, 1))}
	now := 0
	for _, rest := range []int{1000, 2000, 4000, 8000, 16000, 16000} {
		p.Record(&r, reach.PeerFailed, 0, at(now))
		q.Now = at(now + rest - 1)
		next, _ := p.Next(q)
		require.Equal(t, "two", next.Name)
		now += rest
		q.Now = at(now)
		next, _ = p.Next(q)
		require.Equal(t, "one", next.Name)
	}
}

// TestOnlyEntryLeftIsAskedAgainSoonAfterAFailure has the only entry that may reach endpoints not answer once.
func TestOnlyEntryLeftIsAskedAgainSoonAfterAFailure(t *testing.T) {
	var p reach.Peers
	failing, cut := protocol.EntryRecord{Name: "one", DataCenter: "a"}, protocol.EntryRecord{Name: "two", DataCenter: "b"}
	p.Set([]protocol.EntryRecord{failing, cut})
	p.Record(&failing, reach.PeerFailed, 0, at(0))
	p.Record(&cut, reach.PeerAnswered, protocol.TunnelCutOff, at(50))
	q := &reach.PeerQuery{Rand: rand.New(rand.NewPCG(1, 1)), Now: at(99)}
	_, ok := p.Next(q)
	require.False(t, ok)
	q.Now = at(100)
	next, ok := p.Next(q)
	require.True(t, ok)
	require.Equal(t, "one", next.Name)
}

func TestRecommendedEntryIsAskedFirst(t *testing.T) {
	var p reach.Peers
	p.Set([]protocol.EntryRecord{{Name: "near", DataCenter: "a"}, {Name: "far", DataCenter: "b"}})
	q := &reach.PeerQuery{DataCenter: "a", EndpointDataCenter: "a", Recommended: "far", Rand: rand.New(rand.NewPCG(1, 1)), Now: at(0)}
	r, ok := p.Next(q)
	require.True(t, ok)
	require.Equal(t, "far", r.Name)
}

// askingEntry is an entry of a simulated fleet.
type askingEntry struct {
	record protocol.EntryRecord
	peers  reach.Peers
	cut    bool
	served int // tunnels that it opened for others
}

// askingFleet simulates entries that ask each other for tunnels.
type askingFleet struct {
	entries map[string]*askingEntry
	names   []string
	rng     *rand.Rand
	now     int // milliseconds
}

// entriesPerDataCenter is about how many entries a data center of the largest fleet has.
const entriesPerDataCenter = 110

func newAskingFleet(entries int) *askingFleet {
	f := &askingFleet{entries: map[string]*askingEntry{}, rng: rand.New(rand.NewPCG(7, uint64(entries)))}
	dataCenters := max(3, (entries+entriesPerDataCenter-1)/entriesPerDataCenter)
	var records []protocol.EntryRecord
	for i := range entries {
		r := protocol.EntryRecord{Name: fmt.Sprint("e", i), DataCenter: fmt.Sprint("dc", i%dataCenters)}
		records = append(records, r)
		f.names = append(f.names, r.Name)
		f.entries[r.Name] = &askingEntry{record: r}
	}
	for _, e := range f.entries {
		var others []protocol.EntryRecord
		for _, r := range records {
			if r.Name != e.record.Name {
				others = append(others, r)
			}
		}
		e.peers.Set(others)
	}
	return f
}

// cutWhere cuts the entries off that a condition names, and no others.
func (f *askingFleet) cutWhere(cut func(r *protocol.EntryRecord) bool) (count int) {
	for _, e := range f.entries {
		e.cut = cut(&e.record)
		e.served = 0
		if e.cut {
			count++
		}
	}
	return count
}

// maxAsked is how many entries a dialer asks for one connection.
const maxAsked = 8

// dial has an entry ask for one connection to an endpoint in a data center, and returns how many others it
// asked, and whether one of them reaches endpoints.
func (f *askingFleet) dial(e *askingEntry, dataCenter string) (asked int, ok bool) {
	q := &reach.PeerQuery{DataCenter: e.record.DataCenter, EndpointDataCenter: dataCenter, Tried: map[string]bool{}, Asked: map[string]bool{}, Rand: f.rng, Now: at(f.now)}
	for asked < maxAsked {
		r, found := e.peers.Next(q)
		if !found {
			return asked, false
		}
		asked++
		q.Tried[r.Name], q.Asked[r.DataCenter] = true, true
		other := f.entries[r.Name]
		if !other.cut {
			e.peers.Record(&r, reach.PeerAnswered, protocol.TunnelOpen, at(f.now))
			other.served++
			return asked, true
		}
		q.Recommended = other.peers.Opened(at(f.now))
		e.peers.Record(&r, reach.PeerAnswered, protocol.TunnelCutOff, at(f.now))
	}
	return asked, false
}

// run has each entry that is cut off dial ten times a second, and returns how many dials of each half second
// found no entry, the mean number of entries asked in the last half second, and the most tunnels that one
// entry opened in the whole time.
func (f *askingFleet) run(dataCenter func(e *askingEntry) string, duration time.Duration) (failed []int, asked float64, most int) {
	const perTick, tick = 1, 100
	for ms := 0; ms < int(duration.Milliseconds()); ms += tick {
		if ms%500 == 0 {
			failed, asked = append(failed, 0), 0
		}
		dials := 0.0
		for _, name := range f.names {
			e := f.entries[name]
			for range perTick {
				if !e.cut {
					continue
				}
				n, ok := f.dial(e, dataCenter(e))
				if dials++; !ok {
					failed[len(failed)-1]++
				}
				asked += float64(n)
			}
		}
		asked /= max(1, dials)
		f.now += tick
	}
	for _, e := range f.entries {
		most = max(most, e.served)
	}
	return failed, asked, most
}

// TestCutDataCenterFindsHelpAtOnce cuts a whole data center off, whose endpoints are the nearest, and then the
// next one instead.
func TestCutDataCenterFindsHelpAtOnce(t *testing.T) {
	for _, entries := range fleetSizes() {
		f := newAskingFleet(entries)
		for _, cut := range []string{"dc0", "dc1"} {
			count := f.cutWhere(func(r *protocol.EntryRecord) bool { return r.DataCenter == cut })
			failed, asked, most := f.run(func(*askingEntry) string { return cut }, 3*time.Second)
			t.Logf("%d entries, %d cut off: dials that found no entry by half second %v, entries asked for one dial at the end %.2f, most tunnels of one entry %d of %d", entries, count, failed, asked, most, 30*count)
			for _, n := range failed {
				require.Zero(t, n, "%d entries", entries)
			}
			if helpers := entries - count; helpers > entriesPerDataCenter {
				require.LessOrEqual(t, most, 30*count/helpers*4+20, "%d entries", entries)
			}
		}
	}
}

// TestLastEntryThatReachesEndpointsIsFound cuts off all entries but one.
func TestLastEntryThatReachesEndpointsIsFound(t *testing.T) {
	for _, entries := range fleetSizes() {
		f := newAskingFleet(entries)
		f.cutWhere(func(r *protocol.EntryRecord) bool { return r.Name != "e0" })
		failed, asked, _ := f.run(func(e *askingEntry) string { return e.record.DataCenter }, time.Second)
		t.Logf("%d entries: dials that found no entry by half second %v, entries asked for one dial at the end %.2f", entries, failed, asked)
		require.Zero(t, failed[len(failed)-1], "%d entries", entries)
	}
}
