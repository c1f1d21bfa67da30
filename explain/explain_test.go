// SPDX-License-Identifier: Apache-2.0

package explain_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/explain"
)

func explained(t *testing.T, log, id string) *explain.Report {
	t.Helper()
	lines, err := explain.Read(strings.NewReader(log))
	require.NoError(t, err)
	return explain.Explain(lines, id)
}

const killed = `   5.2 front-1 {"time":"2026-01-01T00:00:05Z","msg":"request sent","entry":"front-1","event":2003,"request":"a","attempt":1,"path":"i-1=0-80"}
noise without an object
{"not": "a line of ours"}
{"time":"2026-01-01T00:00:08Z","msg":"entry ready","entry":"front-1","event":1001}
`

func TestARequestOpenWhenItsEntryWasKilled(t *testing.T) {
	require.Contains(t, explained(t, killed, "a").Cause(), "the entry front-1 ended while the request was open")
}

func TestARequestThatIsStillOpenHasNoCause(t *testing.T) {
	first, _, _ := strings.Cut(killed, "noise")
	r := explained(t, first, "a")
	require.Empty(t, r.Cause())
	require.Contains(t, r.String(), "cause: unknown")
}

func TestARequestOpenWhenItsEntryEndedForGood(t *testing.T) {
	first, _, _ := strings.Cut(killed, "noise")
	other := `{"time":"2026-01-01T00:00:30Z","msg":"request sent","entry":"front-2","event":2003,"request":"z"}`
	require.Contains(t, explained(t, first+other, "a").Cause(), "the entry front-1 has no line after this")
}

func TestARequestThatNoEntryRead(t *testing.T) {
	require.Contains(t, explained(t, killed, "b").Cause(), "no entry of these logs read it")
	dropped := killed + `{"time":"2026-01-01T00:00:09Z","msg":"lines dropped","entry":"front-1","event":9101,"lines":7}`
	require.Contains(t, explained(t, dropped, "b").Cause(), "7 lines were dropped")
}

// TestBeliefsAreThoseOfTheRequestsEntryAtItsTime puts lines of other entries and
// later ones beside them.
func TestBeliefsAreThoseOfTheRequestsEntryAtItsTime(t *testing.T) {
	log := `{"time":"2026-01-01T00:00:01Z","msg":"configuration in force","entry":"front-1","event":4001,"version":3}
{"time":"2026-01-01T00:00:02Z","msg":"configuration in force","entry":"front-1","event":4001,"version":4}
{"time":"2026-01-01T00:00:03Z","msg":"configuration in force","entry":"front-2","event":4001,"version":5}
{"time":"2026-01-01T00:00:04Z","msg":"runner ejected","entry":"front-1","event":3003,"runner":"i-1","reason":"requests wait for it"}
{"time":"2026-01-01T00:00:04Z","msg":"runner ejected","entry":"front-1","event":3003,"runner":"i-9","reason":"another path"}
{"time":"2026-01-01T00:00:05Z","msg":"request sent","entry":"front-1","event":2003,"request":"a","attempt":1,"path":"i-1=0-80"}
{"time":"2026-01-01T00:00:06Z","msg":"stream cut","entry":"front-1","event":2007,"request":"a","kind":"stage_failed","events":3}
{"time":"2026-01-01T00:00:07Z","msg":"configuration in force","entry":"front-1","event":4001,"version":6}
`
	story := explained(t, log, "a").String()
	require.Contains(t, story, `"version":4`)
	require.NotContains(t, story, `"version":3`)
	require.NotContains(t, story, `"version":5`)
	require.NotContains(t, story, `"version":6`)
	require.Contains(t, story, "runner i-1 was left out (requests wait for it)")
	require.NotContains(t, story, "i-9")
}

func FuzzRead(f *testing.F) {
	f.Add(killed)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := explain.Read(strings.NewReader(text))
		if err == nil {
			_ = explain.Explain(lines, "a").String()
		}
	})
}
