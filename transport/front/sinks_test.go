// SPDX-License-Identifier: Apache-2.0

package front

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/registry"
)

// fixed decodes every object to the same table.
type fixed struct{ table protocol.Routing }

func (f fixed) Routing(protocol.Object) (protocol.Routing, error) { return f.table, nil }

func (f fixed) Endpoint(o protocol.Object) (protocol.Endpoint, error) {
	return protocol.Endpoint{ID: o.Name, Service: "plain", Address: o.Name}, nil
}

// TestATableIsInForceOnlyOnceItsServicesHaveEndpoints looks at the roster at the
// first moment at which a table is in force.
func TestATableIsInForceOnlyOnceItsServicesHaveEndpoints(t *testing.T) {
	f := &Front{
		Counters: &metric.Set{},
		Dependencies: Dependencies{RoutingName: "main", Decoder: fixed{table: protocol.Routing{
			Version: 1, Services: []protocol.RoutedService{{Name: "plain"}},
		}}},
	}
	var records []protocol.Object
	for i := range 5000 { // building the view takes a while
		records = append(records, protocol.Object{Name: fmt.Sprint("e", i), Version: uint64(i + 1)})
	}
	(&endpointSink{front: f}).Listed(records, time.Now())
	found := make(chan bool)
	go func() {
		for f.routing.Current() == nil {
			runtime.Gosched()
		}
		found <- f.roster.View().Model(registry.ModelName("plain", "")) != nil
	}()
	(&routingSink{front: f}).Listed([]protocol.Object{{Name: "main", Version: 9000}}, time.Now())
	require.True(t, <-found)
}

// TestEndpointsOutliveAnOutageThatOnlyAReadMet lets the watch of endpoints rest through
// the end of an outage, in which a read of the routing table fails.
func TestEndpointsOutliveAnOutageThatOnlyAReadMet(t *testing.T) {
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: fixed{}}}
	endpoints := &endpointSink{front: f}
	tables := &routingSink{front: f}
	began := time.Now()
	endpoints.Listed([]protocol.Object{{Name: "lives", Version: 1}}, began)
	endpoints.Failed(errors.New("down"), began.Add(time.Second))
	tables.Failed(errors.New("down"), began.Add(3*time.Second))
	endpoints.Listed(nil, began.Add(3500*time.Millisecond))
	require.Len(t, f.roster.Endpoints(), 1, "its record lapsed while the platform was away")
}

// lived decodes an object's content as the life that the endpoint tells.
type lived struct{ fixed }

func (lived) Endpoint(o protocol.Object) (protocol.Endpoint, error) {
	return protocol.Endpoint{ID: o.Name, Service: "plain", Address: o.Name, Incarnation: protocol.Incarnation(len(o.Value))}, nil
}

// TestAnEndpointThatStartsAgainIsCountedOnce: its record tells a later start, and then one of
// its earlier life is written late.
func TestAnEndpointThatStartsAgainIsCountedOnce(t *testing.T) {
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: lived{}}}
	s := &endpointSink{front: f}
	now := time.Now()
	for i, life := range []int{1, 2, 1, 2} {
		o := protocol.Object{Name: "e", Version: uint64(i + 1), Value: make([]byte, life)}
		s.Changed(protocol.Change{Object: o}, now.Add(time.Duration(i)*time.Second))
	}
	require.EqualValues(t, 1, f.Counters.Value(string(metric.RestartsSeen)))
	require.EqualValues(t, 2, f.roster.Endpoints()[0].Incarnation)
}

// TestAnEndpointThatStartsAgainIsCountedInAListToo: changes that are missed are made good by a list.
func TestAnEndpointThatStartsAgainIsCountedInAListToo(t *testing.T) {
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: lived{}}}
	s := &endpointSink{front: f}
	now := time.Now()
	for i, life := range []int{1, 2, 1, 2} {
		o := protocol.Object{Name: "e", Version: uint64(i + 1), Value: make([]byte, life)}
		s.Listed([]protocol.Object{o}, now.Add(time.Duration(i)*time.Second))
		f.lookAtRecords(now.Add(time.Duration(i) * time.Second))
	}
	require.EqualValues(t, 1, f.Counters.Value(string(metric.RestartsSeen)))
	require.EqualValues(t, 2, f.roster.Endpoints()[0].Incarnation)
}
