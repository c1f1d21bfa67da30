// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/transport/watch"
)

const (
	// endpoints is a second kind, which no read confirms.
	endpoints = "endpoints"
	// endpoint is an object of that kind.
	endpoint = "endpoint-1"
	// contact is how long after a silence of its connections an entry is excused, and drain how long after
	// a change any entry may act on what was before, in the users' smallest deployments.
	contact = 3 * time.Second
	drain   = 2 * time.Second
)

// calmEntries is how many entries TestCalmMinuteCostsTheCallsOfOneEntry starts.
var calmEntries = flag.Int("calm.entries", 24, "entries of the calm minute")

// endpointState is a watch.Sink of the second kind. It counts reports of an outage of the platform.
type endpointState struct {
	receivedState
	failures int
}

func (e *endpointState) Failed(error, time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.failures++
}

func (e *endpointState) failureCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.failures
}

// fleet is entries that watch two kinds.
type fleet struct {
	store   *store
	entries []*entry
	states  []*endpointState
}

// newFleet starts entries in three data centers with an object of the second kind.
func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{store: newStore()}
	f.store.put(table, "one")
	f.store.put(endpoint, "ready")
	for i := range n {
		e := newEntry(t, f.store, fmt.Sprint("e-", i), fmt.Sprint("key-", i))
		e.source.Self.DataCenter = fmt.Sprint("dc-", i%3)
		e.source.Kinds = []string{kind, endpoints}
		f.entries = append(f.entries, e)
	}
	states := make(map[*entry]*endpointState)
	for _, e := range f.entries {
		state := &endpointState{}
		w := &watch.Watcher{Source: e.source, Kind: endpoints, Sink: state}
		e.confirmer.Watchers = append(e.confirmer.Watchers, w)
		states[e] = state
		t.Cleanup(w.Close)
		w.Start()
	}
	f.entries = startAll(t, f.store, f.entries)
	for _, e := range f.entries {
		f.states = append(f.states, states[e])
	}
	return f
}

// requireKnown requires that every entry acts on the removal of the endpoint at a time.
func (f *fleet) requireKnown(t *testing.T, by time.Time) {
	t.Helper()
	time.Sleep(time.Until(by))
	synctest.Wait()
	for i, s := range f.states {
		require.Empty(t, s.value(endpoint), "%s uses the endpoint that left", f.entries[i].client.name)
	}
}

// TestSilentWatchOfEndpointsIsNoticedInTime guards against requests to an endpoint that left, when the
// waiting calls to the platform are silent while reads over another connection go on.
func TestSilentWatchOfEndpointsIsNoticedInTime(t *testing.T) {
	for _, changeAfter := range []time.Duration{10 * time.Millisecond, contact - drain, contact} {
		for tenth := range 10 {
			t.Run(fmt.Sprintf("tenth %d, change after %v", tenth, changeAfter), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, 6)
					time.Sleep(10*time.Second + time.Duration(tenth)*watch.PollTimeout/10)
					silencedAt := time.Now()
					f.entries[0].client.silence()
					time.Sleep(changeAfter)
					f.store.remove(endpoint)
					by := silencedAt.Add(contact)
					if late := time.Now().Add(drain); late.After(by) {
						by = late
					}
					f.requireKnown(t, by)
					require.Zero(t, f.states[0].failureCount(), "a silent connection is no outage of the platform")
				})
			})
		}
	}
}

// TestSecondSilenceAfterTheFirstWasNoticed guards against a mend that works once.
func TestSecondSilenceAfterTheFirstWasNoticed(t *testing.T) {
	for tenth := range 30 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 6)
			time.Sleep(10 * time.Second)
			f.entries[0].client.silence()
			time.Sleep(time.Duration(tenth) * watch.PollTimeout / 10)
			silencedAt := time.Now()
			f.entries[0].client.silence()
			f.store.remove(endpoint)
			f.requireKnown(t, silencedAt.Add(contact))
		})
	}
}

// TestSilentConnectionOfEntryThatNobodyFollowsIsNoOutage guards against endpoints that are kept without a
// record because the only entry reads the platform seldom.
func TestSilentConnectionOfEntryThatNobodyFollowsIsNoOutage(t *testing.T) {
	for tenth := range 20 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1)
			time.Sleep(10*time.Second + time.Duration(tenth)*watch.PollTimeout/10)
			silencedAt := time.Now()
			f.entries[0].client.silence()
			f.store.remove(endpoint)
			f.requireKnown(t, silencedAt.Add(contact))
			require.Zero(t, f.states[0].failureCount())
		})
	}
}

// TestEntryVouchesForNoKindThatItCannotRead guards against followers that trust a stale list because the
// entry before them reads another object.
func TestEntryVouchesForNoKindThatItCannotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		time.Sleep(10 * time.Second)
		f.entries[0].client.hang(endpoints)
		f.store.remove(endpoint)
		time.Sleep(relay.MaxStateAge + relay.MaxServedAge + time.Second)
		synctest.Wait()
		for i, s := range f.states[1:] {
			require.Empty(t, s.value(endpoint), "%s uses the endpoint that left", f.entries[i+1].client.name)
		}
		require.False(t, f.entries[1].source.Following(), "the next entry asks the platform")
		for _, e := range f.entries[2:] {
			require.True(t, e.source.Following(), "one entry asks for all")
		}
	})
}

// TestStateOfSlowPlatformStaysYoungEnough guards against an entry that confirms nothing to its followers
// although the platform answers all its calls, slowly.
func TestStateOfSlowPlatformStaysYoungEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		f.entries[0].client.setDelay(400 * time.Millisecond)
		for i := range 2000 {
			if i%9 == 0 {
				f.store.put(fmt.Sprint("other-", i%7), "value")
			}
			time.Sleep(time.Duration(50+37*i%900) * time.Millisecond)
			known := f.entries[0].source.KnownKinds()
			require.Len(t, known, 2)
			for _, k := range known {
				require.LessOrEqual(t, time.Since(k.CompleteAt()), relay.MaxStateAge, k.Kind())
			}
		}
	})
}

// TestCalmMinuteCostsTheCallsOfOneEntry guards against calls to the platform that grow with the fleet.
func TestCalmMinuteCostsTheCallsOfOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, *calmEntries)
		time.Sleep(10 * time.Second)
		before := totalCalls(f.entries)
		time.Sleep(time.Minute)
		calls := totalCalls(f.entries) - before
		t.Logf("%d entries, two watched kinds: %d calls a minute", len(f.entries), calls)
		reads, watches := int(time.Minute/(450*time.Millisecond)), int(time.Minute/watch.PollTimeout)
		require.LessOrEqual(t, calls, reads+2*watches+2)
	})
}
