// SPDX-License-Identifier: Apache-2.0

package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pinerun.example/pinerun/coordination/plan"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
)

var now = time.Unix(1_800_000_000, 0)

func base(t require.TestingT) *config.Config {
	runner := func(name, vm string, from, to int) protocol.Runner {
		return protocol.Runner{
			Name: name, VM: vm, DataCenter: "dc", Accelerator: "a", Address: "127.0.0.1:1",
			Model: "fares", From: from, To: to, Speed: 100,
		}
	}
	c, err := config.NewFromModels(1, []protocol.Model{{Name: "fares", Version: "1", Layers: 4, MaxOpen: 5, Context: 99}},
		protocol.Fleet{Name: "dc", Runners: []protocol.Runner{
			runner("a", "v1", 0, 2), runner("b", "v2", 0, 2), runner("c", "v3", 2, 4),
		}})
	require.NoError(t, err)
	return c
}

func hash(c byte) string {
	b := make([]byte, 64)
	for i := range b {
		b[i] = c
	}
	return string(b)
}

// accept returns the configuration after a plan made from c is accepted.
func accept(t require.TestingT, c *config.Config, intent string) *config.Config {
	p, err := plan.Make(c, []byte(intent), "clerk", "before", now)
	require.NoError(t, err)
	next, err := p.NextManifest(c.Manifest(), now)
	require.NoError(t, err)
	contents := map[string][]byte{}
	for _, ref := range next.Parts {
		contents[ref.Hash] = c.Content(ref.Hash)
	}
	for _, change := range p.Changes {
		contents[change.Ref.Hash] = change.Content
	}
	after, err := config.Build(next, contents)
	require.NoError(t, err)
	return after
}

func TestPlansListTheirChanges(t *testing.T) {
	c := accept(t, base(t), `{"do":"add_team","team":"desk","key_hash":"`+hash('a')+`"}`)
	c = accept(t, c, `{"do":"add_team","team":"app","key_hash":"`+hash('b')+`","share":3}`)
	p, err := plan.Make(c, []byte(`{"do":"set_team","team":"desk","share":9,"priority":2}`), "clerk", "p-2", now)
	require.NoError(t, err)
	require.Equal(t, []plan.Step{{Part: "team desk", Before: "share 1, priority 0, 100 open", After: "share 9, priority 2, 100 open"}}, p.Steps)
	require.Len(t, p.Shares, 2, "the share of the other team changes too")
	drain, err := plan.Make(c, []byte(`{"do":"drain_vm","vm":"v1"}`), "clerk", "p-3", now)
	require.NoError(t, err)
	require.Equal(t, "3 runners, 1 of them drained", drain.Steps[0].After)
}

func TestInvalidIntentsAreRefused(t *testing.T) {
	c := base(t)
	for _, intent := range []string{
		`{"do":"drain_vm","vm":"v3"}`,           // the only runner with layers 2 and 3
		`{"do":"drain_vm","vm":"none"}`,         // no such VM
		`{"do":"restore_vm","vm":"v1"}`,         // nothing changes
		`{"do":"retire_model","model":"fares"}`, // runners serve the model
		`{"do":"retire_model","model":"x"}`,
		`{"do":"set_team","team":"nobody","share":2}`,
		`{"do":"add_team","team":"desk","key_hash":"short"}`,
		`{"do":"add_team","team":"desk","key_hash":"` + hash('a') + `","share":-1}`,
		`{"do":"add_model","add":{"name":"fares","version":"2","layers":4,"open":1,"context":9}}`,
		`{"do":"add_model"}`,
		`{"do":"fly"}`,
		`{"do":7}`,
		`nonsense`,
	} {
		_, err := plan.Make(c, []byte(intent), "clerk", "p", now)
		require.Error(t, err, intent)
		require.Equal(t, protocol.NotRun, protocol.AsRefusal(err).Outcome(), intent)
	}
}

// TestOnlyFirstConfirmedPlanIsAccepted makes several plans from one version. Only the first
// to be confirmed is accepted; the others are refused as stale. The manifest lists accepted
// plans, so a repeated confirmation finds its version.
func TestOnlyFirstConfirmedPlanIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := accept(t, base(t), `{"do":"add_team","team":"desk","key_hash":"`+hash('a')+`"}`)
		m := c.Manifest()
		var plans []*plan.Plan
		for i := range rapid.IntRange(2, 5).Draw(t, "plans") {
			p, err := plan.Make(c, fmt.Appendf(nil, `{"do":"set_team","team":"desk","share":%d}`, i+2), "clerk", fmt.Sprint("p-", i), now)
			require.NoError(t, err)
			plans = append(plans, p)
		}
		first := rapid.SampledFrom(plans).Draw(t, "first")
		next, err := first.NextManifest(m, now)
		require.NoError(t, err)
		require.Equal(t, m.Version+1, next.Version)
		for _, p := range plans {
			_, err := p.NextManifest(next, now)
			require.Error(t, err)
			require.Equal(t, protocol.StalePlan, protocol.AsRefusal(err).Kind())
			_, accepted := plan.AcceptedVersion(next, p.ID)
			require.Equal(t, p == first, accepted)
		}
	})
}

func TestExpiredAndWithdrawnPlansAreRefused(t *testing.T) {
	c := base(t)
	p, err := plan.Make(c, []byte(`{"do":"drain_vm","vm":"v1"}`), "clerk", "p", now)
	require.NoError(t, err)
	_, err = p.NextManifest(c.Manifest(), p.Deadline)
	require.ErrorContains(t, err, "could be confirmed until")
	p.State, p.EndedBy = plan.Withdrawn, "clerk"
	_, err = p.NextManifest(c.Manifest(), now)
	require.ErrorContains(t, err, "was withdrawn by clerk")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"do":"set_team","team":"x","share":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		i, err := plan.Parse(b)
		if (i == nil) == (err == nil) {
			t.Fatal("neither an intent nor an error")
		}
	})
}
