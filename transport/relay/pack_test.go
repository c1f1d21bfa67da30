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
		run := mirror.Run{After: 3, At: 9, Difference: rapid.Bool().Draw(t, "difference"), Whole: rapid.Bool().Draw(t, "whole")}
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
	run := mirror.Run{After: 3, At: 9, Changes: []protocol.Change{{Object: o}}}
	_, err := p.encode("k", run)
	require.NoError(t, err)
	run.Difference = true
	sent, err := p.encode("k", run)
	require.NoError(t, err)
	require.True(t, sent.Difference)
}

func TestARunThatUnpacksToTooMuchIsRefused(t *testing.T) {
	packed, err := deflate(make([]byte, unpackMost+1))
	require.NoError(t, err)
	_, err = decode(&protocol.RelayRun{Kind: "k", At: 1, Packed: packed})
	require.ErrorIs(t, err, errTooLong)
}
