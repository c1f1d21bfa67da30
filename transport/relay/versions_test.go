// SPDX-License-Identifier: Apache-2.0

package relay_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
	transport "pinerun.example/pinerun/transport/relay"
)

// earlierFollower is a follower of an earlier version of the program: it knows arrays only, and no eras.
type earlierFollower struct {
	socket *websocket.Conn
	mutex  sync.Mutex
	frames []protocol.RelayFrame
	status websocket.StatusCode // after done is closed
	done   chan struct{}
}

// follow connects to an entry, with the given revision of the kind.
func follow(t *testing.T, s *store, e *entry, revision uint64) *earlierFollower {
	socket, res, err := websocket.Dial(t.Context(), "ws://"+e.source.Self.PeerAddress+transport.Path, &websocket.DialOptions{
		HTTPHeader: http.Header{"Authorization": {"Bearer " + e.source.Self.Key}},
		HTTPClient: &http.Client{Transport: &http.Transport{DialContext: s.network.dial, DisableKeepAlives: true}},
	})
	require.NoError(t, err)
	if res.Body != nil {
		require.NoError(t, res.Body.Close())
	}
	hello := &protocol.RelayHello{Name: "earlier", Known: []protocol.KindRevision{{Kind: kind, Revision: protocol.Revision{Number: revision}}}}
	b, err := protocol.RelayArrays.Encode(hello)
	require.NoError(t, err)
	require.NoError(t, socket.Write(t.Context(), websocket.MessageBinary, b))
	f := &earlierFollower{socket: socket, done: make(chan struct{})}
	t.Cleanup(func() { _ = socket.CloseNow() })
	go f.run(t.Context())
	return f
}

func (f *earlierFollower) run(ctx context.Context) {
	defer close(f.done)
	for {
		_, b, err := f.socket.Read(ctx)
		if err != nil {
			f.status = websocket.CloseStatus(err)
			return
		}
		frame, err := protocol.RelayArrays.DecodeFrame(b)
		if err != nil {
			return
		}
		f.mutex.Lock()
		f.frames = append(f.frames, frame)
		f.mutex.Unlock()
	}
}

// received returns the frames so far.
func (f *earlierFollower) received() []protocol.RelayFrame {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.frames)
}

// TestFollowerOfEarlierVersionListsAgainAfterRestore has a follower that knows no eras get changes as
// before, and list again once the platform was restored.
func TestFollowerOfEarlierVersionListsAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(table, "one")
		all := newEntries(t, s, 1)
		f := follow(t, s, all[0], 0)
		time.Sleep(time.Second)
		s.put(table, "two")
		time.Sleep(time.Second)
		frames := f.received()
		require.Len(t, frames, 2)
		require.True(t, frames[0].Deltas[0].Snapshot)
		require.Equal(t, "two", string(frames[1].Deltas[0].Changes[0].Value))
		require.Equal(t, s.revision, frames[1].Deltas[0].Revision.Number)
		s.restore(s.copied())
		s.put(table, "three")
		<-f.done
		require.EqualValues(t, 4001, f.status, "it has to list again")
		again := follow(t, s, all[0], s.revision)
		time.Sleep(time.Second)
		s.put(table, "four")
		time.Sleep(time.Second)
		frames = again.received()
		require.Equal(t, "four", string(frames[len(frames)-1].Deltas[0].Changes[0].Value), "from its revision on")
		require.NoError(t, again.socket.CloseNow())
	})
}

// TestPeerOfEarlierVersionIsFollowedOnlyWithoutEras has an entry know a peer that tells no eras, before a
// platform that names none and before one that does.
func TestPeerOfEarlierVersionIsFollowedOnlyWithoutEras(t *testing.T) {
	for _, era := range []uint64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			s := newStore()
			s.era = era
			s.put(table, "one")
			peer := newSilentPeer(t, s, kind, protocol.Object{Kind: kind, Name: table, Version: s.at(2), Value: []byte("one")})
			s.network.subprotocols = nil
			e := newEntry(t, s, rankedAfter(peer), "key")
			e.client.eras.Observe(era)
			e.source.Start()
			e.source.Learn([]protocol.EntryRecord{peer}, true)
			e.watcher.Start()
			e.confirmer.Start()
			followed := false
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				followed = followed || e.source.Following()
			}
			require.Equal(t, era == 0, followed)
			if era > 0 {
				eventually(t, "the entry calls the platform", func() bool { return e.state.value(table) == "one" })
			}
		})
	}
}
