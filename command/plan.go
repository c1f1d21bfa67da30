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

// intentCommand submits an intent to an entry and prints the resulting plan.
type intentCommand struct {
	client   operatorClient
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

// unset is the default of numeric flags whose zero is a valid value. It means that the flag
// was not given.
const unset = -1

func (c *intentCommand) define() *flaggy.Subcommand {
	c.share, c.priority, c.open = unset, unset, unset
	s := flaggy.NewSubcommand("intent")
	s.Description = "State an intent and print its plan: pinerun intent -do set_team -team app -share 6"
	c.client.addFlags(s)
	s.String(&c.do, "d", "do", "what to do: "+strings.Join(plan.IntentKinds(), ", "))
	s.String(&c.team, "t", "team", "the team")
	s.String(&c.vm, "", "vm", "the VM")
	s.String(&c.model, "m", "model", "the model")
	s.String(&c.keyHash, "k", "key-hash", "SHA-256 of the team's key, in hexadecimal")
	s.Float64(&c.share, "", "share", "the team's share")
	s.Int(&c.priority, "p", "priority", "the team's priority, 0 is the most urgent")
	s.Int(&c.open, "o", "open", "the team's limit of open requests")
	s.String(&c.file, "f", "file", "a JSON file with the whole intent, for add_model and add_service")
	s.Bool(&c.asJSON, "j", "json", "print the plan as JSON")
	return s
}

func (c *intentCommand) run(ctx context.Context, o *output) int {
	body, err := c.body()
	if err != nil {
		return o.fail(exitUsage, err)
	}
	response, err := c.client.do(ctx, http.MethodPost, "/admin/v1/intents", bytes.NewReader(body))
	if err != nil {
		return o.fail(exitFailed, err)
	}
	var p plan.Plan
	if c.asJSON || json.Unmarshal(response, &p) != nil {
		fmt.Fprint(o.out, string(response))
		return exitOK
	}
	printPlan(o, &p)
	return exitOK
}

// body returns the intent as JSON, from the file if one was given, else from the flags.
func (c *intentCommand) body() ([]byte, error) {
	if c.file != "" {
		content, err := os.ReadFile(c.file)
		if err != nil {
			return nil, fmt.Errorf("the intent can't be read: %w; check -file", err)
		}
		return content, nil
	}
	if c.do == "" {
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
	}{Do: c.do, Team: c.team, VM: c.vm, Model: c.model, KeyHash: c.keyHash}
	if c.share != unset {
		intent.Share = &c.share
	}
	if c.priority != unset {
		intent.Priority = &c.priority
	}
	if c.open != unset {
		intent.Open = &c.open
	}
	return json.Marshal(intent)
}

// printPlan writes a plan in human-readable form.
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

// plansCommand lists the open plans, or those that ended on a given day.
type plansCommand struct {
	client operatorClient
	day    string
}

func (c *plansCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("plans")
	s.Description = "List the open plans, or those ended on a day: pinerun plans -day 20261202"
	c.client.addFlags(s)
	s.String(&c.day, "d", "day", "a day in UTC, like 20261202")
	return s
}

func (c *plansCommand) run(ctx context.Context, o *output) int {
	path := "/admin/v1/plans"
	if c.day != "" {
		path += "?day=" + c.day
	}
	response, err := c.client.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return o.fail(exitFailed, err)
	}
	var plans []plan.Plan
	if err := json.Unmarshal(response, &plans); err != nil {
		return o.fail(exitFailed, err)
	}
	for i := range plans {
		printPlan(o, &plans[i])
	}
	return exitOK
}

// planActionCommand confirms or withdraws a plan.
type planActionCommand struct {
	client      operatorClient
	action      string // the subcommand's name and the last part of the URL path
	description string
	plan        string
}

func (c *planActionCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand(c.action)
	s.Description = c.description + ": pinerun " + c.action + " -plan p-0a1b2c3d4e5f"
	c.client.addFlags(s)
	s.String(&c.plan, "p", "plan", "the plan's id")
	return s
}

func (c *planActionCommand) run(ctx context.Context, o *output) int {
	if c.plan == "" {
		return o.fail(exitUsage, errors.New("no plan; give -plan with its id, see 'pinerun plans'"))
	}
	response, err := c.client.do(ctx, http.MethodPost, "/admin/v1/plans/"+c.plan+"/"+c.action, nil)
	if err != nil {
		return o.fail(exitFailed, err)
	}
	fmt.Fprint(o.out, string(response))
	return exitOK
}
