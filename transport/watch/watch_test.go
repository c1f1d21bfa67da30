// SPDX-License-Identifier: Apache-2.0

package watch_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/platform"
	"pinerun.example/pinerun/transport/watch"
)

// source returns the responses of a script in turn. After the last one, watches return no changes.
type source struct {
	mutex    sync.Mutex
	script   []response
	requests []uint64 // the revisions watched from, 0 for a list
}

// response is one answer of a source, after a delay.
type response struct {
	list    *protocol.Listing
	changes *protocol.Changes
	err     error
	delay   time.Duration
}

func (s *source) next(from uint64) response {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.requests = append(s.requests, from)
	if len(s.script) == 0 {
		if from == 0 {
			return listing(7)
		}
		return response{delay: watch.PollTimeout, changes: &protocol.Changes{Revision: protocol.Revision{Number: 999}}}
	}
	next := s.script[0]
	s.script = s.script[1:]
	return next
}

func (s *source) List(_ context.Context, _ string) (protocol.Listing, error) {
	n := s.next(0)
	time.Sleep(n.delay)
	if n.err != nil {
		return protocol.Listing{}, n.err
	}
	return *n.list, nil
}

func (s *source) Watch(ctx context.Context, _ string, from protocol.Revision, _ time.Duration) (protocol.Changes, error) {
	n := s.next(from.Number)
	select {
	case <-time.After(n.delay):
	case <-ctx.Done():
		return protocol.Changes{}, ctx.Err()
	}
	if n.err != nil {
		return protocol.Changes{}, n.err
	}
	return *n.changes, nil
}

// sink records its calls.
type sink struct {
	mutex     sync.Mutex
	listed    int
	listedAt  time.Time
	changed   []string
	confirmed time.Time
	failed    int
}

func (s *sink) Listed(_ protocol.Listing, now time.Time) {
	s.locked(func() { s.listed++; s.listedAt = now })
}

func (s *sink) Changed(c protocol.Change, _ time.Time) {
	s.locked(func() { s.changed = append(s.changed, c.Object.Name) })
}
func (s *sink) Confirmed(at time.Time)  { s.locked(func() { s.confirmed = at }) }
func (s *sink) Failed(error, time.Time) { s.locked(func() { s.failed++ }) }
func (s *sink) locked(f func())         { s.mutex.Lock(); defer s.mutex.Unlock(); f() }

// changed returns the answer to a watch that has one change.
func changed(at uint64, name string) response {
	return response{changes: &protocol.Changes{Revision: protocol.Revision{Number: at}, Changes: []protocol.Change{{Object: protocol.Object{Name: name}}}}}
}

// runWatcher runs a watcher on a script for a time and returns its source and sink.
func runWatcher(t *testing.T, limit time.Duration, script ...response) (*source, *sink) {
	src, snk := &source{script: script}, &sink{}
	synctest.Test(t, func(*testing.T) {
		w := &watch.Watcher{Source: src, Kind: "k", Sink: snk}
		w.Start()
		time.Sleep(limit)
		w.Close()
		synctest.Wait()
	})
	return src, snk
}

// listing returns the answer to a list at a revision.
func listing(at uint64) response {
	return response{list: &protocol.Listing{Revision: protocol.Revision{Number: at}}}
}

func TestOnlyChangesAdvanceRevision(t *testing.T) {
	src, snk := runWatcher(t, 3*watch.PollTimeout, listing(7), changed(9, "a"))
	require.Equal(t, []string{"a"}, snk.changed)
	require.Equal(t, []uint64{0, 7, 9}, src.requests[:3])
	require.Equal(t, uint64(9), src.requests[3], "a watch without changes must not advance the revision: it may have missed one")
}

func TestDroppedHistoryIsListedAtOnce(t *testing.T) {
	src, snk := runWatcher(t, time.Second, listing(7), response{err: &platform.Compacted{}}, listing(20))
	require.Equal(t, []uint64{0, 7, 0, 20}, src.requests[:4])
	require.Equal(t, 2, snk.listed)
	require.Zero(t, snk.failed, "the platform answered")
}

func TestFailedCallIsReportedAndListedAgain(t *testing.T) {
	src, snk := runWatcher(t, 3*time.Second, listing(7), response{err: errors.New("reset")}, response{err: errors.New("down")}, listing(8))
	require.Equal(t, []uint64{0, 7, 0, 0, 8}, src.requests[:5])
	require.Equal(t, 2, snk.failed)
}

func TestUnchangedWatchConfirmsUpToBlindWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		src, snk := &source{script: []response{listing(7)}}, &sink{}
		w := &watch.Watcher{Source: src, Kind: "k", Sink: snk}
		w.Start()
		time.Sleep(watch.PollTimeout + time.Millisecond)
		synctest.Wait()
		snk.locked(func() {
			require.Equal(t, began.Add(watch.PollTimeout-time.Second), snk.confirmed, "a change in the last second may have been missed")
		})
		w.Close()
		synctest.Wait()
	})
}

// TestEarlyAnswerConfirmsNoFutureTime has the platform end each watch at once without changes.
//
// It guards against confirmations in the future. One was 3.99 s ahead, and the watcher made 101
// calls in a second of answers after 10 ms. A withdrawn key would have stayed valid for up to four
// seconds longer at an entry whose watch was answered early just before the platform became
// unreachable.
func TestEarlyAnswerConfirmsNoFutureTime(t *testing.T) {
	early := response{changes: &protocol.Changes{}, delay: 10 * time.Millisecond}
	script := []response{listing(7)}
	for range 200 {
		script = append(script, early)
	}
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		src, snk := &source{script: script}, &sink{}
		w := &watch.Watcher{Source: src, Kind: "k", Sink: snk}
		w.Start()
		time.Sleep(time.Second)
		synctest.Wait()
		snk.locked(func() {
			require.False(t, snk.confirmed.After(began), "a change in the last second may have been missed")
		})
		w.Close()
		synctest.Wait()
		require.LessOrEqual(t, len(src.requests), 15, "the watcher pauses between two calls")
	})
}

// TestAnswerThatArrivesLateConfirmsNoLaterTime has answers without changes arrive while the wait lasts
// and long after it. Each may have been given right after the call and been in transit since, so a
// key that was withdrawn meanwhile would have stayed valid for up to the wait longer.
func TestAnswerThatArrivesLateConfirmsNoLaterTime(t *testing.T) {
	for _, delay := range []time.Duration{4 * time.Second, watch.PollTimeout - 1, watch.PollTimeout + time.Second} {
		unchanged := response{changes: &protocol.Changes{}, delay: delay}
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			snk := &sink{}
			w := &watch.Watcher{Source: &source{script: []response{listing(7), unchanged}}, Kind: "k", Sink: snk}
			w.Start()
			time.Sleep(delay + time.Millisecond)
			synctest.Wait()
			snk.locked(func() { require.False(t, snk.confirmed.After(began), "after %v", delay) })
			w.Close()
			synctest.Wait()
		})
	}
}

// TestAnswerReadByALateProcessConfirmsNoLaterTime has the process stand still for a moment of a watch.
func TestAnswerReadByALateProcessConfirmsNoLaterTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		snk := &sink{}
		w := &watch.Watcher{Source: &source{script: []response{listing(7)}}, Kind: "k", Sink: snk, LateSince: func(time.Time) bool { return true }}
		w.Start()
		time.Sleep(watch.PollTimeout + time.Millisecond)
		synctest.Wait()
		snk.locked(func() { require.False(t, snk.confirmed.After(began)) })
		w.Close()
		synctest.Wait()
	})
}

// reader returns the errors of a script in turn. After the last one, reads succeed.
type reader struct {
	mutex     sync.Mutex
	errs      []error
	reads     int
	unwritten bool
	following bool
}

func (r *reader) Read(context.Context, string, string) (watch.Reading, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.reads++
	if r.unwritten {
		return watch.Reading{}, nil
	}
	current := watch.NewReading(protocol.Object{Name: "o"}, time.Now())
	if len(r.errs) == 0 {
		return current, nil
	}
	err := r.errs[0]
	r.errs = r.errs[1:]
	return current, err
}

func (r *reader) Next(now time.Time, _ bool) time.Time { return now.Add(time.Second) }
func (r *reader) Following() bool                      { return r.following }
func (r *reader) Relinked() <-chan struct{}            { return nil }

// runConfirmer runs a confirmer on a script beside a watcher whose second call hangs.
func runConfirmer(t *testing.T, r *reader, limit time.Duration) *sink {
	snk := &sink{}
	synctest.Test(t, func(*testing.T) {
		src := &source{script: []response{listing(7), {delay: time.Hour}}}
		w := &watch.Watcher{Source: src, Kind: "k", Sink: snk}
		c := &watch.Confirmer{Source: r, Kind: "k", Name: "o", Sink: snk, Watchers: []*watch.Watcher{w}}
		w.Start()
		c.Start()
		time.Sleep(limit)
		synctest.Wait()
		snk.locked(func() {
			if !r.unwritten {
				require.Less(t, time.Since(snk.confirmed), 1500*time.Millisecond)
			}
		})
		c.Close()
		w.Close()
		synctest.Wait()
	})
	return snk
}

func TestFailedReadRestartsWatchers(t *testing.T) {
	snk := runConfirmer(t, &reader{errs: []error{nil, errors.New("timeout"), errors.New("timeout")}}, 4*time.Second+time.Millisecond)
	require.GreaterOrEqual(t, snk.listed, 2, "the hanging call was canceled")
	require.Equal(t, 2, snk.failed)
}

func TestFailedReadKeepsRelayedWatchersRunning(t *testing.T) {
	snk := runConfirmer(t, &reader{following: true, errs: []error{nil, errors.New("timeout")}}, 4*time.Second+time.Millisecond)
	require.Equal(t, 1, snk.listed)
	require.Equal(t, 1, snk.failed)
}

func TestUnwrittenObjectIsNotAFailure(t *testing.T) {
	snk := runConfirmer(t, &reader{unwritten: true}, 2*time.Second+time.Millisecond)
	require.Zero(t, snk.failed)
	require.Equal(t, 1, snk.listed)
	require.Empty(t, snk.changed, "there is no object to deliver")
	require.Equal(t, snk.listedAt, snk.confirmed, "only the list confirmed the state")
}

func TestRelayedChangesConfirmNothing(t *testing.T) {
	relayed := changed(9, "a")
	relayed.changes.Relayed = true
	unchanged := response{changes: &protocol.Changes{Revision: protocol.Revision{Number: 11}, Relayed: true}, delay: watch.PollTimeout}
	src, snk := runWatcher(t, watch.PollTimeout+watch.PollTimeout/2, listing(7), relayed, unchanged)
	require.Equal(t, []string{"a"}, snk.changed)
	require.Equal(t, []uint64{0, 7, 9, 11}, src.requests[:4], "relayed answers advance the revision")
	require.Less(t, snk.confirmed.Sub(snk.listedAt), time.Second, "only the list confirmed the state")
}

func TestRestartEndsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := response{err: errors.New("down")}
		src, snk := &source{script: []response{down, down, down, down, down, down, down}}, &sink{}
		w := &watch.Watcher{Source: src, Kind: "k", Sink: snk}
		w.Start()
		time.Sleep(4 * time.Second) // the pause gets longer each time
		synctest.Wait()
		asked := len(src.requests)
		require.LessOrEqual(t, asked, 7)
		w.Restart()
		synctest.Wait()
		require.Greater(t, len(src.requests), asked)
		w.Close()
		synctest.Wait()
	})
}

// TestHistoryThatIsNeverReachedIsNotAskedForWithoutPause has every watch fail from the revision that the
// list before it returned, as when the list is not of the history that the platform keeps.
func TestHistoryThatIsNeverReachedIsNotAskedForWithoutPause(t *testing.T) {
	var script []response
	for range 1000 {
		script = append(script, response{list: listing(7).list, delay: time.Millisecond}, response{err: &platform.Compacted{}})
	}
	src, _ := runWatcher(t, 10*time.Second, script...)
	require.LessOrEqual(t, len(src.requests), 24)
	require.Greater(t, len(src.requests), 8, "it goes on")
}
