// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// breakUnclear breaks work at an endpoint of which it is not clear whether it has ended.
func (p *page) breakUnclear(endpoint string, works ...protocol.Fingerprint) {
	p.now = p.now.Add(50 * time.Millisecond)
	for _, f := range works {
		p.tell(protocol.WorkBroke, f, endpoint, "entry")
	}
	p.book.RecordUnresolved(endpoint, 1, p.now)
}

// TestWorkWaitsWhileItIsNotClearWhetherItWasAtTwoEnds: sent on meanwhile it ended each engine
// whose port takes connections while it is away.
func TestWorkWaitsWhileItIsNotClearWhetherItWasAtTwoEnds(t *testing.T) {
	for name, c := range map[string]struct {
		turnsOut func(p *page)
		standing quarantine.Status
	}{
		"both ended": {
			turnsOut: func(p *page) {
				p.book.RecordCrash("e-1", 1, p.now)
				p.book.RecordCrash("e-2", 1, p.now)
			},
			standing: quarantine.RequireIsolation{},
		},
		"both are in the same life": {
			turnsOut: func(p *page) {
				p.book.RecordAnswer("e-1", 1, true, p.now)
				p.book.RecordAnswer("e-2", 1, true, p.now)
			},
			standing: quarantine.Unrestricted{},
		},
		"both answer, perhaps in the next life": {
			turnsOut: func(p *page) {
				p.book.RecordAnswer("e-1", 1, false, p.now)
				p.book.RecordAnswer("e-2", 1, false, p.now)
			},
			standing: quarantine.PreferIsolation{},
		},
		"nothing, in time": {
			turnsOut: func(p *page) { p.now = p.now.Add(quarantine.UnresolvedTimeout) },
			standing: quarantine.PreferIsolation{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, work := newPage(), number(0)
			p.breakUnclear("e-1", work)
			require.IsType(t, quarantine.PreferIsolation{}, p.standing(work), "one further send is let through")
			p.breakUnclear("e-2", work)
			require.IsType(t, quarantine.Waiting{}, p.standing(work))
			c.turnsOut(p)
			require.IsType(t, c.standing, p.standing(work))
		})
	}
}

// TestWhatAnotherEntryIsInDoubtOfIsWaitedForToo, but for no longer: news may come late.
func TestWhatAnotherEntryIsInDoubtOfIsWaitedForToo(t *testing.T) {
	for ago, standing := range map[time.Duration]quarantine.Status{
		time.Millisecond: quarantine.Waiting{}, quarantine.UnresolvedTimeout: quarantine.PreferIsolation{},
	} {
		p, work := newPage(), number(0)
		for _, e := range []string{"e-1", "e-2"} {
			news := protocol.RelayWork{Work: work, Endpoint: e, Incarnation: 1, Observer: "entry", Observation: protocol.WorkBroke}
			p.book.Apply(quarantine.NewReport(news, p.now.Add(-ago)).AsUnresolved(), p.now)
		}
		require.IsType(t, standing, p.standing(work), ago)
	}
}

// TestAnEndLongAfterABrokenConnectionCountsForNothing: the endpoint was asked and lived, and was
// stopped for another reason later.
func TestAnEndLongAfterABrokenConnectionCountsForNothing(t *testing.T) {
	p, work := newPage(), number(0)
	p.breakUnclear("e-1", work)
	p.book.RecordAnswer("e-1", 1, true, p.now)
	p.now = p.now.Add(10 * time.Second)
	p.book.RecordCrash("e-1", 1, p.now)
	require.IsType(t, quarantine.Unrestricted{}, p.standing(work))
}

// TestAnAnswerToAnEarlierQuestionClearsNothing: the work broke after it was asked.
func TestAnAnswerToAnEarlierQuestionClearsNothing(t *testing.T) {
	p, work := newPage(), number(0)
	asked := p.now
	p.breakUnclear("e-1", work)
	p.breakUnclear("e-2", work)
	p.book.RecordAnswer("e-1", 1, true, asked)
	require.IsType(t, quarantine.Waiting{}, p.standing(work))
}
