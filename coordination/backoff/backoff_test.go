// SPDX-License-Identifier: Apache-2.0

package backoff_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/backoff"
	"pinerun.example/pinerun/protocol"
)

var (
	endpoint = protocol.EndpointProcess{ID: "i-1", Incarnation: 7}
	start    = time.Unix(1000, 0)
)

func after(d time.Duration) time.Time { return start.Add(d) }

// TestBackoffIsFollowedByOneTrial checks that requests which wait for the end of a backoff do not all go at
// once.
func TestBackoffIsFollowedByOneTrial(t *testing.T) {
	var tracker backoff.Tracker
	require.True(t, tracker.Take(endpoint, start))
	tracker.RecordAnswer(endpoint, backoff.Answer{RetryAt: after(3 * time.Second), SentAt: start}, start)
	require.False(t, tracker.Take(endpoint, after(2999*time.Millisecond)))
	at, ever := tracker.NextAt(endpoint, after(time.Second))
	require.True(t, ever)
	require.Equal(t, after(3*time.Second), at)
	require.True(t, tracker.Take(endpoint, after(3*time.Second)))
	for range 10 {
		require.False(t, tracker.Take(endpoint, after(3*time.Second)), "a trial is under way")
	}
	tracker.RecordAnswer(endpoint, backoff.Answer{SentAt: after(2 * time.Second)}, after(3010*time.Millisecond))
	require.False(t, tracker.Take(endpoint, after(3010*time.Millisecond)), "the request was sent before the end of the backoff")
	tracker.RecordAnswer(endpoint, backoff.Answer{SentAt: after(3 * time.Second)}, after(3100*time.Millisecond))
	for range 10 {
		require.True(t, tracker.Take(endpoint, after(3100*time.Millisecond)))
	}
	require.True(t, tracker.Empty())
}

// TestLostTrialIsRepeated covers a trial that gets no answer.
func TestLostTrialIsRepeated(t *testing.T) {
	var tracker backoff.Tracker
	tracker.RecordAnswer(endpoint, backoff.Answer{RetryAt: after(time.Second), SentAt: start}, start)
	require.True(t, tracker.Take(endpoint, after(time.Second)))
	require.False(t, tracker.Take(endpoint, after(1900*time.Millisecond)))
	require.True(t, tracker.Take(endpoint, after(2*time.Second)))
}

// TestShorterBackoffDoesNotEndALongerOne covers answers that come in another order than they were given,
// and backoffs in a row.
func TestShorterBackoffDoesNotEndALongerOne(t *testing.T) {
	var tracker backoff.Tracker
	tracker.RecordAnswer(endpoint, backoff.Answer{RetryAt: after(5 * time.Second), SentAt: start}, start)
	tracker.RecordAnswer(endpoint, backoff.Answer{RetryAt: after(time.Second), SentAt: start}, start)
	tracker.RecordAnswer(endpoint, backoff.Answer{SentAt: start}, start)
	at, _ := tracker.NextAt(endpoint, after(2*time.Second))
	require.Equal(t, after(5*time.Second), at)
	require.True(t, tracker.Take(endpoint, after(5*time.Second)))
	tracker.RecordAnswer(endpoint, backoff.Answer{RetryAt: after(9 * time.Second), SentAt: after(5 * time.Second)}, after(5*time.Second))
	at, _ = tracker.NextAt(endpoint, after(6*time.Second))
	require.Equal(t, after(9*time.Second), at)
}

// TestRestartEndsBackoffAndLeaving has an endpoint start again under its ID, and late answers of the
// process before.
func TestRestartEndsBackoffAndLeaving(t *testing.T) {
	var tracker backoff.Tracker
	require.True(t, tracker.RecordAnswer(endpoint, backoff.Answer{Leaving: true, RetryAt: after(time.Hour), SentAt: start}, start))
	require.False(t, tracker.RecordAnswer(endpoint, backoff.Answer{Leaving: true, SentAt: start}, start), "known already")
	_, ever := tracker.NextAt(endpoint, after(2*time.Hour))
	require.False(t, ever)
	next := protocol.EndpointProcess{ID: endpoint.ID, Incarnation: endpoint.Incarnation + 1}
	require.True(t, tracker.Take(next, start))
	tracker.RecordAnswer(next, backoff.Answer{RetryAt: after(time.Second), SentAt: start}, start)
	require.False(t, tracker.RecordAnswer(endpoint, backoff.Answer{Leaving: true, SentAt: start}, start))
	require.True(t, tracker.Take(next, after(time.Second)))
}

// TestNoRequestIsSentDuringABackoff generates answers, requests and restarts in any order. No request
// may be sent before the end of any backoff that the endpoint's process asked for, or after it said that it
// leaves.
func TestNoRequestIsSentDuringABackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker backoff.Tracker
		now, process := start, endpoint
		var retryAt time.Time
		leaving := false
		t.Repeat(map[string]func(*rapid.T){
			"backoff": func(t *rapid.T) {
				until := now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				tracker.RecordAnswer(process, backoff.Answer{RetryAt: until, SentAt: now}, now)
				if until.After(retryAt) {
					retryAt = until
				}
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
					tracker.RecordAnswer(process, backoff.Answer{Leaving: true, SentAt: now}, now)
					leaving = true
				}
			},
			"served": func(t *rapid.T) {
				ago := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms ago")) * time.Millisecond
				tracker.RecordAnswer(process, backoff.Answer{SentAt: now.Add(-ago)}, now)
			},
			"restart": func(*rapid.T) {
				process.Incarnation++
				retryAt, leaving = time.Time{}, false
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"request": func(t *rapid.T) {
				if tracker.Take(process, now) {
					require.False(t, leaving)
					require.False(t, now.Before(retryAt))
				}
			},
			"sweep": func(*rapid.T) { tracker.Sweep(func(string) bool { return true }, now) },
		})
	})
}
