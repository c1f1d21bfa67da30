// SPDX-License-Identifier: Apache-2.0

package scheduling

import (
	"bytes"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
)

// TestMonitorIsNotLateWhileItRuns checks an idle process and a stopped monitor.
func TestMonitorIsNotLateWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Monitor{Counters: &metric.Set{}}
		require.False(t, m.LateSince(time.Time{}), "not started")
		m.Start()
		time.Sleep(time.Minute)
		synctest.Wait()
		require.False(t, m.LateSince(time.Time{}))
		m.Close()
		time.Sleep(time.Minute)
		require.False(t, m.LateSince(time.Time{}), "a stopped monitor")
	})
}

// TestLateWakeUpIsToldFromSilence wakes the loop late, as a process that was not run does.
func TestLateWakeUpIsToldFromSilence(t *testing.T) {
	var log bytes.Buffer
	m := &Monitor{Counters: &metric.Set{}, Logger: slog.New(slog.NewTextHandler(&log, nil))}
	began := time.Now()
	m.last.Store(&wakeUp{at: began})
	m.readAt = began
	m.wake(began.Add(interval + minLate))
	require.False(t, m.LateSince(began))
	require.Empty(t, log.String())
	late := began.Add(3 * time.Second)
	m.wake(late)
	require.True(t, m.LateSince(began))
	require.True(t, m.LateSince(late))
	require.False(t, m.LateSince(late.Add(1)), "what came after it is not affected")
	require.Contains(t, log.String(), "late_ms=2650")
	require.Equal(t, 2650*time.Millisecond, m.last.Load().late)
}

// TestLateSinceIncludesThePresent asks before the loop of a process that was not run has woken.
func TestLateSinceIncludesThePresent(t *testing.T) {
	m := &Monitor{}
	m.last.Store(&wakeUp{at: time.Now().Add(-time.Second)})
	require.True(t, m.LateSince(time.Now()))
	require.GreaterOrEqual(t, m.Late(), time.Second-interval)
	require.Less(t, (&Monitor{}).Late(), time.Second, "not started")
}

// TestAccountCountsWork checks that the kernel's account grows with this process's work.
func TestAccountCountsWork(t *testing.T) {
	before := readAccount()
	for range 1_000_000 {
		_ = time.Now()
	}
	require.Greater(t, readAccount().ran, before.ran)
}

func BenchmarkReadAccount(b *testing.B) {
	for range b.N {
		readAccount()
	}
}
