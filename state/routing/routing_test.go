// SPDX-License-Identifier: Apache-2.0

package routing_test

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/routing"
)

func table(t require.TestingT, version uint64, prefixes ...string) *routing.Table {
	r := protocol.Routing{Version: version, Services: []protocol.RoutedService{{Name: "s"}}}
	for _, p := range prefixes {
		r.Routes = append(r.Routes, protocol.Route{Name: p, Host: "h", Prefix: p, Targets: []protocol.Target{{Service: "s", Weight: 1}}})
	}
	built, err := routing.Build(r)
	require.NoError(t, err)
	return built
}

func TestMatchReturnsLongestPrefix(t *testing.T) {
	tb := table(t, 1, "/a/", "/a/b/", "/c/")
	require.Equal(t, "/a/b/", tb.Match("h", "/a/b/x").Prefix)
	require.Equal(t, "/a/", tb.Match("h", "/a/bx").Prefix)
	require.Nil(t, tb.Match("h", "/a"))
	require.Nil(t, tb.Match("other", "/a/b/"))
}

func TestBuildRejectsRouteWithoutKnownService(t *testing.T) {
	for _, r := range []protocol.Route{{Name: "none"}, {Name: "unknown", Targets: []protocol.Target{{Service: "x"}}}} {
		_, err := routing.Build(protocol.Routing{Version: 3, Routes: []protocol.Route{r}})
		require.ErrorAs(t, err, new(*routing.InvalidTableError))
		require.Contains(t, err.Error(), "accept a higher version")
	}
}

func TestStoreKeepsHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s routing.Store
		highest := uint64(0)
		for _, v := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(t, "versions") {
			require.Equal(t, v > highest, s.Offer(table(t, v)))
			highest = max(highest, v)
			require.Equal(t, highest, s.Current().Version())
		}
	})
}

func TestConfirmedAtNeverDecreases(t *testing.T) {
	var s routing.Store
	require.True(t, s.ConfirmedAt().IsZero())
	s.Confirm(time.Unix(5, 0))
	s.Confirm(time.Unix(3, 0))
	require.Equal(t, time.Unix(5, 0), s.ConfirmedAt())
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := &protocol.Route{Targets: []protocol.Target{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}, {Service: "c", Weight: 3}}}
	var got strings.Builder
	for i := range 8 {
		got.WriteString(routing.PickService(r, float64(i)/8))
	}
	require.Equal(t, "bbcccccc", got.String(), "a service without weight gets nothing")
	require.Equal(t, "c", routing.PickService(r, 0.999999))
}

// tableReader reads the table in force while others replace it.
type tableReader struct {
	store   *routing.Store
	done    <-chan struct{}
	earlier atomic.Int64 // tables that came with the confirmation of a later one
}

func (r *tableReader) run() {
	for {
		select {
		case <-r.done:
			return
		default:
		}
		if i := r.store.InForce(); i.Table() != nil && i.ConfirmedAt().Unix() > int64(i.Table().Version()) {
			r.earlier.Add(1)
		}
	}
}

// TestConfirmationNeverBelongsToALaterTable replaces tables, each confirmed at a time that equals its
// version. Read one after the other, an old table came with the confirmation of a new one, and a
// withdrawn key was accepted.
func TestConfirmationNeverBelongsToALaterTable(t *testing.T) {
	const versions, readers = 50_000, 4
	var s routing.Store
	done := make(chan struct{})
	r := &tableReader{store: &s, done: done}
	var wait sync.WaitGroup
	for range readers {
		wait.Go(r.run)
	}
	for v := range uint64(versions) {
		s.Offer(table(t, v))
		s.Confirm(time.Unix(int64(v), 0))
	}
	close(done)
	wait.Wait()
	require.Zero(t, r.earlier.Load())
}
