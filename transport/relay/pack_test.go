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

// TestARunComesAsItWasSent draws runs, short ones and such that are compressed.
func TestARunComesAsItWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := mirror.Delta{After: 3, To: 9, ListDiff: rapid.Bool().Draw(t, "difference"), Snapshot: rapid.Bool().Draw(t, "whole")}
		for i := range rapid.IntRange(0, 5).Draw(t, "changes") {
			o := protocol.Object{Kind: "k", Name: fmt.Sprint("o", i), Version: uint64(i + 4)}
			gone := rapid.Bool().Draw(t, "gone")
			if !gone {
				o.Value = bytes.Repeat([]byte{byte('a' + i)}, rapid.IntRange(1, 2*packFrom).Draw(t, "length"))
			}
			run.Changes = append(run.Changes, protocol.Change{Object: o, Gone: gone})
		}
		var p packer
		for range 2 { // the second time it is at hand
			sent, err := p.encode("k", run)
			require.NoError(t, err)
			came, err := decode(&sent)
			require.NoError(t, err)
			require.Equal(t, run, came)
		}
	})
}

// TestADifferenceIsNotTakenForChanges sends two runs between the same revisions, one of
// which serves only who knows its beginning.
func TestADifferenceIsNotTakenForChanges(t *testing.T) {
	var p packer
	o := protocol.Object{Kind: "k", Name: "o", Version: 9, Value: make([]byte, packFrom)}
	run := mirror.Delta{After: 3, To: 9, Changes: []protocol.Change{{Object: o}}}
	_, err := p.encode("k", run)
	require.NoError(t, err)
	run.ListDiff = true
	sent, err := p.encode("k", run)
	require.NoError(t, err)
	require.True(t, sent.Difference)
}

func TestARunThatUnpacksToTooMuchIsRefused(t *testing.T) {
	var p packer
	packed, err := p.deflate(make([]byte, unpackMost+1))
	require.NoError(t, err)
	_, err = decode(&protocol.RelayRun{Kind: "k", At: 1, Packed: packed})
	require.ErrorIs(t, err, errTooLong)
}

// valued returns an object of kind "k" as of a version.
func valued(i int, version uint64) protocol.Object {
	return protocol.Object{Kind: "k", Name: fmt.Sprint("o-", i), Version: version, Value: fmt.Appendf(nil, "%0100d", version)}
}

// changing returns a source that knows so many objects.
func changing(objects int) *Source {
	s := &Source{}
	list := protocol.Listing{At: 1}
	for i := range objects {
		list.Objects = append(list.Objects, valued(i, 1))
	}
	s.mirror.ApplyList("k", list)
	return s
}

// change changes one object.
func change(t testing.TB, s *Source) {
	at := s.mirror.Revision("k")
	took := s.mirror.Apply("k", mirror.Delta{After: at, To: at + 1, Changes: []protocol.Change{{Object: valued(int(at%100), at+1)}}})
	require.True(t, took)
}

// BenchmarkBegin has one more follower begin while the kind changes before each: endpoints' records of
// a fleet and of twice that.
func BenchmarkBegin(b *testing.B) {
	for _, objects := range []int{3005, 6010} {
		b.Run(fmt.Sprint(objects), func(b *testing.B) {
			s, p := changing(objects), &packer{}
			b.ReportAllocs()
			for b.Loop() {
				change(b, s)
				f := &follower{source: s, packer: p, known: []protocol.RelayMark{{Kind: "k"}}}
				for range 2 {
					var frame protocol.RelayFrame
					if err := f.fill(&frame); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// TestWhoBeginsAtOnceIsSentOneWholeKind has many followers begin while a kind of many objects changes
// before each: all are sent the same whole one, and then what has changed since.
func TestWhoBeginsAtOnceIsSentOneWholeKind(t *testing.T) {
	const followers = 100
	s := changing(500)
	p := &packer{}
	var wholes []protocol.RelayRun
	for range followers {
		change(t, s)
		f := &follower{source: s, packer: p, known: []protocol.RelayMark{{Kind: "k"}}}
		var known mirror.Mirror
		for known.Revision("k") < s.mirror.Revision("k") {
			var frame protocol.RelayFrame
			require.NoError(t, f.fill(&frame))
			require.Len(t, frame.Runs, 1)
			run, err := decode(&frame.Runs[0])
			require.NoError(t, err)
			require.True(t, known.Apply("k", run))
			if run.Snapshot {
				wholes = append(wholes, frame.Runs[0])
			}
		}
		require.Equal(t, s.mirror.Snapshot("k"), known.Snapshot("k"))
	}
	require.Len(t, wholes, followers)
	for i := range wholes {
		require.Same(t, &wholes[0].Packed[0], &wholes[i].Packed[0], "it was compressed once")
	}
}
