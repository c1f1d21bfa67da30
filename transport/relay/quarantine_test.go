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

// deadly is work under which engines end.
var deadly = protocol.FingerprintOf("team", "POST", "host", "/path", []byte("ends what runs it"))

// endUnder has an entry meet the end of an engine in its first life, a second after the last one,
// under that work.
func endUnder(e *entry, engine string) {
	time.Sleep(time.Second)
	now := time.Now()
	e.source.Quarantine().Report(protocol.RelayWork{Work: deadly, Endpoint: engine, Incarnation: 1, Observation: protocol.WorkBroke}, now)
	e.source.ReportLoss(engine, protocol.LossRefused, now)
}

// living has entries know that life of every engine.
func living(all []*entry, life protocol.Incarnation) {
	for _, e := range all {
		e.source.EndpointCount = func() int { return 80 }
		e.source.Incarnation = func(string) protocol.Incarnation { return life }
	}
}

// refusing returns how many entries refuse that work.
func refusing(all []*entry) int {
	n := 0
	for _, e := range all {
		if _, refused := e.source.Quarantine().Status(deadly, time.Now()).(quarantine.Refused); refused {
			n++
		}
	}
	return n
}

// TestWorkThatEndsEnginesIsKnownToAll: each of three ends is met by another one of thirty entries.
func TestWorkThatEndsEnginesIsKnownToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 30)
		living(all, 1)
		for i := range 3 {
			endUnder(all[5+7*i], fmt.Sprint("engine-", i))
		}
		last := time.Now()
		eventually(t, "all refuse it", func() bool { return refusing(all) == len(all) })
		require.Less(t, time.Since(last), 300*time.Millisecond)
	})
}

// TestAnswersOfLivingEnginesAreNotTold: they break off for other reasons all the time.
func TestAnswersOfLivingEnginesAreNotTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 5)
		living(all, 1)
		news := protocol.RelayWork{Work: deadly, Endpoint: "engine", Incarnation: 1, Observation: protocol.WorkBroke}
		all[2].source.Quarantine().Report(news, time.Now())
		time.Sleep(time.Second)
		for i, e := range all {
			require.Equal(t, i != 2, e.source.Quarantine().Empty(), e.outside.name)
		}
		all[4].source.ReportLoss("engine", protocol.LossRefused, time.Now())
		eventually(t, "the end proves it", func() bool { return !all[0].source.Quarantine().Empty() })
	})
}

// TestAnEntryThatStartsLaterKnowsOfEarlierEnds: the engines live again by then, so their records
// prove what it is told; what was released meanwhile it is not told.
func TestAnEntryThatStartsLaterKnowsOfEarlierEnds(t *testing.T) {
	for _, released := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			s.put(table, "one")
			all := newEntries(t, s, 4)
			living(all, 1)
			for i := range 3 {
				endUnder(all[i], fmt.Sprint("engine-", i))
			}
			eventually(t, "all refuse it", func() bool { return refusing(all) == len(all) })
			living(all, 2)
			if released {
				hold(all)
				for _, e := range all {
					require.True(t, e.source.Quarantine().Release(deadly, time.Now()))
				}
			}
			late := follow(t, s, all[0])
			living([]*entry{late}, 2)
			time.Sleep(time.Second)
			require.Equal(t, released, late.source.Quarantine().Empty())
			if !released {
				require.Equal(t, 1, refusing([]*entry{late}))
			}
		})
	}
}

// hold has entries read what the platform keeps of that work.
func hold(all []*entry) {
	now := time.Now()
	kept := protocol.RefusedWork{UntilMS: now.Add(time.Minute).UnixMilli()}
	for i := range 3 {
		kept.Crashes = append(kept.Crashes, protocol.WorkCrash{Endpoint: fmt.Sprint("engine-", i), Incarnation: 1, AtMS: now.Add(time.Duration(i-3) * time.Second).UnixMilli()})
	}
	for _, e := range all {
		e.source.Quarantine().RestoreRefusal(deadly, &kept, now, now)
	}
}
