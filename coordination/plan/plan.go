// SPDX-License-Identifier: Apache-2.0

// Package plan turns an operator's intent into a plan, and a confirmed plan into
// the next manifest. Nothing changes before the confirmation.
//
//	i, err := plan.Parse(body)
//	p, err := plan.Make(cfg, i, "clerk", "p-17", now)
//	for _, s := range p.Steps { ... }              // what would change
//	next, err := p.Next(current, "clerk", now)     // write it if current is still there
//	accepted, version := plan.Accepted(manifest, p.ID)
package plan

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pinerun.example/pinerun/coordination/bound"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
)

const (
	// remembered is how many accepted plans a manifest names, so that a
	// confirmation whose answer was lost can be told from one that failed.
	remembered = 32
	// confirmWithin is how long a plan can be confirmed.
	confirmWithin = 15 * time.Minute
)

// Step is one thing that a plan changes.
type Step struct {
	Part   string `json:"part"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Change is one part that a plan sets or removes.
type Change struct {
	Ref     protocol.PartRef `json:"ref"`
	Content json.RawMessage  `json:"content,omitempty"`
	Remove  bool             `json:"remove,omitempty"`
}

// FlowEffect is a model's flow bound, in positions a second.
type FlowEffect struct {
	Model  string  `json:"model"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// ShareEffect is the part of a busy model that a team can count on.
type ShareEffect struct {
	Team   string  `json:"team"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// State is how far a plan has come.
type State string

// The states of a plan.
const (
	Proposed  State = "proposed"
	Confirmed State = "confirmed"
	Withdrawn State = "withdrawn"
)

// Plan is what an intent would do. It is kept in the platform as JSON.
type Plan struct {
	ID          string          `json:"id"`
	State       State           `json:"state"`
	Author      string          `json:"author"`
	Intent      json.RawMessage `json:"intent"`
	BaseVersion uint64          `json:"base"`
	CreatedAt   time.Time       `json:"made"`
	Deadline    time.Time       `json:"deadline"`
	Steps       []Step          `json:"steps"`
	Flows       []FlowEffect    `json:"flows"`
	Shares      []ShareEffect   `json:"shares"`
	Changes     []Change        `json:"changes"`
	EndedBy     string          `json:"ended_by,omitempty"`
	Version     uint64          `json:"version,omitempty"`
}

// Make returns the plan for an intent, made from the configuration in force. It
// fails if the result would not be a valid configuration.
func Make(c *config.Config, body []byte, author, id string, now time.Time) (*Plan, error) {
	i, err := Parse(body)
	if err != nil {
		return nil, err
	}
	d := &draft{base: c}
	if err := i.edit(d); err != nil {
		return nil, err
	}
	if len(d.changes) == 0 {
		return nil, wrong("the intent changes nothing")
	}
	p := &Plan{
		ID: id, State: Proposed, Author: author, Intent: body, BaseVersion: c.Version(),
		CreatedAt: now, Deadline: now.Add(confirmWithin), Steps: d.steps, Changes: d.changes,
	}
	after, err := p.result(c)
	if err != nil {
		return nil, protocol.Refuse(protocol.MalformedRequest, "the result would not be valid").Because(err)
	}
	if err := p.effects(c, after); err != nil {
		return nil, err
	}
	return p, nil
}

// result builds the configuration that the plan leads to.
func (p *Plan) result(c *config.Config) (*config.Config, error) {
	m := p.apply(c.Manifest())
	contents := map[string][]byte{}
	for _, ref := range m.Parts {
		contents[ref.Hash] = c.Content(ref.Hash)
	}
	for _, x := range p.Changes {
		contents[x.Ref.Hash] = x.Content
	}
	return config.Build(m, contents)
}

// apply returns the manifest with the plan's changes.
func (p *Plan) apply(m protocol.Manifest) protocol.Manifest {
	m.Parts = slices.Clone(m.Parts)
	for _, x := range p.Changes {
		m.Parts = slices.DeleteFunc(m.Parts, func(r protocol.PartRef) bool {
			return r.Kind == x.Ref.Kind && r.Name == x.Ref.Name
		})
		if !x.Remove {
			m.Parts = append(m.Parts, x.Ref)
		}
	}
	return m
}

// effects compares throughput and shares, and refuses a plan that would leave a
// model without a holder of some layer.
func (p *Plan) effects(before, after *config.Config) error {
	for _, m := range before.ModelList() {
		was := flow(before, m)
		is := 0.0
		if _, stays := after.Model(m.Name); stays {
			is = flow(after, m)
			if was > 0 && is == 0 {
				return wrong("model " + m.Name + " would lose its last holder of some layer; add runners first")
			}
		}
		if was != is {
			p.Flows = append(p.Flows, FlowEffect{Model: m.Name, Before: was, After: is})
		}
	}
	old, now := shares(before), shares(after)
	for _, t := range after.Teams() {
		if was, is := old[t.Name], now[t.Name]; was != is {
			p.Shares = append(p.Shares, ShareEffect{Team: t.Name, Before: was, After: is})
		}
	}
	return nil
}

func flow(c *config.Config, m protocol.Model) float64 {
	var serving []protocol.Runner
	for _, r := range c.Runners() {
		if r.Model == m.Name && !r.Drain {
			serving = append(serving, r)
		}
	}
	return bound.Of(m.Layers, serving).Flow()
}

// shares returns the part of all shares that each team holds.
func shares(c *config.Config) map[string]float64 {
	total := 0.0
	for _, t := range c.Teams() {
		total += t.Share
	}
	part := make(map[string]float64, len(c.Teams()))
	for _, t := range c.Teams() {
		part[t.Name] = t.Share / total
	}
	return part
}

// NextManifest returns the manifest that accepts the plan in place of current. It is to
// be written only if current is still there.
func (p *Plan) NextManifest(current protocol.Manifest, now time.Time) (protocol.Manifest, error) {
	switch {
	case p.State == Withdrawn:
		return current, protocol.Refuse(protocol.StalePlan, "plan "+p.ID+" was withdrawn by "+p.EndedBy)
	case current.Version != p.BaseVersion:
		return current, protocol.Refuse(protocol.StalePlan, fmt.Sprintf(
			"plan %s was made from version %d; version %d (plan %s by %s) is in force", p.ID, p.BaseVersion, current.Version, current.Plan, current.Author))
	case !now.Before(p.Deadline):
		return current, protocol.Refuse(protocol.StalePlan, "plan "+p.ID+" could be confirmed until "+p.Deadline.Format(time.RFC3339))
	}
	next := p.apply(current)
	next.Version = current.Version + 1
	next.Plan = p.ID
	next.Author = p.Author
	next.Accepted = append([]protocol.AcceptedPlan{{Plan: p.ID, Version: next.Version}}, current.Accepted...)
	next.Accepted = next.Accepted[:min(len(next.Accepted), remembered)]
	return next, nil
}

// AcceptedVersion reports whether a manifest says that the plan was accepted, and as
// which version.
func AcceptedVersion(m protocol.Manifest, id string) (uint64, bool) {
	for _, a := range m.Accepted {
		if a.Plan == id {
			return a.Version, true
		}
	}
	return 0, false
}
