// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// crashingWork is work that crashes its endpoint.
var crashingWork = protocol.FingerprintOf("team", "POST", "host", "/path", []byte("ends what runs it"))

// reportCrash has an entry observe, a second after the last report, that the first incarnation of
// an engine crashed under crashingWork.
func reportCrash(e *entry, engine string) {
	time.Sleep(time.Second)
	now := time.Now()
	e.source.Quarantine().Report(protocol.WorkReport{Work: crashingWork, Endpoint: engine, Incarnation: 1, Observation: protocol.WorkBroke}, now)
	e.source.ReportLoss(engine, protocol.LossRefused, now)
}

// setIncarnation sets the incarnation of every engine that entries know.
func setIncarnation(all []*entry, incarnation protocol.Incarnation) {
	for _, e := range all {
		e.source.EndpointCount = func() int { return 80 }
		e.source.Incarnation = func(string) protocol.Incarnation { return incarnation }
	}
}

// countRefusing returns how many entries refuse crashingWork.
func countRefusing(all []*entry) int {
	n := 0
	for _, e := range all {
		content := quarantine.NewContent(crashingWork, nil)
		if _, refused := e.source.Quarantine().Status(&content, time.Now()).(quarantine.Refused); refused {
			n++
		}
	}
	return n
}

// TestCrashingWorkIsRefusedByAllEntries has three of thirty entries observe one crash each.
func TestCrashingWorkIsRefusedByAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 30)
		setIncarnation(all, 1)
		for i := range 3 {
			reportCrash(all[5+7*i], fmt.Sprint("engine-", i))
		}
		reported := time.Now()
		eventually(t, "all entries refuse the work", func() bool { return countRefusing(all) == len(all) })
		require.Less(t, time.Since(reported), 300*time.Millisecond)
	})
}

// TestUnconfirmedReportsAreNotSent guards against a report of every aborted response: responses are
// often aborted for other reasons.
func TestUnconfirmedReportsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 5)
		setIncarnation(all, 1)
		report := protocol.WorkReport{Work: crashingWork, Endpoint: "engine", Incarnation: 1, Observation: protocol.WorkBroke}
		all[2].source.Quarantine().Report(report, time.Now())
		time.Sleep(time.Second)
		for i, e := range all {
			require.Equal(t, i != 2, e.source.Quarantine().Empty(), e.client.name)
		}
		all[4].source.ReportLoss("engine", protocol.LossRefused, time.Now())
		eventually(t, "the crash confirms the report", func() bool { return !all[0].source.Quarantine().Empty() })
	})
}

// TestLaterEntryLearnsOfEarlierCrashes starts an entry when the engines run again. Their records
// then confirm the reports that it receives. It receives none of work that was released meanwhile.
func TestLaterEntryLearnsOfEarlierCrashes(t *testing.T) {
	for _, released := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			s.put(table, "one")
			all := newEntries(t, s, 4)
			setIncarnation(all, 1)
			for i := range 3 {
				reportCrash(all[i], fmt.Sprint("engine-", i))
			}
			eventually(t, "all entries refuse the work", func() bool { return countRefusing(all) == len(all) })
			setIncarnation(all, 2)
			if released {
				restoreRefusals(all)
				for _, e := range all {
					require.True(t, e.source.Quarantine().Release(crashingWork, time.Now()))
				}
			}
			late := startFollower(t, s, all[0])
			setIncarnation([]*entry{late}, 2)
			time.Sleep(time.Second)
			require.Equal(t, released, late.source.Quarantine().Empty())
			if !released {
				require.Equal(t, 1, countRefusing([]*entry{late}))
			}
		})
	}
}

// restoreRefusals has entries restore a stored refusal of crashingWork.
func restoreRefusals(all []*entry) {
	now := time.Now()
	stored := protocol.RefusedWork{UntilMS: now.Add(time.Minute).UnixMilli()}
	for i := range 3 {
		stored.Crashes = append(stored.Crashes, protocol.WorkCrash{Endpoint: fmt.Sprint("engine-", i), Incarnation: 1, AtMS: now.Add(time.Duration(i-3) * time.Second).UnixMilli()})
	}
	for _, e := range all {
		e.source.Quarantine().RestoreRefusal(crashingWork, &stored, now, now)
	}
}
