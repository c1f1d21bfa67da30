// SPDX-License-Identifier: Apache-2.0

package backlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/pressure"
	"pinerun.example/pinerun/internal/metric"
)

// waitLimit bounds how long a test waits for an expected change.
const waitLimit = 10 * time.Second

// connectedPair returns the two ends of a TCP connection. The entry's end is within the budget.
func connectedPair(t *testing.T, b *Budget) (entry *Conn, caller *net.TCPConn) {
	l, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	raw, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	caller = raw.(*net.TCPConn)
	n, err := b.NewListener(l).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close(); _ = n.Close() })
	return n.(*Conn), caller
}

// numberedText returns n bytes without a repeated section.
func numberedText(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d ", i)
	}
	return b.Bytes()[:n]
}

func TestWriteDoesNotWaitForCaller(t *testing.T) {
	b := &Budget{Counters: &metric.Set{}}
	entry, caller := connectedPair(t, b)
	want := numberedText(2 << 20)
	n, err := entry.Write(want)
	require.NoError(t, err)
	require.Equal(t, len(want), n)
	require.Positive(t, entry.Held())
	require.Equal(t, b.Held(), b.Counters.Value("held_answer_bytes"))
	require.GreaterOrEqual(t, b.Held(), entry.Held()+slowCallerCost)

	got := make([]byte, len(want))
	_, err = io.ReadFull(caller, got)
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Eventually(t, func() bool { return b.Held() == 0 }, waitLimit, time.Millisecond)
	require.Zero(t, b.Counters.Value("held_answer_bytes"))
}

// TestReadingCallerHoldsNoBytes writes to a caller that reads each event at once.
func TestReadingCallerHoldsNoBytes(t *testing.T) {
	b := &Budget{Counters: &metric.Set{}}
	entry, caller := connectedPair(t, b)
	for range 1000 {
		_, err := entry.Write([]byte("event"))
		require.NoError(t, err)
		got := make([]byte, 5)
		_, err = io.ReadFull(caller, got)
		require.NoError(t, err)
		require.Zero(t, entry.Held())
	}
	require.Zero(t, b.Held())
}

// TestCallerCloseDropsPendingBytes closes the caller's end while bytes are pending.
func TestCallerCloseDropsPendingBytes(t *testing.T) {
	b := &Budget{}
	entry, caller := connectedPair(t, b)
	_, err := entry.Write(numberedText(2 << 20))
	require.NoError(t, err)
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return b.Held() == 0 }, waitLimit, time.Millisecond)
	require.Error(t, entry.Err())
	_, err = entry.Write([]byte("more"))
	require.Error(t, err)
}

// TestCloseStillWritesPendingBytes closes a connection with pending bytes and a write deadline.
func TestCloseStillWritesPendingBytes(t *testing.T) {
	b := &Budget{}
	entry, caller := connectedPair(t, b)
	want := numberedText(1 << 20)
	require.NoError(t, entry.SetWriteDeadline(time.Now().Add(waitLimit)))
	_, err := entry.Write(want)
	require.NoError(t, err)
	require.NoError(t, entry.SetWriteDeadline(time.Time{}), "as after a response")
	require.NoError(t, entry.Close())
	got, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got))
}

// pipePair returns the two ends of an unbuffered in-memory connection, for tests in virtual time.
func pipePair(b *Budget) (entry *Conn, caller net.Conn) {
	near, far := net.Pipe()
	return newConn(near, b), far
}

func TestWriteDeadlineAppliesToPendingBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{}
		entry, caller := pipePair(b)
		defer func() { _ = caller.Close() }()
		require.NoError(t, entry.SetWriteDeadline(time.Now().Add(time.Second)))
		_, err := entry.Write([]byte("answer"))
		require.NoError(t, err)
		time.Sleep(time.Second + time.Millisecond)
		synctest.Wait()
		require.ErrorIs(t, entry.Err(), os.ErrDeadlineExceeded)
		require.Zero(t, b.Held())
	})
}

// TestSlowestConnectionIsAbortedForCapacity fills the budget. The connection of the caller that
// does not read is aborted, the write that needs the bytes succeeds, and the connection of a caller
// that has read recently stays open.
func TestSlowestConnectionIsAbortedForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Counters: &metric.Set{}}
		b.SetLimit(2*slowCallerCost + 2*reserveChunkBytes)
		stalled, stalledCaller := pipePair(b)
		reading, readingCaller := pipePair(b)
		third, thirdCaller := pipePair(b)
		defer func() { _, _, _ = stalledCaller.Close(), readingCaller.Close(), thirdCaller.Close() }()
		for _, c := range []*Conn{stalled, reading} {
			_, err := c.Write(numberedText(400))
			require.NoError(t, err)
		}
		synctest.Wait()
		_, err := reading.Write(numberedText(100)) // a write of its own
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		_, err = io.ReadFull(readingCaller, make([]byte, 400))
		require.NoError(t, err)
		synctest.Wait()
		_, err = third.Write(numberedText(400))
		require.NoError(t, err)
		synctest.Wait()
		require.ErrorIs(t, stalled.Err(), ErrOverBudget)
		require.IsType(t, pressure.Abort{}, stalled.Decide(time.Now()))
		require.NoError(t, reading.Err())
		require.EqualValues(t, 1, b.Counters.Value("pressure_ended"))
	})
}

// TestWriteBlocksWhenBudgetIsFull writes more than the budget can hold.
func TestWriteBlocksWhenBudgetIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{}
		b.SetLimit(slowCallerCost + reserveChunkBytes)
		entry, caller := pipePair(b)
		defer func() { _ = caller.Close() }()
		const size = reserveChunkBytes - 100
		_, err := entry.Write(numberedText(size))
		require.NoError(t, err)
		written := false
		w := &asyncWrite{conn: entry, content: numberedText(size), written: &written}
		go w.run()
		synctest.Wait()
		require.False(t, written)
		_, err = io.ReadFull(caller, make([]byte, 2*size))
		require.NoError(t, err)
		synctest.Wait()
		require.True(t, written)
	})
}

// asyncWrite writes in a goroutine of its own.
type asyncWrite struct {
	conn    *Conn
	content []byte
	written *bool
}

func (w *asyncWrite) run() {
	_, err := w.conn.Write(w.content)
	*w.written = err == nil
}

// stream writes events to a caller that reads at its own interval.
type stream struct {
	budget       *Budget
	conn         *Conn
	caller       net.Conn
	readInterval time.Duration // between two reads; 0 means the caller reads nothing
	events       int
	written      bytes.Buffer
	received     bytes.Buffer
	complete     bool
	overBudget   bool // whether the budget was exceeded
}

// run writes events until all are written or the connection ends.
func (s *stream) run() {
	for i := 0; i < s.events; {
		switch s.conn.Decide(time.Now()).(type) {
		case pressure.Continue:
			e := fmt.Appendf(nil, "id: %d\ndata: %0*d\n\n", i, 10+i%7*30, i)
			if _, err := s.conn.Write(e); err != nil {
				return
			}
			s.written.Write(e)
			i++
		case pressure.Abort:
			return
		default:
			time.Sleep(50 * time.Millisecond)
		}
		s.overBudget = s.overBudget || s.budget.Held() > streamLimit
	}
	for s.conn.Held() > 0 {
		<-s.conn.Progress()
	}
	s.complete = s.conn.Err() == nil
}

// readLoop reads as the caller does.
func (s *stream) readLoop() {
	if s.readInterval == 0 {
		return
	}
	p := make([]byte, 512)
	for {
		n, err := s.caller.Read(p)
		s.received.Write(p[:n])
		if err != nil {
			return
		}
		time.Sleep(s.readInterval)
	}
}

// streamLimit is the budget of the generated streams in bytes. It is less than they hold together.
const streamLimit = 6*slowCallerCost + 8*reserveChunkBytes

// TestEventsArriveOnceAndInOrder generates callers that read at different intervals or not at all.
// Each receives a prefix of what was written to it, and all of it unless it was aborted. The budget
// is never exceeded, and a caller that reads receives everything.
func TestEventsArriveOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		readIntervals := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, time.Microsecond, 10 * time.Millisecond, 300 * time.Millisecond}), 1, 12).Draw(r, "read intervals")
		events := rapid.IntRange(1, 100).Draw(r, "events")
		synctest.Test(t, func(t *testing.T) {
			b := &Budget{}
			b.SetLimit(streamLimit)
			var streams []*stream
			for _, interval := range readIntervals {
				entry, caller := pipePair(b)
				entry.Assign(fmt.Sprint("team-", len(streams)%3), len(streams)%4, true)
				s := &stream{budget: b, conn: entry, caller: caller, readInterval: interval, events: events}
				streams = append(streams, s)
				go s.run()
				go s.readLoop()
			}
			time.Sleep(2 * time.Minute) // longer than the slowest caller takes
			for _, s := range streams {
				_ = s.caller.Close()
				_ = s.conn.Close()
			}
			time.Sleep(time.Second)
			synctest.Wait()
			for _, s := range streams {
				require.True(t, bytes.HasPrefix(s.written.Bytes(), s.received.Bytes()) || bytes.HasPrefix(s.received.Bytes(), s.written.Bytes()))
				require.False(t, s.overBudget)
				if s.readInterval > 0 {
					require.True(t, s.complete, "a caller that reads receives everything")
					require.Equal(t, s.written.Bytes(), s.received.Bytes())
					require.False(t, errors.Is(s.conn.Err(), ErrOverBudget))
				}
			}
			require.Zero(t, b.Held())
		})
	})
}
