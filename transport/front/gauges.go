// SPDX-License-Identifier: Apache-2.0

package front

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// place is the endpoints of one service in one data center.
type place struct {
	service, dataCenter string
}

// standing is how those endpoints stand.
type standing struct {
	place  place
	states []stateCount
	open   int64   // layer passes of this entry's requests under way there
	filled float64 // sum of the parts of room that are taken where new work goes
	serve  int     // endpoints that new work goes to
}

// stateCount is how many endpoints are in a state.
type stateCount struct {
	state protocol.EndpointState
	n     int
}

// standings sums a status up, in order of service and data center.
func standings(s *protocol.FleetStatus) []standing {
	var all []standing
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		p := place{service: e.Service, dataCenter: e.DataCenter}
		at := slices.IndexFunc(all, func(d standing) bool { return d.place == p })
		if at < 0 {
			at = len(all)
			all = append(all, standing{place: p})
		}
		all[at].add(e)
	}
	slices.SortFunc(all, func(a, b standing) int {
		return cmp.Or(cmp.Compare(a.place.service, b.place.service), cmp.Compare(a.place.dataCenter, b.place.dataCenter))
	})
	return all
}

func (d *standing) add(e *protocol.EndpointStatus) {
	at := slices.IndexFunc(d.states, func(c stateCount) bool { return c.state == e.State })
	if at < 0 {
		at = len(d.states)
		d.states = append(d.states, stateCount{state: e.State})
	}
	d.states[at].n++
	d.open += e.Open
	if e.State == protocol.EndpointServes || e.State == protocol.EndpointSlow {
		d.serve++
		d.filled += e.Fill
	}
}

// writeGauges writes how things stand now as lines that common scrapers read.
func writeGauges(w io.Writer, s protocol.FleetStatus) error {
	g := gauges{to: w}
	for _, d := range standings(&s) {
		labels := fmt.Sprintf("service=%q,data_center=%q", d.place.service, d.place.dataCenter)
		for _, c := range d.states {
			g.write("endpoints", fmt.Sprintf("%s,state=%q", labels, c.state), float64(c.n))
		}
		g.write("open_passes", labels, float64(d.open))
		if d.serve > 0 {
			g.write("room_taken", labels, d.filled/float64(d.serve))
		}
	}
	for _, a := range s.Waiting {
		labels := fmt.Sprintf("service=%q,priority=\"%d\",team=%q", a.Service, a.Priority, a.Team)
		g.write("waiting", labels, float64(a.Requests))
		g.write("waiting_oldest_seconds", labels, float64(a.OldestMS)/1000)
	}
	return g.failed
}

// gauges writes lines until one fails.
type gauges struct {
	to     io.Writer
	failed error
}

func (g *gauges) write(name, labels string, value float64) {
	if g.failed == nil {
		_, g.failed = fmt.Fprintf(g.to, "pinerun_%s{%s} %g\n", name, labels, value)
	}
}
