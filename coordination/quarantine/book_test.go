// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// begun is when the tests begin.
var begun = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// settled is longer after an end than its last witness may tell.
const settled = 200 * time.Millisecond

// number returns the fingerprint with a number.
func number(n int) protocol.Fingerprint {
	var f protocol.Fingerprint
	binary.BigEndian.PutUint64(f[:], uint64(n)+1)
	return f
}

// page is a book and the time of its tests.
type page struct {
	book quarantine.Tracker
	now  time.Time
}

func newPage() *page { return &page{now: begun} }

// tell reports that an entry met a sign of work at an endpoint, now.
func (p *page) tell(sign protocol.WorkObservation, work protocol.Fingerprint, endpoint, witness string) bool {
	return p.book.Apply(quarantine.NewReport(protocol.RelayWork{Work: work, Endpoint: endpoint, Incarnation: 1, Observer: witness, Observation: sign}, p.now), p.now)
}

// end ends an endpoint under some work, and lets the time pass that witnesses have.
func (p *page) end(endpoint string, works ...protocol.Fingerprint) {
	p.now = p.now.Add(time.Second)
	for _, f := range works {
		p.tell(protocol.WorkBroke, f, endpoint, "entry")
	}
	p.book.RecordCrash(endpoint, 1, p.now)
	p.now = p.now.Add(settled)
}

func (p *page) standing(work protocol.Fingerprint) quarantine.Status {
	return p.book.Status(work, p.now)
}

func TestWorkThatWasAtThreeEndsIsRefused(t *testing.T) {
	p, deadly, beside := newPage(), number(0), number(1)
	require.IsType(t, quarantine.Unrestricted{}, p.standing(deadly))
	p.end("e-1", deadly, beside)
	require.IsType(t, quarantine.PreferIsolation{}, p.standing(deadly))
	p.end("e-2", deadly)
	require.IsType(t, quarantine.RequireIsolation{}, p.standing(deadly))
	p.end("e-3", deadly)
	r, ok := p.standing(deadly).(quarantine.Refused)
	require.True(t, ok)
	require.Equal(t, 3, r.Crashes())
	require.IsType(t, quarantine.PreferIsolation{}, p.standing(beside))
	all := p.book.NewRefusals(p.now, begun)
	require.Len(t, all, 1)
	require.Equal(t, deadly, all[0].Work())
	require.Len(t, all[0].Crashes(), 3)
	require.Empty(t, p.book.NewRefusals(p.now, begun), "it is told once")
}

// TestWorkThatWasBesideItAtEveryEndIsToldApart: two pieces of work share three ends, so neither
// is refused. Alone the one ends a fourth endpoint, and the other one runs well.
func TestWorkThatWasBesideItAtEveryEndIsToldApart(t *testing.T) {
	p, deadly, beside := newPage(), number(0), number(1)
	for _, e := range []string{"e-1", "e-2", "e-3"} {
		p.end(e, deadly, beside)
	}
	require.IsType(t, quarantine.RequireIsolation{}, p.standing(deadly))
	require.IsType(t, quarantine.RequireIsolation{}, p.standing(beside))
	p.tell(protocol.WorkRan, beside, "e-5", "entry")
	p.end("e-4", deadly)
	require.IsType(t, quarantine.Refused{}, p.standing(deadly))
	require.IsType(t, quarantine.Unrestricted{}, p.standing(beside))
}

func TestTheSameEndCountsOnceWhoeverTells(t *testing.T) {
	p, work := newPage(), number(0)
	for i := range 5 {
		p.tell(protocol.WorkBroke, work, "e-1", fmt.Sprint("entry-", i))
	}
	p.end("e-1", work)
	require.IsType(t, quarantine.PreferIsolation{}, p.standing(work))
}

// TestBrokenAnswersOfLivingEndpointsCountForNothing: connections are reset, answers are cut off,
// a writer tells what did not happen.
func TestBrokenAnswersOfLivingEndpointsCountForNothing(t *testing.T) {
	p, work := newPage(), number(0)
	for i := range 6 {
		p.tell(protocol.WorkBroke, work, fmt.Sprint("e-", i), "entry")
	}
	p.now = p.now.Add(settled)
	require.IsType(t, quarantine.PreferIsolation{}, p.standing(work))
	p.now = p.now.Add(10 * time.Second)
	require.IsType(t, quarantine.Unrestricted{}, p.standing(work))
	p.book.RecordCrash("e-1", 1, p.now)
	require.IsType(t, quarantine.PreferIsolation{}, p.standing(work), "the record of the next life proves it late")
}

// TestAnEndProvesWhatWasToldBeforeOrAfterIt: news of the end and of the work come by different ways.
func TestAnEndProvesWhatWasToldBeforeOrAfterIt(t *testing.T) {
	for _, first := range []bool{true, false} {
		p, work := newPage(), number(0)
		for i := range 3 {
			e := fmt.Sprint("e-", i)
			if first {
				p.book.RecordCrash(e, 1, p.now)
			}
			p.tell(protocol.WorkBroke, work, e, "entry")
			if !first {
				p.book.RecordCrash(e, 1, p.now)
			}
			p.now = p.now.Add(time.Second)
		}
		require.IsType(t, quarantine.Refused{}, p.standing(work))
	}
}

func TestTheEndOfAnEarlierLifeProvesNothing(t *testing.T) {
	p, work := newPage(), number(0)
	p.book.RecordCrash("e-1", 1, p.now)
	p.book.Apply(quarantine.NewReport(protocol.RelayWork{Work: work, Endpoint: "e-1", Incarnation: 2, Observer: "entry", Observation: protocol.WorkBroke}, p.now), p.now)
	p.now = p.now.Add(10 * time.Second)
	require.IsType(t, quarantine.Unrestricted{}, p.standing(work))
}

// TestOldNewsDoesNotUndoWhatCameAfterIt: a report that is passed on late tells of before the
// work ran well.
func TestOldNewsDoesNotUndoWhatCameAfterIt(t *testing.T) {
	p, work := newPage(), number(0)
	p.end("e-1", work)
	p.end("e-2", work)
	old := p.now
	p.now = p.now.Add(time.Second)
	require.True(t, p.tell(protocol.WorkRan, work, "e-9", "entry"))
	late := protocol.RelayWork{Work: work, Endpoint: "e-3", Incarnation: 1, Observer: "other", Observation: protocol.WorkBroke}
	require.False(t, p.book.Apply(quarantine.NewReport(late, old), p.now))
	require.IsType(t, quarantine.Unrestricted{}, p.standing(work))
	require.False(t, p.tell(protocol.WorkRan, number(7), "e-9", "entry"), "nothing is known of most")
}

func TestNewsOfBeforeAnEndDoesNotClearIt(t *testing.T) {
	p, work := newPage(), number(0)
	before := p.now
	p.end("e-1", work)
	ran := protocol.RelayWork{Work: work, Endpoint: "e-2", Incarnation: 1, Observer: "other", Observation: protocol.WorkRan}
	require.False(t, p.book.Apply(quarantine.NewReport(ran, before), p.now))
	require.IsType(t, quarantine.PreferIsolation{}, p.standing(work))
}

func TestRefusedWorkIsTriedAgainAloneAndRefusedForLonger(t *testing.T) {
	p, work := newPage(), number(0)
	for _, e := range []string{"e-1", "e-2", "e-3"} {
		p.end(e, work)
	}
	first := p.standing(work).(quarantine.Refused).Until()
	p.now = first
	require.IsType(t, quarantine.RequireIsolation{}, p.standing(work))
	p.end("e-4", work)
	r := p.standing(work).(quarantine.Refused)
	require.Greater(t, r.Until().Sub(p.now), first.Sub(begun))
	p.now = r.Until()
	p.tell(protocol.WorkRan, work, "e-5", "entry")
	require.IsType(t, quarantine.Unrestricted{}, p.standing(work), "whatever was wrong is mended")
}

// TestWorkThatIsTriedForDaysIsRefusedEachTime: more ends than are remembered.
func TestWorkThatIsTriedForDaysIsRefusedEachTime(t *testing.T) {
	p, work := newPage(), number(0)
	for i := range 40 {
		p.end(fmt.Sprint("e-", i), work)
		if r, refused := p.standing(work).(quarantine.Refused); refused {
			p.now = r.Until()
		}
		require.Equal(t, i >= 2, p.book.Refusals(p.now.Add(-time.Nanosecond)) == 1)
	}
}

func TestNewsOfTheFutureCountsForNothing(t *testing.T) {
	p, work := newPage(), number(0)
	news := protocol.RelayWork{Work: work, Endpoint: "e", Incarnation: 1, Observer: "entry", Observation: protocol.WorkBroke}
	require.False(t, p.book.Apply(quarantine.NewReport(news, p.now.Add(time.Second)), p.now))
	require.True(t, p.book.Empty())
}

func TestARefusalOutlastsTheBook(t *testing.T) {
	p, work := newPage(), number(0)
	for _, e := range []string{"e-1", "e-2", "e-3"} {
		p.end(e, work)
	}
	all := p.book.NewRefusals(p.now, p.now)
	kept := protocol.RefusedWork{Crashes: all[0].Crashes(), UntilMS: all[0].Until().UnixMilli()}
	next := newPage()
	next.now = p.now.Add(time.Minute)
	require.True(t, next.book.RestoreRefusal(work, &kept, next.now, next.now))
	require.IsType(t, quarantine.Refused{}, next.standing(work))
	require.Equal(t, 1, next.book.Refusals(next.now))
	require.True(t, next.book.Release(work, next.now))
	require.IsType(t, quarantine.Unrestricted{}, next.standing(work))
	require.False(t, next.book.Release(work, next.now))
}

// TestRecordsWithoutEvidenceRefuseNothing: another writer, or one with a wrong clock.
func TestRecordsWithoutEvidenceRefuseNothing(t *testing.T) {
	p, work := newPage(), number(0)
	three := []protocol.WorkCrash{{Endpoint: "a"}, {Endpoint: "b"}, {Endpoint: "c"}}
	soon, never := p.now.Add(time.Minute).UnixMilli(), p.now.Add(1000*time.Hour).UnixMilli()
	for what, r := range map[string]protocol.RefusedWork{
		"empty": {}, "two ends": {Crashes: three[:2], UntilMS: soon}, "lapsed": {Crashes: three, UntilMS: p.now.UnixMilli()}, "for ever": {Crashes: three, UntilMS: never},
		"the same end": {Crashes: []protocol.WorkCrash{three[0], three[0], three[0]}, UntilMS: soon},
	} {
		require.False(t, p.book.RestoreRefusal(work, &r, p.now, p.now), what)
		require.IsType(t, quarantine.Unrestricted{}, p.standing(work), what)
	}
}

func TestAnEndpointOnTrialIsKeptFreeOfOtherWork(t *testing.T) {
	p, work, other := newPage(), number(0), number(1)
	p.end("e-1", work, other)
	p.end("e-2", work, other)
	require.True(t, p.tell(protocol.WorkTried, work, "e-3", "entry"))
	require.False(t, p.tell(protocol.WorkTried, work, "e-3", "entry"), "known already")
	require.Equal(t, []string{"e-3"}, p.book.ReservedEndpoints(other, p.now))
	require.Empty(t, p.book.ReservedEndpoints(work, p.now))
	require.IsType(t, quarantine.Waiting{}, p.standing(work), "one trial at a time")
	require.IsType(t, quarantine.RequireIsolation{}, p.standing(other))
	require.False(t, p.tell(protocol.WorkTrialOver, work, "e-3", "another"), "not its trial")
	require.True(t, p.tell(protocol.WorkTrialOver, work, "e-3", "entry"))
	require.Empty(t, p.book.ReservedEndpoints(other, p.now))
	p.tell(protocol.WorkTried, work, "e-3", "entry")
	p.now = p.now.Add(time.Minute)
	require.Empty(t, p.book.ReservedEndpoints(other, p.now), "the end of a trial may not be told")
}

func TestTheBookForgetsTheLeastOfTooMuch(t *testing.T) {
	p, deadly := newPage(), number(1_000_000)
	for _, e := range []string{"e-1", "e-2", "e-3"} {
		p.end(e, deadly)
	}
	for n := range 10_000 {
		p.now = p.now.Add(time.Microsecond)
		p.tell(protocol.WorkBroke, number(n), "e-9", "entry")
	}
	p.book.RecordCrash("e-9", 1, p.now)
	require.IsType(t, quarantine.Refused{}, p.standing(deadly))
	require.IsType(t, quarantine.Unrestricted{}, p.standing(number(0)))
	require.IsType(t, quarantine.PreferIsolation{}, p.standing(number(9_999)))
	p.now = p.now.Add(1000 * time.Hour)
	p.book.NewRefusals(p.now, p.now)
	require.True(t, p.book.Empty())
}

// TestTheOrderOfNewsDoesNotMatter tells two books the same in different orders.
func TestTheOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type told struct {
			work, endpoint int
			ended          bool
		}
		news := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) told {
			return told{work: rapid.IntRange(0, 3).Draw(t, "work"), endpoint: rapid.IntRange(0, 5).Draw(t, "endpoint"), ended: rapid.Bool().Draw(t, "ended")}
		}), 0, 40).Draw(t, "news")
		tell := func(order []int) []quarantine.Status {
			p := newPage()
			for _, i := range order {
				n := news[i]
				if n.ended {
					p.book.RecordCrash(fmt.Sprint(n.endpoint), 1, p.now)
				} else {
					p.tell(protocol.WorkBroke, number(n.work), fmt.Sprint(n.endpoint), "entry")
				}
			}
			p.now = p.now.Add(settled)
			var all []quarantine.Status
			for w := range 4 {
				all = append(all, p.standing(number(w)))
			}
			return all
		}
		order := make([]int, len(news))
		for i := range order {
			order[i] = i
		}
		shuffled := append([]int(nil), order...)
		draw := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		draw.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		require.Equal(t, tell(order), tell(shuffled))
	})
}
