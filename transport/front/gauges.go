// SPDX-License-Identifier: Apache-2.0

package front

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/relay"
)

// reachedWindow is how recently an endpoint must have answered on a connection of this entry to count as
// reached: longer than the pauses between the requests of an entry that is in use.
const reachedWindow = 3 * time.Second

// groupKey identifies the endpoints of one service in one data center.
type groupKey struct {
	service, dataCenter string
}

// endpointGroup holds the totals of those endpoints.
type endpointGroup struct {
	key            groupKey
	states         []stateCount
	open           int64   // outstanding layer passes of this entry's requests there
	utilizationSum float64 // summed over the endpoints that new work goes to
	serving        int     // number of endpoints that new work goes to
	reached        int     // number of endpoints reached within reachedWindow
}

// stateCount is the number of endpoints in a state.
type stateCount struct {
	state protocol.EndpointState
	count int
}

// groupEndpoints sums up a status by service and data center, in that order.
func groupEndpoints(s *protocol.FleetStatus) []endpointGroup {
	var all []endpointGroup
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		key := groupKey{service: e.Service, dataCenter: e.DataCenter}
		at := slices.IndexFunc(all, func(g endpointGroup) bool { return g.key == key })
		if at < 0 {
			at = len(all)
			all = append(all, endpointGroup{key: key})
		}
		all[at].add(e)
	}
	slices.SortFunc(all, func(a, b endpointGroup) int {
		return cmp.Or(cmp.Compare(a.key.service, b.key.service), cmp.Compare(a.key.dataCenter, b.key.dataCenter))
	})
	return all
}

// add adds an endpoint to the totals.
func (g *endpointGroup) add(e *protocol.EndpointStatus) {
	at := slices.IndexFunc(g.states, func(c stateCount) bool { return c.state == e.State })
	if at < 0 {
		at = len(g.states)
		g.states = append(g.states, stateCount{state: e.State})
	}
	g.states[at].count++
	g.open += e.OpenLayerPasses
	if e.ReachedMS != nil && *e.ReachedMS <= reachedWindow.Milliseconds() {
		g.reached++
	}
	if e.State == protocol.EndpointServing || e.State == protocol.EndpointSlow {
		g.serving++
		g.utilizationSum += e.Utilization
	}
}

// writeStoreEra writes the latest era that the store named.
func writeStoreEra(w io.Writer, era uint64) error {
	_, err := fmt.Fprintf(w, "pinerun_store_era %d\n", era)
	return err
}

// writeStateAges writes how old the state of each kind of objects may be.
func writeStateAges(w io.Writer, known []relay.KnownKind, now time.Time) error {
	gauges := gaugeWriter{out: w}
	for _, k := range known {
		gauges.write("state_age_seconds", fmt.Sprintf("objects=%q", k.Kind()), now.Sub(k.CompleteAt()).Seconds())
	}
	return gauges.err
}

// writeGauges writes the current state in the text format of Prometheus.
func writeGauges(w io.Writer, s protocol.FleetStatus) error {
	gauges := gaugeWriter{out: w}
	for _, group := range groupEndpoints(&s) {
		labels := fmt.Sprintf("service=%q,data_center=%q", group.key.service, group.key.dataCenter)
		for _, c := range group.states {
			gauges.write("endpoints", fmt.Sprintf("%s,state=%q", labels, c.state), float64(c.count))
		}
		gauges.write("endpoints_reached", labels, float64(group.reached))
		gauges.write("open_passes", labels, float64(group.open))
		if group.serving > 0 {
			gauges.write("room_taken", labels, group.utilizationSum/float64(group.serving))
		}
	}
	for _, queue := range s.Waiting {
		labels := fmt.Sprintf("service=%q,priority=\"%d\",team=%q", queue.Service, queue.Priority, queue.Team)
		gauges.write("waiting", labels, float64(queue.Requests))
		gauges.write("waiting_oldest_seconds", labels, float64(queue.OldestMS)/1000)
	}
	return gauges.err
}

// gaugeWriter writes lines until a write fails.
type gaugeWriter struct {
	out io.Writer
	err error
}

func (g *gaugeWriter) write(name, labels string, value float64) {
	if g.err == nil {
		_, g.err = fmt.Fprintf(g.out, "pinerun_%s{%s} %g\n", name, labels, value)
	}
}
