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

// fixedDecoder decodes every object to the same table.
type fixedDecoder struct{ table protocol.Routing }

func (f fixedDecoder) Routing(protocol.Object) (protocol.Routing, error) { return f.table, nil }

func (f fixedDecoder) Endpoint(o protocol.Object) (protocol.Endpoint, error) {
	return protocol.Endpoint{ID: o.Name, Service: "plain", Address: o.Name}, nil
}

// TestTableInForceHasEndpoints checks that the endpoints of a table's services are available from
// the moment at which the table is in force.
func TestTableInForceHasEndpoints(t *testing.T) {
	f := &Front{
		Counters: &metric.Set{},
		Dependencies: Dependencies{RoutingName: "main", Decoder: fixedDecoder{table: protocol.Routing{
			Version: 1, Services: []protocol.RoutedService{{Name: "plain"}},
		}}},
	}
	var records []protocol.Object
	for i := range 5000 { // building the view takes a while
		records = append(records, protocol.Object{Name: fmt.Sprint("e", i), Version: protocol.Revision{Number: uint64(i + 1)}})
	}
	(&endpointSink{front: f}).Listed(protocol.Listing{Objects: records}, time.Now())
	found := make(chan bool)
	go func() {
		for f.routing.Current() == nil {
			runtime.Gosched()
		}
		found <- f.endpoints.View().Model(registry.ModelName("plain", "")) != nil
	}()
	(&routingSink{front: f}).Listed(protocol.Listing{Objects: []protocol.Object{{Name: "main", Version: protocol.Revision{Number: 9000}}}}, time.Now())
	require.True(t, <-found)
}

// TestEndpointsSurviveOutageSeenByTableReadOnly pauses the watch of endpoints until after the end
// of an outage, in which a read of the routing table fails.
func TestEndpointsSurviveOutageSeenByTableReadOnly(t *testing.T) {
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: fixedDecoder{}}}
	endpoints := &endpointSink{front: f}
	tables := &routingSink{front: f}
	began := time.Now()
	endpoints.Listed(protocol.Listing{Objects: []protocol.Object{{Name: "e1", Version: protocol.Revision{Number: 1}}}}, began)
	endpoints.Failed(errors.New("down"), began.Add(time.Second))
	tables.Failed(errors.New("down"), began.Add(3*time.Second))
	endpoints.Listed(protocol.Listing{}, began.Add(3500*time.Millisecond))
	require.Len(t, f.endpoints.Endpoints(), 1, "its record expired during the outage")
}

// incarnationDecoder decodes the length of an object's value as the endpoint's incarnation.
type incarnationDecoder struct{ fixedDecoder }

func (incarnationDecoder) Endpoint(o protocol.Object) (protocol.Endpoint, error) {
	return protocol.Endpoint{ID: o.Name, Service: "plain", Address: o.Name, Incarnation: protocol.Incarnation(len(o.Value))}, nil
}

// TestRestartInChangesIsCountedOnce has the record of an endpoint show a later incarnation, and
// then a late write of the earlier one.
func TestRestartInChangesIsCountedOnce(t *testing.T) {
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: incarnationDecoder{}}}
	s := &endpointSink{front: f}
	now := time.Now()
	for i, incarnation := range []int{1, 2, 1, 2} {
		o := protocol.Object{Name: "e", Version: protocol.Revision{Number: uint64(i + 1)}, Value: make([]byte, incarnation)}
		s.Changed(protocol.Change{Object: o}, now.Add(time.Duration(i)*time.Second))
	}
	require.EqualValues(t, 1, f.Counters.Value(string(metric.RestartsSeen)))
	require.EqualValues(t, 2, f.endpoints.Endpoints()[0].Incarnation)
}

// TestRestartInListsIsCountedOnce delivers the same records in lists, which replace missed changes.
func TestRestartInListsIsCountedOnce(t *testing.T) {
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: incarnationDecoder{}}}
	s := &endpointSink{front: f}
	now := time.Now()
	for i, incarnation := range []int{1, 2, 1, 2} {
		o := protocol.Object{Name: "e", Version: protocol.Revision{Number: uint64(i + 1)}, Value: make([]byte, incarnation)}
		s.Listed(protocol.Listing{Objects: []protocol.Object{o}}, now.Add(time.Duration(i)*time.Second))
		f.checkRecords(now.Add(time.Duration(i) * time.Second))
	}
	require.EqualValues(t, 1, f.Counters.Value(string(metric.RestartsSeen)))
	require.EqualValues(t, 2, f.endpoints.Endpoints()[0].Incarnation)
}
