// SPDX-License-Identifier: Apache-2.0

package command

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/protocol"
)

// fleetCallLimit bounds the call to an entry, which answers from memory.
const fleetCallLimit = 5 * time.Second

// fleetVerb prints what one entry before engines believes of the endpoints.
type fleetVerb struct {
	entry  string
	asJSON bool
}

func (v *fleetVerb) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("fleet")
	s.Description = "Print which endpoints an entry knows, the layers that they hold and why one gets no work"
	v.entry = "http://127.0.0.1:9464"
	s.String(&v.entry, "e", "entry", "URL of the entry's metrics address")
	s.Bool(&v.asJSON, "j", "json", "print JSON instead of a table")
	return s
}

func (v *fleetVerb) run(ctx context.Context, o *output) int {
	content, err := v.ask(ctx)
	if err != nil {
		return o.fail(exitFailed, err)
	}
	if v.asJSON {
		fmt.Fprintln(o.out, string(content))
		return exitGood
	}
	var s protocol.FleetStatus
	if err := json.Unmarshal(content, &s); err != nil {
		return o.fail(exitFailed, fmt.Errorf("the answer can't be read: %w; is -entry the metrics address of a front?", err))
	}
	if err := writeFleet(o.out, &s); err != nil {
		return o.fail(exitFailed, err)
	}
	return exitGood
}

// ask returns the entry's answer.
func (v *fleetVerb) ask(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetCallLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, v.entry+"/fleet", nil)
	if err != nil {
		return nil, fmt.Errorf("%w; give -entry a URL", err)
	}
	status, content, err := callEntry(req)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.New("the entry answers " + strconv.Itoa(status) + " " + http.StatusText(status) + "; is -entry the metrics address of a front?")
	}
	return content, nil
}

// writeFleet writes a table for each service and data center: first a sum, then a line for
// each endpoint in order of the layers that it holds.
func writeFleet(w io.Writer, s *protocol.FleetStatus) error {
	fmt.Fprintf(w, "entry %s in %s, routing table %d\n", s.Entry, s.DataCenter, s.Routing)
	all := slices.Clone(s.Endpoints)
	slices.SortFunc(all, func(a, b protocol.EndpointStatus) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCenter, b.DataCenter),
			cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To), cmp.Compare(a.ID, b.ID),
		)
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range all {
		e := &all[i]
		if i == 0 || e.Service != all[i-1].Service || e.DataCenter != all[i-1].DataCenter {
			writeSum(t, all[i:])
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%s\t%3.0f %%\t%s\n",
			e.ID, e.Address, e.Accelerator, layersOf(e), e.State, 100*e.Utilization, startOf(e))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeWaiting(w, s.Waiting)
}

// writeWaiting writes who waits for room, a line for each service, priority and team.
func writeWaiting(w io.Writer, all []protocol.WaitingStatus) error {
	if len(all) == 0 {
		return nil
	}
	fmt.Fprintln(w, "\nwaiting for room")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range all {
		a := &all[i]
		fmt.Fprintf(t, "  %s\tpriority %d\t%s\t%d requests\tfor up to %.1f s\n", a.Service, a.Priority, a.Team, a.Requests, float64(a.OldestMS)/1000)
	}
	return t.Flush()
}

// writeSum writes how many of the endpoints at the head of the list, those of one service
// and data center, serve.
func writeSum(w io.Writer, rest []protocol.EndpointStatus) {
	first := &rest[0]
	serve, n, filled := 0, 0, 0.0
	for i := range rest {
		if rest[i].Service != first.Service || rest[i].DataCenter != first.DataCenter {
			break
		}
		n++
		if rest[i].State == protocol.EndpointServing {
			serve++
			filled += rest[i].Utilization
		}
	}
	fmt.Fprintf(w, "\n%s in %s: %d of %d serve, %.0f %% of their room is taken\n", first.Service, first.DataCenter, serve, n, 100*filled/float64(max(1, serve)))
	for _, l := range thinnest(rest[:n]) {
		fmt.Fprintf(w, "  layers %s: held by %d that serve\n", l.span, l.holders)
	}
}

// held is a run of layers that equally many endpoints hold.
type held struct {
	span    protocol.Span
	holders int
}

// thinnest returns the layers that the fewest endpoints hold that serve, none if there are no layers.
func thinnest(all []protocol.EndpointStatus) []held {
	layers := 0
	for i := range all {
		layers = max(layers, all[i].To)
	}
	var found []held
	for l := range layers {
		n := 0
		for i := range all {
			if e := &all[i]; e.State == protocol.EndpointServing && e.From <= l && l < e.To {
				n++
			}
		}
		last := len(found) - 1
		switch {
		case last >= 0 && n > found[last].holders:
		case last >= 0 && n == found[last].holders && found[last].span.To == l:
			found[last].span.To++
		case last >= 0 && n == found[last].holders:
			found = append(found, held{span: protocol.Span{From: l, To: l + 1}, holders: n})
		default:
			found = []held{{span: protocol.Span{From: l, To: l + 1}, holders: n}}
		}
	}
	return found
}

// layersOf returns the layers that an endpoint holds, and those that it was ordered to, as text.
func layersOf(e *protocol.EndpointStatus) string {
	layers := "-"
	if e.To > e.From {
		layers = protocol.Span{From: e.From, To: e.To}.String()
	}
	if e.OrderedTo > e.OrderedFrom {
		layers += " > " + protocol.Span{From: e.OrderedFrom, To: e.OrderedTo}.String()
	}
	return layers
}

// startOf returns when an endpoint's process started as text, "" if that is not known.
func startOf(e *protocol.EndpointStatus) string {
	if e.StartedMS == 0 {
		return ""
	}
	return "since " + time.UnixMilli(e.StartedMS).UTC().Format(time.DateTime)
}
