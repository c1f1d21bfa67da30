// SPDX-License-Identifier: Apache-2.0

// Package fleet holds an entry's view of the runners: the layers that each holds, its load,
// its response times, and whether it is leaving.
//
// A View groups the runners of each model by the span of layers that they hold. It is
// rebuilt when the configuration changes, and keeps the measurements:
//
//	view := fleet.NewViewFromConfig(nil, cfg, fleet.Entry{Name: "entry-1", DataCenter: "jhb-a"})
//	for _, g := range view.Model("fares").Groups() { ... }
package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
)

// SubsetSize is how many runners of a group an entry uses as long as they are usable. It
// bounds the connections and load reports of an entry. Each entry has its own subset, so
// that all runners are used.
const SubsetSize = 12

// Group holds the runners with the same span of a model.
type Group struct {
	span    protocol.Span
	runners []*Runner // the entry's subset comes first
}

// Span returns the layers that every runner of the group holds.
func (g *Group) Span() protocol.Span { return g.span }

// Runners returns the runners that this entry uses. The caller must not change
// the slice.
func (g *Group) Runners() []*Runner { return g.runners[:min(SubsetSize, len(g.runners))] }

// All returns every runner of the group. The caller must not change the slice.
func (g *Group) All() []*Runner { return g.runners }

// Model holds the runners of one model, grouped by span and ordered by first layer.
type Model struct {
	layers int
	groups []Group
}

// Layers returns how many layers the model has.
func (m *Model) Layers() int {
	if m == nil {
		return 0
	}
	return m.layers
}

// Groups returns the groups in order of their first layer.
func (m *Model) Groups() []Group {
	if m == nil {
		return nil
	}
	return m.groups
}

// View holds the runners of all models under one configuration.
type View struct {
	models      map[string]*Model
	runners     map[string]*Runner
	dataCenters map[string][]string // by service, see EngineDataCenters
}

// Entry identifies the local entry: its name, which determines its subsets, and its data
// center.
type Entry struct{ Name, DataCenter string }

// NewViewFromConfig returns the view of a configuration for an entry. Runners that are
// unchanged since the older view keep their measurements.
func NewViewFromConfig(older *View, c *config.Config, entry Entry) *View {
	return NewView(older, c.ModelList(), c.Runners(), entry)
}

// NewView returns the view of a list of runners. Each runner names one of the models.
func NewView(older *View, models []protocol.Model, runners []protocol.Runner, entry Entry) *View {
	v := &View{models: make(map[string]*Model, len(models)), runners: make(map[string]*Runner, len(runners))}
	for _, m := range models {
		v.models[m.Name] = &Model{layers: m.Layers}
	}
	for _, spec := range runners {
		r := older.Runner(spec.Name)
		if r == nil || r.Spec() != spec {
			r = NewRunner(spec, entry.DataCenter)
		}
		v.runners[spec.Name] = r
		v.addRunner(r)
	}
	for _, m := range v.models {
		slices.SortFunc(m.groups, func(a, b Group) int {
			return cmp.Or(cmp.Compare(a.span.From, b.span.From), cmp.Compare(a.span.To, b.span.To))
		})
		for i := range m.groups {
			moveSubsetFirst(m.groups[i].runners, entry.Name)
		}
	}
	return v
}

// moveSubsetFirst puts the entry's subset first. It uses rendezvous hashing, so that a
// change of one runner changes at most one member of the subset.
func moveSubsetFirst(runners []*Runner, entry string) {
	if len(runners) <= SubsetSize {
		return
	}
	scores := make(map[*Runner]uint64, len(runners))
	for _, r := range runners {
		scores[r] = xxhash.Sum64String(entry + "\x00" + r.Name())
	}
	slices.SortFunc(runners, func(a, b *Runner) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a.Name(), b.Name()))
	})
}

func (v *View) addRunner(r *Runner) {
	m := v.models[r.Spec().Model]
	if m == nil {
		m = &Model{}
		v.models[r.Spec().Model] = m
	}
	for i := range m.groups {
		if m.groups[i].span == r.Span() {
			m.groups[i].runners = append(m.groups[i].runners, r)
			return
		}
	}
	m.groups = append(m.groups, Group{span: r.Span(), runners: []*Runner{r}})
}

// Model returns the runners of a model, or nil when it has none.
func (v *View) Model(name string) *Model {
	if v == nil {
		return nil
	}
	return v.models[name]
}

// Runner returns a runner by name, or nil.
func (v *View) Runner(name string) *Runner {
	if v == nil {
		return nil
	}
	return v.runners[name]
}

// Runners returns all runners by name. The caller must not change the map.
func (v *View) Runners() map[string]*Runner {
	if v == nil {
		return nil
	}
	return v.runners
}

// SetEngineDataCenters sets what EngineDataCenters returns. It is called before the view is published.
func (v *View) SetEngineDataCenters(byService map[string][]string) { v.dataCenters = byService }

// EngineDataCenters returns the data centers in which engines of a service hold layers in this view, in
// order of name. The caller must not change the slice. It belongs to the view, so that each of them has a
// model there: a later view may have others.
func (v *View) EngineDataCenters(service string) []string {
	if v == nil {
		return nil
	}
	return v.dataCenters[service]
}
