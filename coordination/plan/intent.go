// SPDX-License-Identifier: Apache-2.0

package plan

import (
	"encoding/json"
	"fmt"
	"slices"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
)

// Intent is a change that an operator asks for.
type Intent interface {
	// edit applies the change to a draft or returns why it is refused.
	edit(d *draft) error
}

// SetTeam changes a team's share, priority or limit of open requests. A nil field leaves
// the value as it is.
type SetTeam struct {
	Team     string
	Share    *float64
	Priority *uint8
	Open     *int
}

// AddTeam adds a team.
type AddTeam struct{ Team protocol.Team }

// AddModel adds a model. A new version of a model is added under a name of its own.
type AddModel struct{ Model protocol.Model }

// RetireModel removes a model that no runner serves.
type RetireModel struct{ Model string }

// AddService adds a plain service.
type AddService struct{ Service protocol.Service }

// DrainVM stops new work on the runners of a VM. RestoreVM undoes it.
type DrainVM struct{ VM string }

// RestoreVM allows new work on the runners of a VM again.
type RestoreVM struct{ VM string }

// wireIntent is the JSON form of an intent. Do is the kind of the intent.
type wireIntent struct {
	Do       string            `json:"do"`
	Team     string            `json:"team"`
	Share    *float64          `json:"share"`
	Priority *uint8            `json:"priority"`
	Open     *int              `json:"open"`
	KeyHash  string            `json:"key_hash"`
	VM       string            `json:"vm"`
	Model    string            `json:"model"`
	Add      *protocol.Model   `json:"add"`
	Service  *protocol.Service `json:"service"`
}

// IntentKinds returns the kinds of intents, which are the values of the field "do".
func IntentKinds() []string {
	return []string{"set_team", "add_team", "add_model", "retire_model", "add_service", "drain_vm", "restore_vm"}
}

// Parse decodes an intent.
func Parse(body []byte) (Intent, error) {
	var w wireIntent
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, protocol.Refuse(protocol.UnknownIntent, "the intent is not JSON of the right types: "+err.Error())
	}
	switch w.Do {
	case "set_team":
		return SetTeam{Team: w.Team, Share: w.Share, Priority: w.Priority, Open: w.Open}, nil
	case "add_team":
		return AddTeam{Team: w.team()}, nil
	case "add_model":
		if w.Add != nil {
			return AddModel{Model: *w.Add}, nil
		}
		return nil, protocol.Refuse(protocol.UnknownIntent, `"add" must hold the model`)
	case "retire_model":
		return RetireModel{Model: w.Model}, nil
	case "add_service":
		if w.Service != nil {
			return AddService{Service: *w.Service}, nil
		}
		return nil, protocol.Refuse(protocol.UnknownIntent, `"service" must hold the service`)
	case "drain_vm":
		return DrainVM{VM: w.VM}, nil
	case "restore_vm":
		return RestoreVM{VM: w.VM}, nil
	default:
		return nil, protocol.Refuse(protocol.UnknownIntent, fmt.Sprintf("intent %q is unknown; there are %v", w.Do, IntentKinds()))
	}
}

// team returns the team that an add_team intent describes, with defaults.
func (w *wireIntent) team() protocol.Team {
	t := protocol.Team{Name: w.Team, KeyHashes: []string{w.KeyHash}, Share: 1, MaxOpen: defaultOpenLimit}
	if w.Share != nil {
		t.Share = *w.Share
	}
	if w.Priority != nil {
		t.Priority = *w.Priority
	}
	if w.Open != nil {
		t.MaxOpen = *w.Open
	}
	return t
}

// defaultOpenLimit is the limit of open requests of a team if its intent does not set one.
const defaultOpenLimit = 100

// malformed returns a refusal of an intent that can't be carried out.
func malformed(message string) error { return protocol.Refuse(protocol.MalformedRequest, message) }

func (i SetTeam) edit(d *draft) error {
	t, ok := d.team(i.Team)
	if !ok {
		return malformed("team " + i.Team + " does not exist")
	}
	before := t
	if i.Share != nil {
		t.Share = *i.Share
	}
	if i.Priority != nil {
		t.Priority = *i.Priority
	}
	if i.Open != nil {
		t.MaxOpen = *i.Open
	}
	return d.put(protocol.TeamPart, t.Name, describeTeam(before), describeTeam(t), t)
}

func describeTeam(t protocol.Team) string {
	return fmt.Sprintf("share %g, priority %d, %d open", t.Share, t.Priority, t.MaxOpen)
}

func (i AddTeam) edit(d *draft) error {
	if _, exists := d.team(i.Team.Name); exists {
		return malformed("team " + i.Team.Name + " exists")
	}
	return d.put(protocol.TeamPart, i.Team.Name, "", describeTeam(i.Team), i.Team)
}

func (i AddModel) edit(d *draft) error {
	if _, exists := d.base.Model(i.Model.Name); exists {
		return malformed("model " + i.Model.Name + " exists; give the version another name")
	}
	return d.put(protocol.ModelPart, i.Model.Name, "", describeModel(i.Model), i.Model)
}

func describeModel(m protocol.Model) string {
	return fmt.Sprintf("version %s, %d layers", m.Version, m.Layers)
}

func (i RetireModel) edit(d *draft) error {
	m, exists := d.base.Model(i.Model)
	if !exists {
		return malformed("model " + i.Model + " does not exist")
	}
	serves := func(r protocol.Runner) bool { return r.Model == i.Model && !r.Drain }
	if slices.ContainsFunc(d.base.Runners(), serves) {
		return malformed("model " + i.Model + " is served by runners; drain their VMs first")
	}
	for _, f := range d.base.Fleets() {
		kept := slices.DeleteFunc(slices.Clone(f.Runners), func(r protocol.Runner) bool { return r.Model == i.Model })
		if len(kept) == len(f.Runners) {
			continue
		}
		after := protocol.Fleet{Name: f.Name, Runners: kept}
		if err := d.put(protocol.FleetPart, f.Name, describeFleet(f), describeFleet(after), after); err != nil {
			return err
		}
	}
	d.remove(protocol.ModelPart, i.Model, describeModel(m))
	return nil
}

func describeFleet(f protocol.Fleet) string {
	drained := 0
	for _, r := range f.Runners {
		if r.Drain {
			drained++
		}
	}
	return fmt.Sprintf("%d runners, %d of them drained", len(f.Runners), drained)
}

func (i AddService) edit(d *draft) error {
	if _, exists := d.base.Service(i.Service.Name); exists {
		return malformed("service " + i.Service.Name + " exists")
	}
	after := fmt.Sprintf("%d endpoints", len(i.Service.Endpoints))
	return d.put(protocol.ServicePart, i.Service.Name, "", after, i.Service)
}

func (i DrainVM) edit(d *draft) error   { return setDrain(d, i.VM, true) }
func (i RestoreVM) edit(d *draft) error { return setDrain(d, i.VM, false) }

func setDrain(d *draft, vm string, drain bool) error {
	found := false
	for _, f := range d.base.Fleets() {
		after := protocol.Fleet{Name: f.Name, Runners: slices.Clone(f.Runners)}
		changed := false
		for j := range after.Runners {
			r := &after.Runners[j]
			found = found || r.VM == vm
			changed = changed || r.VM == vm && r.Drain != drain
			if r.VM == vm {
				r.Drain = drain
			}
		}
		if !changed {
			continue
		}
		if err := d.put(protocol.FleetPart, f.Name, describeFleet(f), describeFleet(after), after); err != nil {
			return err
		}
	}
	if !found {
		return malformed("no runner is on VM " + vm)
	}
	return nil
}

// draft collects the changes to a configuration.
type draft struct {
	base    *config.Config
	changes []Change
	steps   []Step
}

func (d *draft) team(name string) (protocol.Team, bool) {
	for _, t := range d.base.Teams() {
		if t.Name == name {
			return t, true
		}
	}
	return protocol.Team{}, false
}

// put adds a changed or new part. A part whose description stays the same is omitted.
func (d *draft) put(k protocol.PartKind, name, before, after string, part any) error {
	content, err := json.Marshal(part)
	if err != nil {
		return err
	}
	if before == after {
		return nil
	}
	ref := protocol.PartRef{Kind: k, Name: name, Hash: protocol.HashPart(content)}
	d.changes = append(d.changes, Change{Ref: ref, Content: content})
	d.steps = append(d.steps, Step{Part: string(k) + " " + name, Before: before, After: after})
	return nil
}

// remove adds the removal of a part.
func (d *draft) remove(k protocol.PartKind, name, before string) {
	d.changes = append(d.changes, Change{Ref: protocol.PartRef{Kind: k, Name: name}, Remove: true})
	d.steps = append(d.steps, Step{Part: string(k) + " " + name, Before: before})
}
