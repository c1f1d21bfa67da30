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

const killedEntryLog = `   5.2 front-1 {"time":"2026-01-01T00:00:05Z","msg":"request sent","entry":"front-1","event":2003,"request":"a","attempt":1,"path":"i-1=0-80"}
text without JSON
{"not": "a pinerun log line"}
{"time":"2026-01-01T00:00:08Z","msg":"entry ready","entry":"front-1","event":1001}
`

func TestRequestOpenWhenEntryWasKilled(t *testing.T) {
	require.Contains(t, explained(t, killedEntryLog, "a").Cause(), "the entry front-1 ended while the request was open")
}

func TestOpenRequestHasNoCause(t *testing.T) {
	first, _, _ := strings.Cut(killedEntryLog, "text without")
	r := explained(t, first, "a")
	require.Empty(t, r.Cause())
	require.Contains(t, r.String(), "cause: unknown")
}

func TestRequestOpenWhenEntryStoppedLogging(t *testing.T) {
	first, _, _ := strings.Cut(killedEntryLog, "text without")
	other := `{"time":"2026-01-01T00:00:30Z","msg":"request sent","entry":"front-2","event":2003,"request":"z"}`
	require.Contains(t, explained(t, first+other, "a").Cause(), "the entry front-1 has no line after this")
}

func TestRequestThatNoEntryReceived(t *testing.T) {
	require.Contains(t, explained(t, killedEntryLog, "b").Cause(), "no entry of these logs read it")
	dropped := killedEntryLog + `{"time":"2026-01-01T00:00:09Z","msg":"lines dropped","entry":"front-1","event":9101,"lines":7}`
	require.Contains(t, explained(t, dropped, "b").Cause(), "7 lines were dropped")
}

// TestReportHasStateOfServingEntryOnly adds lines of other entries and later lines to the log.
func TestReportHasStateOfServingEntryOnly(t *testing.T) {
	log := `{"time":"2026-01-01T00:00:01Z","msg":"configuration in force","entry":"front-1","event":4001,"version":3}
{"time":"2026-01-01T00:00:02Z","msg":"configuration in force","entry":"front-1","event":4001,"version":4}
{"time":"2026-01-01T00:00:03Z","msg":"configuration in force","entry":"front-2","event":4001,"version":5}
{"time":"2026-01-01T00:00:04Z","msg":"runner ejected","entry":"front-1","event":3003,"runner":"i-1","reason":"requests wait for it"}
{"time":"2026-01-01T00:00:04Z","msg":"runner ejected","entry":"front-1","event":3003,"runner":"i-9","reason":"another path"}
{"time":"2026-01-01T00:00:05Z","msg":"request sent","entry":"front-1","event":2003,"request":"a","attempt":1,"path":"i-1=0-80"}
{"time":"2026-01-01T00:00:06Z","msg":"stream cut","entry":"front-1","event":2007,"request":"a","kind":"stage_failed","events":3}
{"time":"2026-01-01T00:00:07Z","msg":"configuration in force","entry":"front-1","event":4001,"version":6}
`
	text := explained(t, log, "a").String()
	require.Contains(t, text, `"version":4`)
	require.NotContains(t, text, `"version":3`)
	require.NotContains(t, text, `"version":5`)
	require.NotContains(t, text, `"version":6`)
	require.Contains(t, text, "runner i-1 was left out (requests wait for it)")
	require.NotContains(t, text, "i-9")
}

func FuzzRead(f *testing.F) {
	f.Add(killedEntryLog)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := explain.Read(strings.NewReader(text))
		if err == nil {
			_ = explain.Explain(lines, "a").String()
		}
	})
}
