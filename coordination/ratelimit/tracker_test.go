// SPDX-License-Identifier: Apache-2.0

package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/ratelimit"
	"pinerun.example/pinerun/protocol"
)

// limitWindow, limitFactor and limitSlack are the platform's terms: within the window an endpoint may
// get limitFactor times what its limit allows, and limitSlack requests more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// allowed returns how many requests a window may have.
func allowed(limit float64) int { return int(limitFactor*limit*limitWindow.Seconds() + limitSlack) }

// TestSumOfSharesKeepsWithinTheLimit covers fleets of every size, limits far below and far above one
// request for each entry, and demand that is even, at a few entries, or at one.
func TestSumOfSharesKeepsWithinTheLimit(t *testing.T) {
	demands := map[string]func(entry int) float64{
		"even":       func(int) float64 { return 3 },
		"at two":     func(entry int) float64 { return 20 * float64(max(0, 2-entry)) },
		"at a tenth": func(entry int) float64 { return 10 * float64(max(0, 1-entry%10)) },
	}
	for _, entries := range []int{1, 7, 985, 1970} {
		for _, limit := range []float64{0.1, 4.2, 50} {
			for name, demand := range demands {
				t.Run(fmt.Sprint(entries, " entries, ", limit, " a second, demand ", name), func(t *testing.T) {
					t.Parallel()
					duration := 40 * time.Second
					if entries > 100 {
						duration = 15 * time.Second
					}
					f := newFleet(entries, limit)
					f.name()
					f.run(duration, demand)
					require.LessOrEqual(t, f.most(), allowed(limit))
				})
			}
		}
	}
}

// TestUnusedSharesAreLent has all demand at two of seven entries. They get what the five others do not
// use.
func TestUnusedSharesAreLent(t *testing.T) {
	f := newFleet(7, 5)
	f.name()
	f.run(60*time.Second, func(entry int) float64 { return 10 * float64(max(0, 1-entry/2)) })
	require.LessOrEqual(t, f.most(), allowed(f.limit))
	require.Greater(t, float64(len(f.sent)), 0.8*60*f.limit, "of the limit")
}

// TestSharesFollowDemand moves all demand from one entry to another. Within 15 s, when all loans to the
// earlier one have ended, the other gets most of the limit.
func TestSharesFollowDemand(t *testing.T) {
	f := newFleet(7, 5)
	f.name()
	for i := range 7 {
		demand := func(entry int) float64 {
			if entry == i {
				return 20
			}
			return 0
		}
		f.run(15*time.Second, demand)
		before := len(f.sent)
		f.run(20*time.Second, demand)
		require.Greater(t, float64(len(f.sent)-before), 0.8*20*f.limit, "at entry %d", i)
	}
	require.LessOrEqual(t, f.most(), allowed(f.limit))
}

// TestLimitChangesWithTheAnswers covers a limit that falls, rises, ends and begins again, and answers
// of an earlier incarnation.
func TestLimitChangesWithTheAnswers(t *testing.T) {
	var tracker ratelimit.Tracker
	tracker.SetMembers("one", []string{"one"})
	now := time.Unix(1000, 0)
	record := func(limit float64, sentAgo time.Duration) ratelimit.Change {
		now = now.Add(10 * time.Millisecond)
		_, change := tracker.RecordAnswer(endpoint, limit, now.Add(-sentAgo), now)
		return change
	}
	require.IsType(t, ratelimit.NoChange{}, record(0, 0), "no limit yet")
	require.IsType(t, ratelimit.LimitChanged{}, record(5, 0))
	require.IsType(t, ratelimit.NoChange{}, record(5, 0))
	require.IsType(t, ratelimit.LimitChanged{}, record(2, 0))
	require.InDelta(t, 2, tracker.Limit(endpoint), 1e-9)
	require.IsType(t, ratelimit.LimitChanged{}, record(8, 0))
	require.IsType(t, ratelimit.NoChange{}, record(0, 20*time.Millisecond), "the request was sent before the limit was named")
	require.InDelta(t, 8, tracker.Limit(endpoint), 1e-9)
	require.IsType(t, ratelimit.LimitChanged{}, record(0, time.Millisecond))
	require.Zero(t, tracker.Limit(endpoint))
	require.IsType(t, ratelimit.LimitChanged{}, record(3, 0))
}

// TestRestartClearsTheLimit has an endpoint restart under its ID. Late reports about its earlier
// incarnation change nothing.
func TestRestartClearsTheLimit(t *testing.T) {
	f := newFleet(2, 5)
	f.name()
	later := protocol.EndpointProcess{ID: endpoint.ID, Incarnation: endpoint.Incarnation + 1}
	require.Zero(t, f.trackers[0].Limit(later))
	_, change := f.trackers[0].RecordAnswer(later, 9, f.now, f.now.Add(time.Second))
	require.IsType(t, ratelimit.LimitChanged{}, change)
	f.now = f.now.Add(2 * time.Second)
	late, change := f.trackers[1].RecordAnswer(endpoint, 1, f.now, f.now)
	require.IsType(t, ratelimit.LimitChanged{}, change)
	f.receive(delivery{to: 0, from: 1, report: late})
	require.InDelta(t, 9, f.trackers[0].Limit(later), 1e-9)
}

// TestEntryThatIsNoMemberSendsNothing covers an entry that has just started: the others do not count
// it yet.
func TestEntryThatIsNoMemberSendsNothing(t *testing.T) {
	f := newFleet(2, 5)
	f.trackers[1].SetMembers("entry-1", []string{"entry-0"})
	f.name()
	f.run(10*time.Second, func(entry int) float64 { return 10 * float64(entry) })
	require.Empty(t, f.sent)
	f.trackers[1].SetMembers("entry-1", []string{"entry-0", "entry-1"})
	f.run(10*time.Second, func(entry int) float64 { return 10 * float64(entry) })
	require.NotEmpty(t, f.sent)
}

// TestReportsReachEntriesThatWereNotToldThemselves checks that entries keep to a limit that only
// another entry heard of.
func TestReportsReachEntriesThatWereNotToldThemselves(t *testing.T) {
	f := newFleet(7, 0.1)
	r, change := f.trackers[3].RecordAnswer(endpoint, f.limit, f.now, f.now)
	require.IsType(t, ratelimit.LimitChanged{}, change)
	f.spread(3, r)
	f.run(time.Second, func(int) float64 { return 0 })
	for i, tracker := range f.trackers {
		require.InDelta(t, f.limit, tracker.Limit(endpoint), 1e-9, i)
	}
}

// TestNoOrderOfReportsExceedsTheLimit lets reports come late, twice, out of order or never, while
// entries want more, lend, start again and change, and the limit changes. A loan that arrives later
// than its margin is the one thing that is left out.
func TestNoOrderOfReportsExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		limit := rapid.SampledFrom([]float64{0.1, 1, 4.2, 20}).Draw(t, "limit")
		f := newFleet(entries, limit)
		f.name()
		t.Repeat(map[string]func(*rapid.T){
			"burst": func(t *rapid.T) {
				entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
				for range rapid.IntRange(1, 30).Draw(t, "requests") {
					f.request(entry)
				}
			},
			"all": func(*rapid.T) {
				for i := range entries {
					f.request(i)
				}
			},
			"wait": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				f.dropLate()
			},
			"lend": func(t *rapid.T) { f.lend(rapid.IntRange(0, entries-1).Draw(t, "entry")) },
			"deliver": func(t *rapid.T) {
				if len(f.pending) == 0 {
					return
				}
				i := rapid.IntRange(0, len(f.pending)-1).Draw(t, "report")
				f.receive(f.pending[i])
				if rapid.Bool().Draw(t, "once") {
					f.pending = append(f.pending[:i], f.pending[i+1:]...)
				}
			},
			"lose": func(t *rapid.T) {
				if len(f.pending) > 0 {
					i := rapid.IntRange(0, len(f.pending)-1).Draw(t, "report")
					f.pending = append(f.pending[:i], f.pending[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, f.most(), allowed(limit))
			},
		})
	})
}

// dropLate drops the reports that are older than a connection between entries lets them become.
func (f *fleet) dropLate() {
	kept := f.pending[:0]
	for _, d := range f.pending {
		if f.now.Sub(d.report.At()) < 2500*time.Millisecond {
			kept = append(kept, d)
		}
	}
	f.pending = kept
}

// TestEndedLimitIsForgotten guards against a limit that has ended and costs every later choice a look,
// for as long as its endpoint answers.
func TestEndedLimitIsForgotten(t *testing.T) {
	var tracker ratelimit.Tracker
	tracker.SetMembers("one", []string{"one"})
	now := time.Unix(1000, 0)
	tracker.RecordAnswer(endpoint, 5, now, now)
	for range 200 {
		now = now.Add(time.Second)
		tracker.RecordAnswer(endpoint, 0, now, now)
		tracker.Sweep(func(string) bool { return true }, now)
	}
	require.True(t, tracker.Empty())
}
