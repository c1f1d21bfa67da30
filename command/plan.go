// SPDX-License-Identifier: Apache-2.0

package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/coordination/plan"
)

// intentVerb states an intent and prints the plan.
type intentVerb struct {
	call     operatorCall
	do       string
	team     string
	vm       string
	model    string
	keyHash  string
	file     string
	share    float64
	priority int
	open     int
	asJSON   bool
}

// unset marks a number that was not given.
const unset = -1

func (v *intentVerb) define() *flaggy.Subcommand {
	v.share, v.priority, v.open = unset, unset, unset
	s := flaggy.NewSubcommand("intent")
	s.Description = "State an intent and print its plan: pinerun intent -do set_team -team app -share 6"
	v.call.attach(s)
	s.String(&v.do, "d", "do", "what to do: "+strings.Join(plan.IntentKinds(), ", "))
	s.String(&v.team, "t", "team", "the team")
	s.String(&v.vm, "", "vm", "the VM")
	s.String(&v.model, "m", "model", "the model")
	s.String(&v.keyHash, "k", "key-hash", "SHA-256 of the team's key, in hexadecimal")
	s.Float64(&v.share, "", "share", "the team's share")
	s.Int(&v.priority, "p", "priority", "the team's priority, 0 is the most urgent")
	s.Int(&v.open, "o", "open", "the team's limit of open requests")
	s.String(&v.file, "f", "file", "a JSON file with the whole intent, for add_model and add_service")
	s.Bool(&v.asJSON, "j", "json", "print the plan as JSON")
	return s
}

func (v *intentVerb) run(ctx context.Context, o *output) int {
	body, err := v.body()
	if err != nil {
		return o.fail(exitUsage, err)
	}
	answer, err := v.call.do(ctx, http.MethodPost, "/admin/v1/intents", bytes.NewReader(body))
	if err != nil {
		return o.fail(exitFailed, err)
	}
	var p plan.Plan
	if v.asJSON || json.Unmarshal(answer, &p) != nil {
		fmt.Fprint(o.out, string(answer))
		return exitGood
	}
	printPlan(o, &p)
	return exitGood
}

func (v *intentVerb) body() ([]byte, error) {
	if v.file != "" {
		content, err := os.ReadFile(v.file)
		if err != nil {
			return nil, fmt.Errorf("the intent can't be read: %w; check -file", err)
		}
		return content, nil
	}
	if v.do == "" {
		return nil, errors.New("no intent; give -do with one of " + strings.Join(plan.IntentKinds(), ", "))
	}
	intent := struct {
		Do       string   `json:"do"`
		Team     string   `json:"team,omitempty"`
		VM       string   `json:"vm,omitempty"`
		Model    string   `json:"model,omitempty"`
		KeyHash  string   `json:"key_hash,omitempty"`
		Share    *float64 `json:"share,omitempty"`
		Priority *int     `json:"priority,omitempty"`
		Open     *int     `json:"open,omitempty"`
	}{Do: v.do, Team: v.team, VM: v.vm, Model: v.model, KeyHash: v.keyHash}
	if v.share != unset {
		intent.Share = &v.share
	}
	if v.priority != unset {
		intent.Priority = &v.priority
	}
	if v.open != unset {
		intent.Open = &v.open
	}
	return json.Marshal(intent)
}

// printPlan writes a plan for people.
func printPlan(o *output, p *plan.Plan) {
	fmt.Fprintf(o.out, "plan %s (%s), made from version %d by %s, to be confirmed until %s\n",
		p.ID, p.State, p.BaseVersion, p.Author, p.Deadline.Format("2006-01-02 15:04:05 MST"))
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	for _, s := range p.Steps {
		fmt.Fprintf(w, "  %s\t%s\t-> %s\n", s.Part, orNone(s.Before), orNone(s.After))
	}
	for _, f := range p.Flows {
		fmt.Fprintf(w, "  flow bound of %s\t%.0f\t-> %.0f positions/s\n", f.Model, f.Before, f.After)
	}
	for _, s := range p.Shares {
		fmt.Fprintf(w, "  share of %s\t%.1f %%\t-> %.1f %%\n", s.Team, 100*s.Before, 100*s.After)
	}
	_ = w.Flush()
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}

// plansVerb lists plans.
type plansVerb struct {
	call operatorCall
	day  string
}

func (v *plansVerb) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("plans")
	s.Description = "List the open plans, or those ended on a day: pinerun plans -day 20261202"
	v.call.attach(s)
	s.String(&v.day, "d", "day", "a day in UTC, like 20261202")
	return s
}

func (v *plansVerb) run(ctx context.Context, o *output) int {
	path := "/admin/v1/plans"
	if v.day != "" {
		path += "?day=" + v.day
	}
	answer, err := v.call.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return o.fail(exitFailed, err)
	}
	var plans []plan.Plan
	if err := json.Unmarshal(answer, &plans); err != nil {
		return o.fail(exitFailed, err)
	}
	for i := range plans {
		printPlan(o, &plans[i])
	}
	return exitGood
}

// endVerb ends a plan, by confirming or withdrawing it.
type endVerb struct {
	call        operatorCall
	name        string // also the last part of the call's path
	description string
	plan        string
}

func (v *endVerb) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand(v.name)
	s.Description = v.description + ": pinerun " + v.name + " -plan p-0a1b2c3d4e5f"
	v.call.attach(s)
	s.String(&v.plan, "p", "plan", "the plan's id")
	return s
}

func (v *endVerb) run(ctx context.Context, o *output) int {
	if v.plan == "" {
		return o.fail(exitUsage, errors.New("no plan; give -plan with its id, see 'pinerun plans'"))
	}
	answer, err := v.call.do(ctx, http.MethodPost, "/admin/v1/plans/"+v.plan+"/"+v.name, nil)
	if err != nil {
		return o.fail(exitFailed, err)
	}
	fmt.Fprint(o.out, string(answer))
	return exitGood
}
