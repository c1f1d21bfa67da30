// SPDX-License-Identifier: Apache-2.0

package logs_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/logs"
	"pinerun.example/pinerun/internal/metric"
)

// stalledWriter is an output whose writes block until the gate is closed.
type stalledWriter struct{ gate chan struct{} }

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.gate
	return len(b), nil
}

func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledWriter{gate: make(chan struct{})}
		w := &logs.Writer{Out: out, Counters: &metric.Set{}}
		w.Start()
		began := time.Now()
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 3000 {
			_, err := w.Write(line)
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(began))
		require.Positive(t, w.Dropped())
		require.Equal(t, w.Dropped(), w.Counters.Value(string(metric.LinesDropped)))
		w.Close(time.Now().Add(time.Second))
		require.Equal(t, time.Second, time.Since(began), "Close returns at its deadline")
		close(out.gate)
		synctest.Wait()
	})
}

func TestEventBudgetDropsAndReportsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := &logs.Writer{Out: &out}
		w.Start()
		logger := slog.New(logs.NewHandler(w, slog.LevelInfo))
		for range 1000 {
			event.RequestSent.Log(logger, slog.String("request", "r"))
		}
		event.StreamCut.Log(logger, slog.String("request", "the failed request"))
		time.Sleep(2 * time.Second)
		event.RequestSent.Log(logger, slog.String("request", "later"))
		w.Close(time.Now().Add(time.Second))
		text := out.String()
		require.Contains(t, text, "the failed request", "ordinary lines do not displace warnings")
		require.Contains(t, text, "later")
		require.Contains(t, text, event.LinesDropped.Name())
		require.Less(t, strings.Count(text, event.RequestSent.Name()), 500)
	})
}

// recordingWriter records each write separately.
type recordingWriter struct{ writes [][]byte }

func (p *recordingWriter) Write(b []byte) (int, error) {
	p.writes = append(p.writes, bytes.Clone(b))
	return len(b), nil
}

func TestWritesContainCompleteLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &recordingWriter{}
		w := &logs.Writer{Out: out}
		w.Start()
		for i := range 300 {
			_, err := w.Write([]byte(strings.Repeat("x", 7*i) + "\n"))
			require.NoError(t, err)
		}
		w.Close(time.Now().Add(time.Second))
		require.Greater(t, len(out.writes), 10)
		total := 0
		for _, b := range out.writes {
			require.True(t, bytes.HasSuffix(b, []byte("\n")))
			require.LessOrEqual(t, len(b), 4096)
			total += bytes.Count(b, []byte("\n"))
		}
		require.Equal(t, 300, total)
	})
}
