// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/mirror"
)

// TestDeltaRoundTrip encodes and decodes random deltas, both short ones and compressed ones.
func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delta := mirror.Delta{After: protocol.Revision{Number: 3}, To: protocol.Revision{Number: 9}, ListDiff: rapid.Bool().Draw(t, "list diff"), Snapshot: rapid.Bool().Draw(t, "snapshot")}
		for i := range rapid.IntRange(0, 5).Draw(t, "changes") {
			o := protocol.Object{Kind: "k", Name: fmt.Sprint("o", i), Version: protocol.Revision{Number: uint64(i + 4)}}
			gone := rapid.Bool().Draw(t, "gone")
			if !gone {
				o.Value = bytes.Repeat([]byte{byte('a' + i)}, rapid.IntRange(1, 2*minCompressSize).Draw(t, "length"))
			}
			delta.Changes = append(delta.Changes, protocol.Change{Object: o, Deleted: gone})
		}
		var encoder deltaEncoder
		for range 2 { // the second time from the cache
			sent, err := encoder.encode("k", delta)
			require.NoError(t, err)
			decoded, err := decode(&sent)
			require.NoError(t, err)
			require.Equal(t, delta, decoded)
		}
	})
}

// TestListDiffIsNotReusedForChanges sends two deltas between the same revisions. One of them is the
// difference between two lists, which only a follower at exactly its first revision can apply.
func TestListDiffIsNotReusedForChanges(t *testing.T) {
	var encoder deltaEncoder
	o := protocol.Object{Kind: "k", Name: "o", Version: protocol.Revision{Number: 9}, Value: make([]byte, minCompressSize)}
	delta := mirror.Delta{After: protocol.Revision{Number: 3}, To: protocol.Revision{Number: 9}, Changes: []protocol.Change{{Object: o}}}
	_, err := encoder.encode("k", delta)
	require.NoError(t, err)
	delta.ListDiff = true
	sent, err := encoder.encode("k", delta)
	require.NoError(t, err)
	require.True(t, sent.ListDiff)
}

func TestOversizedDeltaIsRejected(t *testing.T) {
	var encoder deltaEncoder
	packed, err := encoder.deflate(make([]byte, maxUnpackedSize+1))
	require.NoError(t, err)
	_, err = decode(&protocol.RelayDelta{Kind: "k", Revision: protocol.Revision{Number: 1}, Packed: packed})
	require.ErrorIs(t, err, errTooLarge)
}

// testObject returns an object of kind "k" at a version.
func testObject(i int, version uint64) protocol.Object {
	return protocol.Object{Kind: "k", Name: fmt.Sprint("o-", i), Version: protocol.Revision{Number: version}, Value: fmt.Appendf(nil, "%0100d", version)}
}

// newSourceWithObjects returns a source that has a number of objects.
func newSourceWithObjects(objects int) *Source {
	s := &Source{}
	list := protocol.Listing{Revision: protocol.Revision{Number: 1}}
	for i := range objects {
		list.Objects = append(list.Objects, testObject(i, 1))
	}
	s.mirror.ApplyList("k", list)
	return s
}

// changeObject changes one object.
func changeObject(t testing.TB, s *Source) {
	at := s.mirror.Revision("k")
	next := protocol.Revision{Number: at.Number + 1}
	applied := s.mirror.Apply("k", mirror.Delta{After: at, To: next, Changes: []protocol.Change{{Object: testObject(int(at.Number%100), next.Number)}}})
	require.True(t, applied)
}

// BenchmarkBegin adds a follower after a change of the kind, with the endpoint records of a fleet
// and of one twice as large.
func BenchmarkBegin(b *testing.B) {
	for _, objects := range []int{3005, 6010} {
		b.Run(fmt.Sprint(objects), func(b *testing.B) {
			s, encoder := newSourceWithObjects(objects), &deltaEncoder{}
			b.ReportAllocs()
			for b.Loop() {
				changeObject(b, s)
				f := &follower{source: s, encoder: encoder, known: []protocol.KindRevision{{Kind: "k"}}}
				for range 2 {
					var frame protocol.RelayFrame
					if err := f.addDeltas(&frame); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// TestSimultaneousFollowersShareOneSnapshot adds many followers, each after a change of a kind with
// many objects. All receive the same snapshot, and then the changes since.
func TestSimultaneousFollowersShareOneSnapshot(t *testing.T) {
	const followers = 100
	s := newSourceWithObjects(500)
	encoder := &deltaEncoder{}
	var snapshots []protocol.RelayDelta
	for range followers {
		changeObject(t, s)
		f := &follower{source: s, encoder: encoder, known: []protocol.KindRevision{{Kind: "k"}}}
		var known mirror.Mirror
		for known.Revision("k").Before(s.mirror.Revision("k")) {
			var frame protocol.RelayFrame
			require.NoError(t, f.addDeltas(&frame))
			require.Len(t, frame.Deltas, 1)
			delta, err := decode(&frame.Deltas[0])
			require.NoError(t, err)
			require.True(t, known.Apply("k", delta))
			if delta.Snapshot {
				snapshots = append(snapshots, frame.Deltas[0])
			}
		}
		require.Equal(t, s.mirror.Snapshot("k"), known.Snapshot("k"))
	}
	require.Len(t, snapshots, followers)
	for i := range snapshots {
		require.Same(t, &snapshots[0].Packed[0], &snapshots[i].Packed[0], "the snapshot was compressed once")
	}
}
