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

// source answers by script: each call takes the next step; after the last one
// watches hear nothing.
type source struct {
	mutex sync.Mutex
	steps []step
	asked []uint64 // the revisions watched from, 0 for a list
}

type step struct {
	list    *protocol.Listing
	changes *protocol.Changes
	err     error
	after   time.Duration
}

func (s *source) next(from uint64) step {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.asked = append(s.asked, from)
	if len(s.steps) == 0 {
		if from == 0 {
			return list(7)
		}
		return step{after: watch.PollTimeout, changes: &protocol.Changes{At: 999}}
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next
}

func (s *source) List(_ context.Context, _ string) (protocol.Listing, error) {
	n := s.next(0)
	time.Sleep(n.after)
	if n.err != nil {
		return protocol.Listing{}, n.err
	}
	return *n.list, nil
}

func (s *source) Watch(ctx context.Context, _ string, from uint64, _ time.Duration) (protocol.Changes, error) {
	n := s.next(from)
	select {
	case <-time.After(n.after):
	case <-ctx.Done():
		return protocol.Changes{}, ctx.Err()
	}
	if n.err != nil {
		return protocol.Changes{}, n.err
	}
	return *n.changes, nil
}

// sink keeps what it is told.
type sink struct {
	mutex     sync.Mutex
	listed    int
	listedAt  time.Time
	changed   []string
	confirmed time.Time
	failed    int
}

func (s *sink) Listed(_ []protocol.Object, now time.Time) {
	s.locked(func() { s.listed++; s.listedAt = now })
}

func (s *sink) Changed(c protocol.Change, _ time.Time) {
	s.locked(func() { s.changed = append(s.changed, c.Object.Name) })
}
func (s *sink) Confirmed(at time.Time)  { s.locked(func() { s.confirmed = at }) }
func (s *sink) Failed(error, time.Time) { s.locked(func() { s.failed++ }) }
func (s *sink) locked(f func())         { s.mutex.Lock(); defer s.mutex.Unlock(); f() }
func news(at uint64, name string) step {
	return step{changes: &protocol.Changes{At: at, Changes: []protocol.Change{{Object: protocol.Object{Name: name}}}}}
}

// play runs a watcher over a script for a time and returns what came of it.
func play(t *testing.T, limit time.Duration, steps ...step) (*source, *sink) {
	src, snk := &source{steps: steps}, &sink{}
	synctest.Test(t, func(*testing.T) {
		w := &watch.Watcher{Source: src, Kind: "k", Sink: snk}
		w.Start()
		time.Sleep(limit)
		w.Close()
		synctest.Wait()
	})
	return src, snk
}

func list(at uint64) step { return step{list: &protocol.Listing{At: at}} }

func TestAWatchGoesOnFromItsNewsOnly(t *testing.T) {
	src, snk := play(t, 3*watch.PollTimeout, list(7), news(9, "a"))
	require.Equal(t, []string{"a"}, snk.changed)
	require.Equal(t, []uint64{0, 7, 9}, src.asked[:3])
	require.Equal(t, uint64(9), src.asked[3], "a watch that heard nothing must not move on: it may have missed something")
}

func TestAForgottenHistoryIsListedAtOnce(t *testing.T) {
	src, snk := play(t, time.Second, list(7), step{err: &platform.Compacted{}}, list(20))
	require.Equal(t, []uint64{0, 7, 0, 20}, src.asked[:4])
	require.Equal(t, 2, snk.listed)
	require.Zero(t, snk.failed, "the platform answered")
}

func TestALostCallIsToldAndListedAnew(t *testing.T) {
	src, snk := play(t, 3*time.Second, list(7), step{err: errors.New("reset")}, step{err: errors.New("down")}, list(8))
	require.Equal(t, []uint64{0, 7, 0, 0, 8}, src.asked[:5])
	require.Equal(t, 2, snk.failed)
}

func TestQuietWatchesConfirmNoMoreThanTheyCanKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		src, snk := &source{steps: []step{list(7)}}, &sink{}
		w := &watch.Watcher{Source: src, Kind: "k", Sink: snk}
		w.Start()
		time.Sleep(watch.PollTimeout + time.Millisecond)
		synctest.Wait()
		snk.locked(func() {
			require.Equal(t, began.Add(watch.PollTimeout-time.Second), snk.confirmed, "its last second may have been deaf")
		})
		w.Close()
		synctest.Wait()
	})
}

// TestAWatchThatEndsEarlyConfirmsNothingToCome has the platform end each watch at once, with nothing to tell.
//
// Nobody saw it: a key that was withdrawn would have been good for up to four seconds longer at an entry whose
// watch was answered early before the platform was lost, and the entry would have asked without a rest.
// Evidence: the confirmation was 3.99 s ahead, with 101 calls in a second of answers after 10 ms.
func TestAWatchThatEndsEarlyConfirmsNothingToCome(t *testing.T) {
	early := step{changes: &protocol.Changes{}, after: 10 * time.Millisecond}
	steps := []step{list(7)}
	for range 200 {
		steps = append(steps, early)
	}
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		src, snk := &source{steps: steps}, &sink{}
		w := &watch.Watcher{Source: src, Kind: "k", Sink: snk}
		w.Start()
		time.Sleep(time.Second)
		synctest.Wait()
		snk.locked(func() { require.False(t, snk.confirmed.After(began), "its last second may have been deaf") })
		w.Close()
		synctest.Wait()
		require.LessOrEqual(t, len(src.asked), 15, "it rests between two calls")
	})
}

// reader answers reads by script; after the last one reads succeed.
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
	good := watch.NewReading(protocol.Object{Name: "o"}, time.Now())
	if len(r.errs) == 0 {
		return good, nil
	}
	err := r.errs[0]
	r.errs = r.errs[1:]
	return good, err
}

func (r *reader) Next(now time.Time, _ bool) time.Time { return now.Add(time.Second) }
func (r *reader) Following() bool                      { return r.following }
func (r *reader) Relinked() <-chan struct{}            { return nil }

// confirm runs a confirmer over a script beside a watcher whose second call hangs.
func confirm(t *testing.T, r *reader, limit time.Duration) *sink {
	snk := &sink{}
	synctest.Test(t, func(*testing.T) {
		src := &source{steps: []step{list(7), {after: time.Hour}}}
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

func TestAFailedReadMakesTheWatchersBeginAnew(t *testing.T) {
	snk := confirm(t, &reader{errs: []error{nil, errors.New("silent"), errors.New("silent")}}, 4*time.Second+time.Millisecond)
	require.GreaterOrEqual(t, snk.listed, 2, "the call that hung was given up")
	require.Equal(t, 2, snk.failed)
}

func TestWatchersThatHearThroughAPeerGoOnWhenAReadFails(t *testing.T) {
	snk := confirm(t, &reader{following: true, errs: []error{nil, errors.New("silent")}}, 4*time.Second+time.Millisecond)
	require.Equal(t, 1, snk.listed)
	require.Equal(t, 1, snk.failed)
}

func TestAnObjectThatNobodyWroteIsNoOutage(t *testing.T) {
	snk := confirm(t, &reader{unwritten: true}, 2*time.Second+time.Millisecond)
	require.Zero(t, snk.failed)
	require.Equal(t, 1, snk.listed)
	require.Empty(t, snk.changed, "there is no object to take")
	require.Equal(t, snk.listedAt, snk.confirmed, "the list confirmed what there is, and no reading did")
}

func TestWhatAPeerPassedOnProvesNothingAboutThePlatform(t *testing.T) {
	relayed := news(9, "a")
	relayed.changes.Relayed = true
	quiet := step{changes: &protocol.Changes{At: 11, Relayed: true}, after: watch.PollTimeout}
	src, snk := play(t, watch.PollTimeout+time.Second, list(7), relayed, quiet)
	require.Equal(t, []string{"a"}, snk.changed)
	require.Equal(t, []uint64{0, 7, 9, 11}, src.asked[:4], "a peer tells the place to go on from")
	require.Less(t, snk.confirmed.Sub(snk.listedAt), time.Second, "confirmed by the list alone")
}

func TestARestEndsWhenThePlatformIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := step{err: errors.New("down")}
		src, snk := &source{steps: []step{down, down, down, down, down, down, down}}, &sink{}
		w := &watch.Watcher{Source: src, Kind: "k", Sink: snk}
		w.Start()
		time.Sleep(4 * time.Second) // it rests longer each time
		synctest.Wait()
		asked := len(src.asked)
		require.LessOrEqual(t, asked, 7)
		w.Restart()
		synctest.Wait()
		require.Greater(t, len(src.asked), asked)
		w.Close()
		synctest.Wait()
	})
}
