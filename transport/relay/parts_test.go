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
	"pinerun.example/pinerun/transport/relay"
)

// sharedPart is a part of all prompts.
var sharedPart = protocol.FingerprintOfPart("aa00")

// crashAndRun has a request with the shared part fail at an endpoint, then another one run well, and only then the crash
// confirmed.
func crashAndRun(q *relay.Quarantine, n int) {
	parts := []protocol.Fingerprint{sharedPart}
	endpoint := fmt.Sprint("e-", n)
	time.Sleep(time.Second)
	q.Report(protocol.WorkReport{Work: protocol.Fingerprint{1, byte(n)}, Parts: parts, Endpoint: endpoint, Incarnation: 1, Observation: protocol.WorkBroke}, time.Now())
	time.Sleep(10 * time.Millisecond)
	q.RecordParts(parts, time.Now())
	q.Report(protocol.WorkReport{Work: protocol.Fingerprint{2, byte(n)}, Parts: parts, Endpoint: "other", Incarnation: 1, Observation: protocol.WorkRan}, time.Now())
	time.Sleep(10 * time.Millisecond)
	q.RecordCrash(endpoint, 1, time.Now())
}

// TestEntryThatStartsRefusesNoPartThatOthersHaveCleared sends the reports of several crashes to an entry that has seen nothing
// itself.
func TestEntryThatStartsRefusesNoPartThatOthersHaveCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, started := &relay.Quarantine{Self: "first"}, &relay.Quarantine{Self: "started"}
		const crashes = 8
		for n := range crashes {
			crashAndRun(first, n)
		}
		reports, _ := first.ReportsSince(0, time.Now())
		for n := range crashes {
			started.RecordCrash(fmt.Sprint("e-", n), 1, time.Now().Add(-time.Second))
		}
		started.Receive(reports, "first")
		time.Sleep(time.Second)
		require.Empty(t, started.NewRefusals(time.Now(), time.Now()))
		content := quarantine.NewContent(protocol.Fingerprint{9}, []protocol.Fingerprint{sharedPart})
		require.Equal(t, quarantine.Unrestricted{}, started.Status(&content, time.Now()))
	})
}

// TestStoredRefusalOfPartThatRanWellSinceIsDropped reads the refusal of an entry that did not know of the later runs.
func TestStoredRefusalOfPartThatRanWellSinceIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &relay.Quarantine{Self: "first"}
		refused := protocol.RefusedWork{Part: true, UntilMS: time.Now().Add(10 * time.Minute).UnixMilli()}
		for n := range 3 {
			refused.Crashes = append(refused.Crashes, protocol.WorkCrash{Endpoint: fmt.Sprint("e-", n), Incarnation: 1, AtMS: time.Now().Add(time.Duration(n-4) * time.Second).UnixMilli()})
		}
		q.RecordParts([]protocol.Fingerprint{sharedPart}, time.Now())
		time.Sleep(time.Millisecond)
		q.RestoreRefusal(sharedPart, &refused, time.Now(), time.Now())
		require.Empty(t, q.StoredRefusals())
		content := quarantine.NewContent(protocol.Fingerprint{9}, []protocol.Fingerprint{sharedPart})
		require.Equal(t, quarantine.Unrestricted{}, q.Status(&content, time.Now()))
		other := protocol.FingerprintOfPart("bad0")
		require.True(t, q.RestoreRefusal(other, &refused, time.Now(), time.Now()))
	})
}
