// SPDX-License-Identifier: Apache-2.0

package front

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/transport/forward"
)

// versionDecoder decodes the length of an object's value as the version of its table.
type versionDecoder struct{ fixedDecoder }

func (versionDecoder) Routing(o protocol.Object) (protocol.Routing, error) {
	return protocol.Routing{Version: uint64(len(o.Value))}, nil
}

// newRoutingSink returns a sink that has put a version in force, and the time of its confirmation.
func newRoutingSink(version int) (*routingSink, time.Time) {
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{RoutingName: "main", Decoder: versionDecoder{}}}
	s := &routingSink{front: f}
	confirmedAt := time.Unix(1000, 0)
	s.Listed(tableAt(protocol.Revision{Era: 1, Number: 50}, version), confirmedAt)
	s.Confirmed(confirmedAt)
	return s, confirmedAt
}

// tableAt returns a list at a revision with a table of a version.
func tableAt(at protocol.Revision, version int) protocol.Listing {
	return protocol.Listing{Revision: at, Objects: []protocol.Object{{Name: "main", Version: at, Value: make([]byte, version)}}}
}

// TestOlderTableOfRestoredStoreConfirmsNoKeys has the store come back without the latest table, which may
// not have been the last one that it lost.
func TestOlderTableOfRestoredStoreConfirmsNoKeys(t *testing.T) {
	s, confirmedAt := newRoutingSink(5)
	s.Changed(protocol.Change{Object: tableAt(protocol.Revision{Era: 2, Number: 20}, 4).Objects[0]}, confirmedAt)
	s.Confirmed(confirmedAt.Add(time.Second))
	require.EqualValues(t, 5, s.front.routing.Current().Version(), "nothing goes back")
	require.Equal(t, confirmedAt, s.front.routing.ConfirmedAt())
	s.Changed(protocol.Change{Object: tableAt(protocol.Revision{Era: 2, Number: 21}, 5).Objects[0]}, confirmedAt)
	s.Confirmed(confirmedAt.Add(2 * time.Second))
	require.Equal(t, confirmedAt.Add(2*time.Second), s.front.routing.ConfirmedAt(), "it was written again")
}

// TestRestoredStoreWithoutTableConfirmsNoKeys has the store come back from before its first table.
func TestRestoredStoreWithoutTableConfirmsNoKeys(t *testing.T) {
	s, confirmedAt := newRoutingSink(5)
	s.Listed(protocol.Listing{Revision: protocol.Revision{Era: 2, Number: 20}}, confirmedAt)
	s.Confirmed(confirmedAt.Add(time.Second))
	require.Equal(t, confirmedAt, s.front.routing.ConfirmedAt())
	s.Listed(tableAt(protocol.Revision{Era: 2, Number: 21}, 5), confirmedAt)
	s.Confirmed(confirmedAt.Add(2 * time.Second))
	require.Equal(t, confirmedAt.Add(2*time.Second), s.front.routing.ConfirmedAt())
}

// TestRefusalLostByRestoreIsWrittenAgain has the store come back without a refusal of work that crashes
// endpoints. The work was released, and crashed the next endpoints.
func TestRefusalLostByRestoreIsWrittenAgain(t *testing.T) {
	now := clock.Now()
	refused := protocol.RefusedWork{UntilMS: now.Add(10 * time.Minute).UnixMilli()}
	for i, name := range []string{"a", "b", "c"} {
		refused.Crashes = append(refused.Crashes, protocol.WorkCrash{Endpoint: name, Incarnation: 1, AtMS: now.Add(time.Duration(i-9) * time.Second).UnixMilli()})
	}
	value, err := json.Marshal(refused)
	require.NoError(t, err)
	work := protocol.Fingerprint{1}
	o := protocol.Object{Name: refusedPrefix + work.String(), Version: protocol.Revision{Era: 1, Number: 9}, Value: value}
	gone := o
	gone.Version = protocol.Revision{Era: 2, Number: 4}
	for name, lose := range map[string]func(s *coordinationSink){
		"list":   func(s *coordinationSink) { s.Listed(protocol.Listing{Revision: gone.Version}, now) },
		"change": func(s *coordinationSink) { s.Changed(protocol.Change{Object: gone, Deleted: true}, now) },
	} {
		t.Run(name, func(t *testing.T) {
			f := &Front{Counters: &metric.Set{}}
			f.refusals.front = f
			f.forwarder = forward.Forwarder{Routing: &f.routing, Registry: &f.endpoints, Headers: noHeaders{}, Counters: f.Counters, Quarantine: f.source.Quarantine()}
			f.forwarder.InitRetryBudget(forward.RetryBudget{Share: 0.2, Slack: 100, WindowEnd: func(t time.Time) time.Time { return t.Add(time.Second) }}, 1, now)
			s := &coordinationSink{front: f}
			s.Listed(protocol.Listing{Revision: o.Version, Objects: []protocol.Object{o}}, now)
			require.Contains(t, f.source.Quarantine().StoredRefusals(), work)
			lose(s)
			require.Contains(t, f.source.Quarantine().StoredRefusals(), work, "the work stays refused")
			due := f.refusals.dueWrites(now.Add(time.Hour))
			require.Len(t, due, 1)
			require.Equal(t, value, due[0].value)
		})
	}
}

// TestEndpointMissingAfterRestoreIsAwaited restores a copy without the record of an endpoint, which the
// entry learns from a list or from a peer's changes.
func TestEndpointMissingAfterRestoreIsAwaited(t *testing.T) {
	before := protocol.Object{Name: "e1", Version: protocol.Revision{Era: 1, Number: 9}}
	at := protocol.Revision{Era: 2, Number: 4}
	now := time.Now()
	for name, lose := range map[string]func(s *endpointSink){
		"list": func(s *endpointSink) { s.Listed(protocol.Listing{Revision: at}, now) },
		"change": func(s *endpointSink) {
			s.Changed(protocol.Change{Object: protocol.Object{Name: "e1", Version: at}, Deleted: true}, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{Decoder: fixedDecoder{}}}
			s := &endpointSink{front: f}
			s.Listed(protocol.Listing{Revision: before.Version, Objects: []protocol.Object{before}}, now.Add(-time.Minute))
			lose(s)
			require.Len(t, f.endpoints.Endpoints(), 1)
			require.Len(t, f.endpoints.Sweep(now.Add(2*time.Second)), 1, "it did not come back")
		})
	}
}

// TestRecordLostByRestoreIsNoCrash restores a copy without the records of endpoints at which work has
// broken off. The work was held responsible for three crashes.
func TestRecordLostByRestoreIsNoCrash(t *testing.T) {
	known := protocol.Revision{Era: 1, Number: 9}
	statusAfter := func(gone protocol.Revision) quarantine.Status {
		f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{Decoder: fixedDecoder{}}}
		s := &endpointSink{front: f}
		q := f.source.Quarantine()
		work := protocol.Fingerprint{1}
		now := time.Now().Add(-10 * time.Second)
		for _, name := range []string{"e1", "e2", "e3"} {
			now = now.Add(3 * time.Second)
			o := protocol.Object{Name: name, Version: known}
			s.Changed(protocol.Change{Object: o}, now)
			q.Report(protocol.WorkReport{Work: work, Endpoint: name, Observation: protocol.WorkBroke}, now)
			o.Version = gone
			if !gone.IsZero() {
				s.Changed(protocol.Change{Object: o, Deleted: true}, now.Add(time.Millisecond))
			}
		}
		content := quarantine.NewContent(work, nil)
		return q.Status(&content, now.Add(time.Second))
	}
	kept := statusAfter(protocol.Revision{})
	require.IsType(t, kept, statusAfter(protocol.Revision{Era: 2, Number: 4}))
	require.NotEqual(t, fmt.Sprintf("%T", kept), fmt.Sprintf("%T", statusAfter(protocol.Revision{Era: 1, Number: 20})), "a removed record is a crash")
}
