// SPDX-License-Identifier: Apache-2.0

package front

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/routing"
)

// valueDecoder decodes a record whose value is a service, or a fault after an exclamation mark.
type valueDecoder struct{ fixedDecoder }

func (valueDecoder) Endpoint(o protocol.Object) (protocol.Endpoint, error) {
	if fault, bad := strings.CutPrefix(string(o.Value), "!"); bad {
		return protocol.Endpoint{}, protocol.NewRecordError(protocol.RecordFault(fault), nil)
	}
	return protocol.Endpoint{ID: o.Name, Service: string(o.Value), Address: o.Name, DataCenter: "a"}, nil
}

// recordFixture is an entry that receives endpoint records.
type recordFixture struct {
	t        *testing.T
	front    *Front
	sink     *endpointSink
	logs     bytes.Buffer
	revision uint64
	now      time.Time
}

func newRecordFixture(t *testing.T) *recordFixture {
	f := &recordFixture{t: t, now: time.Now()}
	logger := slog.New(slog.NewJSONHandler(&f.logs, nil))
	f.front = &Front{Counters: &metric.Set{}, Logger: logger, Dependencies: Dependencies{RoutingName: "main", Decoder: valueDecoder{}}}
	f.front.records = recordFaults{counters: f.front.Counters, logger: logger}
	f.sink = &endpointSink{front: f.front}
	return f
}

func (f *recordFixture) object(name, value string) protocol.Object {
	f.revision++
	return protocol.Object{Name: name, Version: protocol.Revision{Number: f.revision}, Value: []byte(value)}
}

func (f *recordFixture) list(values map[string]string) {
	var objects []protocol.Object
	for name, value := range values {
		objects = append(objects, f.object(name, value))
	}
	f.sink.Listed(protocol.Listing{Objects: objects}, f.now)
}

func (f *recordFixture) change(name, value string) {
	f.sink.Changed(protocol.Change{Object: f.object(name, value)}, f.now)
}

// used returns the IDs of the endpoints in use.
func (f *recordFixture) used() []string {
	var ids []string
	for _, e := range f.front.endpoints.Endpoints() {
		ids = append(ids, e.ID)
	}
	return ids
}

// eventCount returns how many log lines an event has.
func (f *recordFixture) eventCount(name string) int {
	return strings.Count(f.logs.String(), `"msg":"`+name+`"`)
}

// TestUnusableRecordDiscardsEndpoint replaces records by unusable ones, one by one and in a list,
// also while the platform does not answer.
func TestUnusableRecordDiscardsEndpoint(t *testing.T) {
	f := newRecordFixture(t)
	f.list(map[string]string{"e1": "plain", "e2": "plain", "e3": "plain"})
	f.change("e1", "!state")
	require.Equal(t, []string{"e2", "e3"}, f.used())
	f.change("e1", "plain")
	require.Equal(t, []string{"e1", "e2", "e3"}, f.used(), "a running endpoint writes its record again")
	f.sink.Failed(errors.New("down"), f.now)
	f.list(map[string]string{"e1": "plain", "e2": "!address"})
	require.Equal(t, []string{"e1", "e3"}, f.used(), "e3 may be missing only because of the outage; e2 has an unusable record")
	f.change("e3", "!too_long")
	require.Equal(t, []string{"e1"}, f.used())
	f.list(map[string]string{"e1": "plain", "e2": "plain", "e3": "!unreadable", "e4": "plain"})
	require.Equal(t, []string{"e1", "e2", "e4"}, f.used())
	require.Equal(t, 4, f.eventCount("record unusable"), "%s", &f.logs)
	require.Equal(t, 2, f.eventCount("record usable"))
	require.EqualValues(t, 1, f.front.Counters.Value("records_unusable.state"))
	require.EqualValues(t, 1, f.front.Counters.Value("records_unusable.unreadable"))
}

// TestManyUnusableRecordsAreLoggedOnceEach writes 60,000 unusable records under a hundred names,
// which is a thousand a second for a minute, and then more under ever new names.
func TestManyUnusableRecordsAreLoggedOnceEach(t *testing.T) {
	f := newRecordFixture(t)
	f.list(map[string]string{"valid": "plain"})
	before := f.front.endpoints.Revision()
	for i := range 60_000 {
		f.change(fmt.Sprint("bad-", i%100), "!layers")
	}
	require.Equal(t, 100, f.eventCount("record unusable"))
	require.EqualValues(t, 100, f.front.Counters.Value("records_unusable.layers"))
	require.Equal(t, before, f.front.endpoints.Revision(), "unusable records must not change the registry")
	require.Len(t, f.front.records.decodeFaults, 100)
	for i := range 2 * maxRecordFaults {
		f.change(fmt.Sprint("new-", i), "!layers")
	}
	require.Len(t, f.front.records.decodeFaults, maxRecordFaults)
	require.Equal(t, maxRecordFaults, f.eventCount("record unusable"))
	require.EqualValues(t, 100+2*maxRecordFaults, f.front.Counters.Value("records_unusable.layers"))
	require.Equal(t, []string{"valid"}, f.used())
	f.list(map[string]string{"valid": "plain"})
	require.Empty(t, f.front.records.decodeFaults, "the faults of records that the list lacks are removed")
}

// TestRecordWithUnknownServiceIsLoggedOnce has a record arrive before the table that names its
// service, and then removes the service and adds it again.
func TestRecordWithUnknownServiceIsLoggedOnce(t *testing.T) {
	f := newRecordFixture(t)
	f.list(map[string]string{"e1": "plain", "e2": "other"})
	check := func() { f.front.records.checkAgainstTable(&f.front.endpoints) }
	check()
	require.Equal(t, []string{"e1", "e2"}, f.used(), "no table in force names the services yet")
	f.front.endpoints.SetServices([]protocol.RoutedService{{Name: "plain"}})
	check()
	check()
	require.Equal(t, []string{"e1"}, f.used())
	f.list(map[string]string{"e1": "plain", "e2": "other"})
	check()
	require.Equal(t, 1, f.eventCount("record unusable"))
	require.Equal(t, 2, f.eventCount("endpoint joined"), "it must not join again")
	require.EqualValues(t, 1, f.front.Counters.Value("records_unusable.service_unknown"))
	f.front.endpoints.SetServices([]protocol.RoutedService{{Name: "plain"}, {Name: "other"}})
	check()
	require.Equal(t, []string{"e1", "e2"}, f.used())
	require.Equal(t, 1, f.eventCount("record usable"))
}

// tableDecoder decodes an object to the table of its version, and fails for broken ones.
type tableDecoder struct{ valueDecoder }

func (tableDecoder) Routing(o protocol.Object) (protocol.Routing, error) {
	if string(o.Value) == "broken" {
		return protocol.Routing{}, errors.New("broken")
	}
	return protocol.Routing{Version: o.Version.Number, Services: []protocol.RoutedService{{Name: string(o.Value)}}}, nil
}

// TestUnreadableTableKeepsPrevious writes a broken table, and then a valid one.
func TestUnreadableTableKeepsPrevious(t *testing.T) {
	f := newRecordFixture(t)
	f.front.Dependencies.Decoder = tableDecoder{}
	sink := &routingSink{front: f.front}
	sink.Listed(protocol.Listing{Objects: []protocol.Object{f.object("main", "plain")}}, f.now)
	f.list(map[string]string{"e1": "plain"})
	inForce := func() *routing.Table { return f.front.routing.Current() }
	first := inForce()
	sink.Changed(protocol.Change{Object: f.object("main", "broken")}, f.now)
	require.Same(t, first, inForce())
	require.Equal(t, []string{"e1"}, f.used())
	sink.Changed(protocol.Change{Object: f.object("main", "plain")}, f.now)
	require.NotSame(t, first, inForce())
}
