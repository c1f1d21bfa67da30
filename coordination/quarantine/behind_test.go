// SPDX-License-Identifier: Apache-2.0

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// endBehind ends a later stage of the paths of some work.
func (p *page) endBehind(endpoint string, works ...protocol.Fingerprint) {
	p.now = p.now.Add(time.Second)
	p.book.RecordCrash(endpoint, 1, p.now)
	for _, f := range works {
		p.tell(protocol.WorkBrokeBehind, f, endpoint, "entry")
	}
	p.now = p.now.Add(settled)
}

// TestLaterStagesCountFromTheThirdEndOn, and refuse only after a trial: whatever waits for a
// stage is there when it ends.
func TestLaterStagesCountFromTheThirdEndOn(t *testing.T) {
	p, deadly, beside := newPage(), number(0), number(1)
	p.endBehind("e-1", deadly, beside)
	p.endBehind("e-2", deadly, beside)
	require.IsType(t, quarantine.Unrestricted{}, p.standing(deadly))
	require.True(t, p.book.IsSuspected(deadly), "running well clears it")
	p.endBehind("e-3", deadly, beside)
	require.IsType(t, quarantine.RequireIsolation{}, p.standing(deadly))
	require.IsType(t, quarantine.RequireIsolation{}, p.standing(beside))
	p.tell(protocol.WorkRan, beside, "e-9", "entry")
	p.endBehind("e-4", deadly)
	require.IsType(t, quarantine.Refused{}, p.standing(deadly))
	require.IsType(t, quarantine.Unrestricted{}, p.standing(beside))
}

// TestManyLaterStagesAloneRefuseNobody: half of a fleet ends at once, and the same request waits
// for one after the other.
func TestManyLaterStagesAloneRefuseNobody(t *testing.T) {
	p, work, other := newPage(), number(0), number(1)
	for i := range 8 {
		p.endBehind(fmt.Sprint("e-", i), work, other)
		_, refused := p.standing(work).(quarantine.Refused)
		require.False(t, refused)
	}
}

// TestAStageThatIsOnlySilentCountsForNothing, nor does one that lives on.
func TestAStageThatIsOnlySilentCountsForNothing(t *testing.T) {
	p, work := newPage(), number(0)
	for i := range 4 {
		p.tell(protocol.WorkBrokeBehind, work, fmt.Sprint("e-", i), "entry")
	}
	require.IsType(t, quarantine.Unrestricted{}, p.standing(work))
}
