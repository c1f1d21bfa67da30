// SPDX-License-Identifier: Apache-2.0

package config_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
)

// teams returns a manifest of teams with these shares, and the contents of its parts.
func teams(t require.TestingT, version uint64, shares []float64) (protocol.Manifest, map[string][]byte) {
	m := protocol.Manifest{Version: version}
	contents := map[string][]byte{}
	for i, share := range shares {
		name := fmt.Sprint("team-", i)
		content, err := json.Marshal(protocol.Team{Name: name, KeyHashes: []string{protocol.HashKey(name)}, Share: share, MaxOpen: 10})
		require.NoError(t, err)
		hash := protocol.HashPart(content)
		contents[hash] = content
		m.Parts = append(m.Parts, protocol.PartRef{Kind: protocol.TeamPart, Name: name, Hash: hash})
	}
	return m, contents
}

// TestChangeLeadsToSameConfiguration checks that an older version with the change applied equals
// the newer one, whatever changes between them, and that a change from another base is rejected.
func TestChangeLeadsToSameConfiguration(t *testing.T) {
	shares := rapid.SliceOfN(rapid.Float64Range(1, 9), 0, 6)
	rapid.Check(t, func(t *rapid.T) {
		build := func(version uint64) *config.Config {
			c, err := config.Build(teams(t, version, shares.Draw(t, "shares")))
			require.NoError(t, err)
			return c
		}
		older, newer, other := build(1), build(2), build(3)
		got, err := older.Apply(newer.ChangeSince(older))
		require.NoError(t, err)
		require.ElementsMatch(t, newer.Teams(), got.Teams())
		whole, err := (*config.Config)(nil).Apply(newer.ChangeSince(nil))
		require.NoError(t, err)
		require.ElementsMatch(t, newer.Teams(), whole.Teams())
		_, err = older.Apply(other.ChangeSince(newer))
		var mismatch *config.BaseMismatchError
		require.ErrorAs(t, err, &mismatch)
	})
}

func TestStoreKeepsHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s config.Store
		highest := uint64(0)
		for range rapid.IntRange(1, 20).Draw(t, "offers") {
			version := rapid.Uint64Range(1, 9).Draw(t, "version")
			c, err := config.Build(teams(t, version, nil))
			require.NoError(t, err)
			require.Equal(t, version > highest, s.Offer(c))
			highest = max(highest, version)
			require.Equal(t, highest, s.Current().Version())
		}
	})
}

// FuzzBuild builds configurations of arbitrary parts. Build must reject them or return a
// configuration whose runners all fit their models.
func FuzzBuild(f *testing.F) {
	f.Add("fleet", []byte(`{"name":"dc","runners":[{"name":"a","model":"m","from":0,"to":99}]}`))
	f.Add("model", []byte(`{"name":"m","version":"1","layers":4,"open":1,"context":9}`))
	f.Add("team", []byte(`{"name":"t"}`))
	f.Add("tree", []byte(`null`))
	f.Fuzz(func(t *testing.T, kind string, content []byte) {
		model := []byte(`{"name":"m","version":"1","layers":4,"open":1,"context":9}`)
		m := protocol.Manifest{Version: 1, Parts: []protocol.PartRef{
			{Kind: protocol.ModelPart, Name: "m", Hash: protocol.HashPart(model)},
			{Kind: protocol.PartKind(kind), Name: "x", Hash: protocol.HashPart(content)},
		}}
		c, err := config.Build(m, map[string][]byte{protocol.HashPart(model): model, protocol.HashPart(content): content})
		if err != nil {
			return
		}
		for _, r := range c.Runners() {
			model, ok := c.Model(r.Model)
			if !ok || r.From < 0 || r.From >= r.To || r.To > model.Layers {
				t.Fatalf("a runner that does not fit its model was accepted: %+v", r)
			}
		}
	})
}

// BenchmarkBuild measures, by the number of teams, the time to check and build a configuration
// and the heap that it holds.
func BenchmarkBuild(b *testing.B) {
	for _, n := range []int{10, 70, 350, 700} {
		b.Run(fmt.Sprint("teams=", n), func(b *testing.B) {
			shares := make([]float64, n)
			for i := range shares {
				shares[i] = float64(i + 1)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			m, contents := teams(b, 1, shares)
			c, err := config.Build(m, contents)
			require.NoError(b, err)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				c, err = config.Build(m, contents)
			}
			require.NoError(b, err)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			runtime.KeepAlive(c)
		})
	}
}
