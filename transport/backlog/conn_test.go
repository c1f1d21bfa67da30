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

// soon bounds how long a test waits for what has to come.
const soon = 10 * time.Second

// sockets returns the two ends of a connection over real sockets, the entry's within the
// budget.
func sockets(t *testing.T, b *Budget) (entry *Conn, caller *net.TCPConn) {
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

// text returns bytes that differ all along.
func text(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d ", i)
	}
	return b.Bytes()[:n]
}

func TestAWriteDoesNotWaitForItsCaller(t *testing.T) {
	b := &Budget{Counters: &metric.Set{}}
	entry, caller := sockets(t, b)
	want := text(2 << 20)
	n, err := entry.Write(want)
	require.NoError(t, err)
	require.Equal(t, len(want), n)
	require.Positive(t, entry.Held())
	require.Equal(t, b.Held(), b.Counters.Value("held_answer_bytes"))
	require.GreaterOrEqual(t, b.Held(), entry.Held()+slowCost)

	got := make([]byte, len(want))
	_, err = io.ReadFull(caller, got)
	require.NoError(t, err)
	require.Equal(t, want, got)
	require.Eventually(t, func() bool { return b.Held() == 0 }, soon, time.Millisecond)
	require.Zero(t, b.Counters.Value("held_answer_bytes"))
}

// TestWhoReadsHoldsNothing and costs no goroutine.
func TestWhoReadsHoldsNothing(t *testing.T) {
	b := &Budget{Counters: &metric.Set{}}
	entry, caller := sockets(t, b)
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

// TestACallerThatClosesEndsWhatWaitsForIt at once.
func TestACallerThatClosesEndsWhatWaitsForIt(t *testing.T) {
	b := &Budget{}
	entry, caller := sockets(t, b)
	_, err := entry.Write(text(2 << 20))
	require.NoError(t, err)
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return b.Held() == 0 }, soon, time.Millisecond)
	require.Error(t, entry.Err())
	_, err = entry.Write([]byte("more"))
	require.Error(t, err)
}

// TestAClosedConnectionStillGivesWhatIsHeld until its deadline.
func TestAClosedConnectionStillGivesWhatIsHeld(t *testing.T) {
	b := &Budget{}
	entry, caller := sockets(t, b)
	want := text(1 << 20)
	require.NoError(t, entry.SetWriteDeadline(time.Now().Add(soon)))
	_, err := entry.Write(want)
	require.NoError(t, err)
	require.NoError(t, entry.SetWriteDeadline(time.Time{}), "as after an answer")
	require.NoError(t, entry.Close())
	got, err := io.ReadAll(caller)
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got))
}

// pipe returns the two ends of a connection in virtual time: nothing is buffered.
func pipe(b *Budget) (entry *Conn, caller net.Conn) {
	near, far := net.Pipe()
	return newConn(near, b), far
}

func TestTheWriteDeadlineHoldsForWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{}
		entry, caller := pipe(b)
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

// TestTheSlowestIsEndedForRoom, after which the other's write goes on, and nobody who has
// read lately.
func TestTheSlowestIsEndedForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Counters: &metric.Set{}}
		b.SetLimit(2*slowCost + 2*roomBytes)
		stuck, stuckCaller := pipe(b)
		lively, livelyCaller := pipe(b)
		third, thirdCaller := pipe(b)
		defer func() { _, _, _ = stuckCaller.Close(), livelyCaller.Close(), thirdCaller.Close() }()
		for _, c := range []*Conn{stuck, lively} {
			_, err := c.Write(text(400))
			require.NoError(t, err)
		}
		synctest.Wait()
		_, err := lively.Write(text(100)) // a piece of its own
		require.NoError(t, err)
		time.Sleep(2 * time.Second)
		_, err = io.ReadFull(livelyCaller, make([]byte, 400))
		require.NoError(t, err)
		synctest.Wait()
		_, err = third.Write(text(400))
		require.NoError(t, err)
		synctest.Wait()
		require.ErrorIs(t, stuck.Err(), ErrOverBudget)
		require.IsType(t, pressure.Abort{}, stuck.Decide(time.Now()))
		require.NoError(t, lively.Err())
		require.EqualValues(t, 1, b.Counters.Value("pressure_ended"))
	})
}

// TestWithoutRoomAWriteWaitsForItsCaller, and the budget is kept.
func TestWithoutRoomAWriteWaitsForItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{}
		b.SetLimit(slowCost + roomBytes)
		entry, caller := pipe(b)
		defer func() { _ = caller.Close() }()
		const most = roomBytes - 100
		_, err := entry.Write(text(most))
		require.NoError(t, err)
		written := false
		w := &laterWrite{conn: entry, content: text(most), written: &written}
		go w.run()
		synctest.Wait()
		require.False(t, written)
		_, err = io.ReadFull(caller, make([]byte, 2*most))
		require.NoError(t, err)
		synctest.Wait()
		require.True(t, written)
	})
}

// laterWrite writes in a goroutine of its own.
type laterWrite struct {
	conn    *Conn
	content []byte
	written *bool
}

func (w *laterWrite) run() {
	_, err := w.conn.Write(w.content)
	*w.written = err == nil
}

// stream is a writer that heeds the budget, before a caller that reads at its own pace.
type stream struct {
	budget *Budget
	conn   *Conn
	caller net.Conn
	pace   time.Duration // between two reads, 0 reads nothing
	events int
	sent   bytes.Buffer
	got    bytes.Buffer
	whole  bool
	over   bool // the budget was exceeded
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
			s.sent.Write(e)
			i++
		case pressure.Abort:
			return
		default:
			time.Sleep(50 * time.Millisecond)
		}
		s.over = s.over || s.budget.Held() > streamLimit
	}
	for s.conn.Held() > 0 {
		<-s.conn.Progress()
	}
	s.whole = s.conn.Err() == nil
}

// loop reads as its caller does.
func (s *stream) loop() {
	if s.pace == 0 {
		return
	}
	p := make([]byte, 512)
	for {
		n, err := s.caller.Read(p)
		s.got.Write(p[:n])
		if err != nil {
			return
		}
		time.Sleep(s.pace)
	}
}

// streamLimit is the budget of the drawn streams, in bytes: less than they hold together.
const streamLimit = 6*slowCost + 8*roomBytes

// TestNoEventIsLostDoubledOrOutOfOrder draws callers that read at any pace or not at all.
// What each gets is the beginning of what was written to it, all of it unless it was ended;
// the budget is never exceeded, and whoever reads gets everything.
func TestNoEventIsLostDoubledOrOutOfOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		paces := rapid.SliceOfN(rapid.SampledFrom([]time.Duration{0, time.Microsecond, 10 * time.Millisecond, 300 * time.Millisecond}), 1, 12).Draw(r, "paces")
		events := rapid.IntRange(1, 100).Draw(r, "events")
		synctest.Test(t, func(t *testing.T) {
			b := &Budget{}
			b.SetLimit(streamLimit)
			var streams []*stream
			for _, p := range paces {
				entry, caller := pipe(b)
				entry.Assign(fmt.Sprint("team-", len(streams)%3), len(streams)%4, true)
				s := &stream{budget: b, conn: entry, caller: caller, pace: p, events: events}
				streams = append(streams, s)
				go s.run()
				go s.loop()
			}
			time.Sleep(2 * time.Minute) // longer than the slowest takes
			for _, s := range streams {
				_ = s.caller.Close()
				_ = s.conn.Close()
			}
			time.Sleep(time.Second)
			synctest.Wait()
			for _, s := range streams {
				require.True(t, bytes.HasPrefix(s.sent.Bytes(), s.got.Bytes()) || bytes.HasPrefix(s.got.Bytes(), s.sent.Bytes()))
				require.False(t, s.over)
				if s.pace > 0 {
					require.True(t, s.whole, "who reads is served whole")
					require.Equal(t, s.sent.Bytes(), s.got.Bytes())
					require.False(t, errors.Is(s.conn.Err(), ErrOverBudget))
				}
			}
			require.Zero(t, b.Held())
		})
	})
}
