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

// fleetCallTimeout bounds the call to an entry. It is short since the entry answers from
// memory.
const fleetCallTimeout = 5 * time.Second

// fleetCommand prints the state of the endpoints as one deployed entry sees them.
type fleetCommand struct {
	entryURL string
	asJSON   bool
}

func (c *fleetCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("fleet")
	s.Description = "Print which endpoints an entry knows, the layers that they hold and why one gets no work"
	c.entryURL = "http://127.0.0.1:9464"
	s.String(&c.entryURL, "e", "entry", "URL of the entry's metrics address")
	s.Bool(&c.asJSON, "j", "json", "print JSON instead of a table")
	return s
}

func (c *fleetCommand) run(ctx context.Context, o *output) int {
	body, err := c.fetch(ctx)
	if err != nil {
		return o.fail(exitFailed, err)
	}
	if c.asJSON {
		fmt.Fprintln(o.out, string(body))
		return exitOK
	}
	var s protocol.FleetStatus
	if err := json.Unmarshal(body, &s); err != nil {
		return o.fail(exitFailed, fmt.Errorf("the answer can't be read: %w; is -entry the metrics address of a front?", err))
	}
	if err := writeFleet(o.out, &s); err != nil {
		return o.fail(exitFailed, err)
	}
	return exitOK
}

// fetch returns the body of the entry's response.
func (c *fleetCommand) fetch(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.entryURL+"/fleet", nil)
	if err != nil {
		return nil, fmt.Errorf("%w; give -entry a URL", err)
	}
	status, body, err := callEntry(req)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.New("the entry answers " + strconv.Itoa(status) + " " + http.StatusText(status) + "; is -entry the metrics address of a front?")
	}
	return body, nil
}

// writeFleet writes a table for each service and data center: a summary, then a line for
// each endpoint, ordered by the layers that it holds.
func writeFleet(w io.Writer, s *protocol.FleetStatus) error {
	fmt.Fprintf(w, "entry %s in %s, routing table %d\n", s.Entry, s.DataCenter, s.Routing)
	endpoints := slices.Clone(s.Endpoints)
	slices.SortFunc(endpoints, func(a, b protocol.EndpointStatus) int {
		return cmp.Or(
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCenter, b.DataCenter),
			cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To), cmp.Compare(a.ID, b.ID),
		)
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range endpoints {
		e := &endpoints[i]
		if i == 0 || e.Service != endpoints[i-1].Service || e.DataCenter != endpoints[i-1].DataCenter {
			writeSummary(t, endpoints[i:])
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%s\t%s\t%3.0f %%\t%s\n",
			e.ID, e.Address, e.Accelerator, formatLayers(e), e.State, 100*e.Utilization, formatStart(e))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeWaiting(w, s.Waiting)
}

// writeWaiting writes the requests that wait for capacity, a line for each service, priority
// and team.
func writeWaiting(w io.Writer, waiting []protocol.WaitingStatus) error {
	if len(waiting) == 0 {
		return nil
	}
	fmt.Fprintln(w, "\nwaiting for room")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range waiting {
		a := &waiting[i]
		fmt.Fprintf(t, "  %s\tpriority %d\t%s\t%d requests\tfor up to %.1f s\n", a.Service, a.Priority, a.Team, a.Requests, float64(a.OldestMS)/1000)
	}
	return t.Flush()
}

// writeSummary summarizes the endpoints at the head of the list that belong to the service
// and data center of the first one: how many serve, the mean utilization of these, and the
// layers that the fewest of them hold.
func writeSummary(w io.Writer, endpoints []protocol.EndpointStatus) {
	first := &endpoints[0]
	serving, n, utilization := 0, 0, 0.0
	for i := range endpoints {
		if endpoints[i].Service != first.Service || endpoints[i].DataCenter != first.DataCenter {
			break
		}
		n++
		if endpoints[i].State == protocol.EndpointServing {
			serving++
			utilization += endpoints[i].Utilization
		}
	}
	fmt.Fprintf(w, "\n%s in %s: %d of %d serve, %.0f %% of their room is taken\n", first.Service, first.DataCenter, serving, n, 100*utilization/float64(max(1, serving)))
	for _, l := range fewestHolders(endpoints[:n]) {
		fmt.Fprintf(w, "  layers %s: held by %d that serve\n", l.span, l.holders)
	}
}

// layerHolders is a range of layers, each held by the same number of serving endpoints.
type layerHolders struct {
	span    protocol.Span
	holders int
}

// fewestHolders returns the ranges of layers that the fewest serving endpoints hold. It
// returns nil if no endpoint holds layers.
func fewestHolders(endpoints []protocol.EndpointStatus) []layerHolders {
	layers := 0
	for i := range endpoints {
		layers = max(layers, endpoints[i].To)
	}
	var fewest []layerHolders
	for l := range layers {
		n := 0
		for i := range endpoints {
			if e := &endpoints[i]; e.State == protocol.EndpointServing && e.From <= l && l < e.To {
				n++
			}
		}
		last := len(fewest) - 1
		switch {
		case last >= 0 && n > fewest[last].holders:
		case last >= 0 && n == fewest[last].holders && fewest[last].span.To == l:
			fewest[last].span.To++
		case last >= 0 && n == fewest[last].holders:
			fewest = append(fewest, layerHolders{span: protocol.Span{From: l, To: l + 1}, holders: n})
		default:
			fewest = []layerHolders{{span: protocol.Span{From: l, To: l + 1}, holders: n}}
		}
	}
	return fewest
}

// formatLayers returns the layers that an endpoint holds, followed by those that it was
// ordered to load, if any.
func formatLayers(e *protocol.EndpointStatus) string {
	layers := "-"
	if e.To > e.From {
		layers = protocol.Span{From: e.From, To: e.To}.String()
	}
	if e.OrderedTo > e.OrderedFrom {
		layers += " > " + protocol.Span{From: e.OrderedFrom, To: e.OrderedTo}.String()
	}
	return layers
}

// formatStart returns the time at which an endpoint's process started, or "" if it is not
// known.
func formatStart(e *protocol.EndpointStatus) string {
	if e.StartedMS == 0 {
		return ""
	}
	return "since " + time.UnixMilli(e.StartedMS).UTC().Format(time.DateTime)
}
