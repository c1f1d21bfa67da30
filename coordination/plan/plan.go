// SPDX-License-Identifier: Apache-2.0

// Package plan turns an operator's intent into a plan, and a confirmed plan into the next
// manifest. Nothing changes before the operator confirms the plan.
//
//	p, err := plan.Make(cfg, body, "clerk", "p-17", now)
//	for _, s := range p.Steps { ... }             // what the plan changes
//	next, err := p.NextManifest(current, now)     // write it if current is still in force
//	version, accepted := plan.AcceptedVersion(manifest, p.ID)
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
	// maxAccepted is how many accepted plans a manifest lists, so that a confirmation whose
	// answer was lost can be told from one that failed.
	maxAccepted = 32
	// confirmTimeout is how long a plan can be confirmed.
	confirmTimeout = 15 * time.Minute
)

// Step describes the change of one part for the operator.
type Step struct {
	Part   string `json:"part"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Change is a part that a plan sets or removes.
type Change struct {
	Ref     protocol.PartRef `json:"ref"`
	Content json.RawMessage  `json:"content,omitempty"`
	Remove  bool             `json:"remove,omitempty"`
}

// FlowEffect is the change of a model's throughput bound, in positions a second.
type FlowEffect struct {
	Model  string  `json:"model"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// ShareEffect is the change of the fraction of a busy model that a team can count on.
type ShareEffect struct {
	Team   string  `json:"team"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
}

// State is the state of a plan.
type State string

// The states of a plan.
const (
	Proposed  State = "proposed"
	Confirmed State = "confirmed"
	Withdrawn State = "withdrawn"
)

// Plan holds what an intent would change. It is stored in the platform as JSON.
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

// Make returns the plan for an intent, based on the configuration in force. It fails if the
// resulting configuration would be invalid.
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
		return nil, malformed("the intent changes nothing")
	}
	p := &Plan{
		ID: id, State: Proposed, Author: author, Intent: body, BaseVersion: c.Version(),
		CreatedAt: now, Deadline: now.Add(confirmTimeout), Steps: d.steps, Changes: d.changes,
	}
	after, err := p.result(c)
	if err != nil {
		return nil, protocol.Refuse(protocol.MalformedRequest, "the result would not be valid").WithCause(err)
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
	for _, change := range p.Changes {
		contents[change.Ref.Hash] = change.Content
	}
	return config.Build(m, contents)
}

// apply returns the manifest with the plan's changes.
func (p *Plan) apply(m protocol.Manifest) protocol.Manifest {
	m.Parts = slices.Clone(m.Parts)
	for _, change := range p.Changes {
		m.Parts = slices.DeleteFunc(m.Parts, func(r protocol.PartRef) bool {
			return r.Kind == change.Ref.Kind && r.Name == change.Ref.Name
		})
		if !change.Remove {
			m.Parts = append(m.Parts, change.Ref)
		}
	}
	return m
}

// effects records the changes of throughput and shares. It refuses a plan that would leave
// some layer of a served model without a runner.
func (p *Plan) effects(before, after *config.Config) error {
	for _, m := range before.ModelList() {
		oldFlow := flowBound(before, m)
		newFlow := 0.0
		if _, stays := after.Model(m.Name); stays {
			newFlow = flowBound(after, m)
			if oldFlow > 0 && newFlow == 0 {
				return malformed("model " + m.Name + " would lose its last holder of some layer; add runners first")
			}
		}
		if oldFlow != newFlow {
			p.Flows = append(p.Flows, FlowEffect{Model: m.Name, Before: oldFlow, After: newFlow})
		}
	}
	sharesBefore, sharesAfter := shareFractions(before), shareFractions(after)
	for _, t := range after.Teams() {
		if oldShare, newShare := sharesBefore[t.Name], sharesAfter[t.Name]; oldShare != newShare {
			p.Shares = append(p.Shares, ShareEffect{Team: t.Name, Before: oldShare, After: newShare})
		}
	}
	return nil
}

// flowBound returns the throughput bound of a model's runners that are not drained.
func flowBound(c *config.Config, m protocol.Model) float64 {
	var serving []protocol.Runner
	for _, r := range c.Runners() {
		if r.Model == m.Name && !r.Drain {
			serving = append(serving, r)
		}
	}
	return bound.Of(m.Layers, serving).Flow()
}

// shareFractions returns each team's fraction of the sum of all shares.
func shareFractions(c *config.Config) map[string]float64 {
	total := 0.0
	for _, t := range c.Teams() {
		total += t.Share
	}
	fractions := make(map[string]float64, len(c.Teams()))
	for _, t := range c.Teams() {
		fractions[t.Name] = t.Share / total
	}
	return fractions
}

// NextManifest returns the manifest that replaces current once the plan is accepted. The
// caller writes it only if current is still in force.
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
	next.Accepted = next.Accepted[:min(len(next.Accepted), maxAccepted)]
	return next, nil
}

// AcceptedVersion returns the version as which the manifest accepted the plan, and reports
// whether it did.
func AcceptedVersion(m protocol.Manifest, id string) (uint64, bool) {
	for _, a := range m.Accepted {
		if a.Plan == id {
			return a.Version, true
		}
	}
	return 0, false
}
