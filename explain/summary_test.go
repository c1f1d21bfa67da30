// SPDX-License-Identifier: Apache-2.0

package explain_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/explain"
)

const requestLog = `
{"time":"2026-01-01T00:00:01Z","entry":"e","event":2003,"request":"a","attempt":1}
{"time":"2026-01-01T00:00:01.5Z","entry":"e","event":2010,"request":"a","attempt":1,"endpoint":"i-1","at_fault":"10.0.0.2:80"}
{"time":"2026-01-01T00:00:01.6Z","entry":"e","event":2003,"request":"a","attempt":2}
{"time":"2026-01-01T00:00:03Z","entry":"e","event":2004,"request":"a","first_ms":1400}
{"time":"2026-01-01T00:00:03Z","entry":"f","event":2011,"request":"b","held_ms":1600}
{"time":"2026-01-01T00:00:03Z","entry":"f","event":2001,"request":"b","kind":"queue_full"}
{"time":"2026-01-01T00:00:03.1Z","entry":"f","event":2008,"request":"c","events":0}
{"time":"2026-01-01T00:00:03.2Z","entry":"f","event":2007,"request":"d","kind":"stage_failed"}
{"time":"2026-01-01T00:00:03.3Z","entry":"f","event":3003,"runner":"i-9"}
`

// platformCallLog has calls of two entries to the platform, one of which failed.
const platformCallLog = `
{"time":"2026-01-01T00:00:01Z","entry":"e","event":5003,"call":"read","objects":"config","took_ms":4,"cause":""}
{"time":"2026-01-01T00:00:01.4Z","entry":"e","event":5003,"call":"read","objects":"config","took_ms":4,"cause":"503 Service Unavailable"}
{"time":"2026-01-01T00:00:03Z","entry":"f","event":5003,"call":"watch","objects":"servers","took_ms":900,"cause":""}
`

func TestSummaryCountsPlatformCalls(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(platformCallLog))
	require.NoError(t, err)
	s := explain.Summarize(lines, 2*time.Second)
	require.Len(t, s.Intervals(), 2)
	require.Equal(t, [2]int{2, 1}, [2]int{s.Intervals()[0].Calls, s.Intervals()[0].Failed})
	require.Equal(t, []explain.Tally{{Name: "read config", Count: 2}, {Name: "watch servers", Count: 1}}, s.Calls())
	require.Equal(t, []explain.Tally{{Name: "e", Count: 2}, {Name: "f", Count: 1}}, s.CallingEntries())
	require.Contains(t, s.String(), "calls to the platform")
}

func TestSummaryCountsRequestOutcomes(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(requestLog))
	require.NoError(t, err)
	s := explain.Summarize(lines, 2*time.Second)
	require.Len(t, s.Intervals(), 2)
	first, second := s.Intervals()[0], s.Intervals()[1]
	require.Equal(t, 2, first.Sent)
	require.Equal(t, 1, first.NotRun)
	require.Zero(t, first.Answered)
	require.Equal(t, [5]int{1, 1, 1, 1, 1}, [5]int{second.Answered, second.Refused, second.WaitFailed, second.Left, second.Cut})
	require.EqualValues(t, 1400, second.MaxFirstEventMS)
	require.Equal(t, []explain.Tally{{Name: "10.0.0.2:80", Count: 1}}, s.Faults())
	require.Equal(t, []explain.Tally{
		{Name: "caller left before the first event", Count: 1}, {Name: "refused: queue_full", Count: 1}, {Name: "stream cut: stage_failed", Count: 1},
	}, s.Causes())
	require.Contains(t, s.String(), "refused: queue_full")
}

func TestSummaryOfNoLinesIsEmpty(t *testing.T) {
	s := explain.Summarize(nil, time.Second)
	require.Empty(t, s.Intervals())
	require.Contains(t, s.String(), "how requests failed")
}

func TestQueueFullIsExplained(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(requestLog + `{"time":"2026-01-01T00:00:04Z","entry":"f","event":2001,"request":"e","kind":"queue_full","message":"no room"}`))
	require.NoError(t, err)
	require.Contains(t, explain.Explain(lines, "b").Cause(), "waited 1600 ms in vain")
	require.Contains(t, explain.Explain(lines, "e").Cause(), "refused at once")
}

// brokenAttemptLog has work that broke under two IDs at two entries, and work that broke twice
// at the same endpoint.
const brokenAttemptLog = `
{"time":"2026-01-01T00:00:01Z","entry":"e","event":2006,"request":"a","endpoint":"i-1","fingerprint":"aa"}
{"time":"2026-01-01T00:00:01Z","entry":"e","event":2006,"request":"b","endpoint":"i-1","fingerprint":"bb"}
{"time":"2026-01-01T00:00:02Z","entry":"f","event":2006,"request":"c","endpoint":"i-2","fingerprint":"aa"}
{"time":"2026-01-01T00:00:02Z","entry":"f","event":2006,"request":"d","endpoint":"i-1","fingerprint":"bb"}
`

func TestSummaryListsWorkBrokenAtSeveralEndpoints(t *testing.T) {
	lines, err := explain.Read(strings.NewReader(brokenAttemptLog))
	require.NoError(t, err)
	s := explain.Summarize(lines, 2*time.Second)
	require.Equal(t, []explain.Tally{{Name: "aa", Count: 2}}, s.BrokenWork())
	require.Contains(t, s.String(), "broke at several endpoints")
}
