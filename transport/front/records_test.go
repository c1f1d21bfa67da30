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

// written decodes a record whose value is a service, or a fault behind an exclamation mark.
type written struct{ fixed }

func (written) Endpoint(o protocol.Object) (protocol.Endpoint, error) {
	if fault, bad := strings.CutPrefix(string(o.Value), "!"); bad {
		return protocol.Endpoint{}, protocol.Unusable(protocol.RecordFault(fault), nil)
	}
	return protocol.Endpoint{ID: o.Name, Service: string(o.Value), Address: o.Name, DataCenter: "a"}, nil
}

// recordWorld is an entry that is told of records.
type recordWorld struct {
	t     *testing.T
	front *Front
	sink  *endpointSink
	lines bytes.Buffer
	at    uint64
	now   time.Time
}

func newRecordWorld(t *testing.T) *recordWorld {
	w := &recordWorld{t: t, now: time.Now()}
	logger := slog.New(slog.NewJSONHandler(&w.lines, nil))
	w.front = &Front{Counters: &metric.Set{}, Logger: logger, Dependencies: Dependencies{RoutingName: "main", Decoder: written{}}}
	w.front.records = records{counters: w.front.Counters, logger: logger}
	w.sink = &endpointSink{front: w.front}
	return w
}

func (w *recordWorld) object(name, value string) protocol.Object {
	w.at++
	return protocol.Object{Name: name, Version: w.at, Value: []byte(value)}
}

func (w *recordWorld) list(values map[string]string) {
	var objects []protocol.Object
	for name, value := range values {
		objects = append(objects, w.object(name, value))
	}
	w.sink.Listed(objects, w.now)
}

func (w *recordWorld) change(name, value string) {
	w.sink.Changed(protocol.Change{Object: w.object(name, value)}, w.now)
}

// used returns the endpoints in use.
func (w *recordWorld) used() []string {
	var ids []string
	for _, e := range w.front.roster.Endpoints() {
		ids = append(ids, e.ID)
	}
	return ids
}

// told returns how many lines an event has.
func (w *recordWorld) told(name string) int {
	return strings.Count(w.lines.String(), `"msg":"`+name+`"`)
}

// TestARecordThatCantBeUsedTakesItsEndpointOutOfUse replaces records by others that name
// no endpoint, one by one and in a list, also while the platform does not answer.
func TestARecordThatCantBeUsedTakesItsEndpointOutOfUse(t *testing.T) {
	w := newRecordWorld(t)
	w.list(map[string]string{"e1": "plain", "e2": "plain", "e3": "plain"})
	w.change("e1", "!state")
	require.Equal(t, []string{"e2", "e3"}, w.used())
	w.change("e1", "plain")
	require.Equal(t, []string{"e1", "e2", "e3"}, w.used(), "an endpoint that lives writes again")
	w.sink.Failed(errors.New("down"), w.now)
	w.list(map[string]string{"e1": "plain", "e2": "!address"})
	require.Equal(t, []string{"e1", "e3"}, w.used(), "e3 may lack only because the platform was away; e2 is there")
	w.change("e3", "!too_long")
	require.Equal(t, []string{"e1"}, w.used())
	w.list(map[string]string{"e1": "plain", "e2": "plain", "e3": "!unreadable", "e4": "plain"})
	require.Equal(t, []string{"e1", "e2", "e4"}, w.used())
	require.Equal(t, 4, w.told("record unusable"), "%s", &w.lines)
	require.Equal(t, 2, w.told("record usable"))
	require.EqualValues(t, 1, w.front.Counters.Value("records_unusable.state"))
	require.EqualValues(t, 1, w.front.Counters.Value("records_unusable.unreadable"))
}

// TestManyBadRecordsAreToldOnceEach writes bad records over and over: a thousand a second
// for a minute, of a hundred writers, and then under ever new names.
func TestManyBadRecordsAreToldOnceEach(t *testing.T) {
	w := newRecordWorld(t)
	w.list(map[string]string{"sound": "plain"})
	before := w.front.roster.Revision()
	for i := range 60_000 {
		w.change(fmt.Sprint("bad-", i%100), "!layers")
	}
	require.Equal(t, 100, w.told("record unusable"))
	require.EqualValues(t, 100, w.front.Counters.Value("records_unusable.layers"))
	require.Equal(t, before, w.front.roster.Revision(), "nothing is derived anew for them")
	require.Len(t, w.front.records.faults, 100)
	for i := range 2 * recordsKept {
		w.change(fmt.Sprint("new-", i), "!layers")
	}
	require.Len(t, w.front.records.faults, recordsKept)
	require.Equal(t, recordsKept, w.told("record unusable"))
	require.EqualValues(t, 100+2*recordsKept, w.front.Counters.Value("records_unusable.layers"))
	require.Equal(t, []string{"sound"}, w.used())
	w.list(map[string]string{"sound": "plain"})
	require.Empty(t, w.front.records.faults, "what the list lacks is forgotten")
}

// TestARecordThatDoesNotFitTheTableIsToldOnceAndFitsAgain has a record come before the
// table that names its service, and the service go and come.
func TestARecordThatDoesNotFitTheTableIsToldOnceAndFitsAgain(t *testing.T) {
	w := newRecordWorld(t)
	w.list(map[string]string{"e1": "plain", "e2": "other"})
	look := func() { w.front.records.judge(&w.front.roster) }
	look()
	require.Equal(t, []string{"e1", "e2"}, w.used(), "no table says yet which services there are")
	w.front.roster.SetServices([]protocol.RoutedService{{Name: "plain"}})
	look()
	look()
	require.Equal(t, []string{"e1"}, w.used())
	w.list(map[string]string{"e1": "plain", "e2": "other"})
	look()
	require.Equal(t, 1, w.told("record unusable"))
	require.Equal(t, 2, w.told("endpoint joined"), "it did not join anew")
	require.EqualValues(t, 1, w.front.Counters.Value("records_unusable.service_unknown"))
	w.front.roster.SetServices([]protocol.RoutedService{{Name: "plain"}, {Name: "other"}})
	look()
	require.Equal(t, []string{"e1", "e2"}, w.used())
	require.Equal(t, 1, w.told("record usable"))
}

// tables decodes an object to the table of its version, but the broken ones.
type tables struct{ written }

func (tables) Routing(o protocol.Object) (protocol.Routing, error) {
	if string(o.Value) == "broken" {
		return protocol.Routing{}, errors.New("broken")
	}
	return protocol.Routing{Version: o.Version, Services: []protocol.RoutedService{{Name: string(o.Value)}}}, nil
}

// TestATableThatCantBeReadLeavesTheOneBefore has somebody write a broken table, and then a
// sound one.
func TestATableThatCantBeReadLeavesTheOneBefore(t *testing.T) {
	w := newRecordWorld(t)
	w.front.Dependencies.Decoder = tables{}
	sink := &routingSink{front: w.front}
	sink.Listed([]protocol.Object{w.object("main", "plain")}, w.now)
	w.list(map[string]string{"e1": "plain"})
	inForce := func() *routing.Table { return w.front.routing.Current() }
	first := inForce()
	sink.Changed(protocol.Change{Object: w.object("main", "broken")}, w.now)
	require.Same(t, first, inForce())
	require.Equal(t, []string{"e1"}, w.used())
	sink.Changed(protocol.Change{Object: w.object("main", "plain")}, w.now)
	require.NotSame(t, first, inForce())
}
