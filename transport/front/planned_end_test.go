// SPDX-License-Identifier: Apache-2.0

package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

// leavingDecoder decodes an object with a value as the record of an endpoint that leaves.
type leavingDecoder struct{ fixedDecoder }

func (leavingDecoder) Endpoint(o protocol.Object) (protocol.Endpoint, error) {
	return protocol.Endpoint{ID: o.Name, Service: "plain", Address: o.Name, Leaving: len(o.Value) > 0}, nil
}

// endpointEnds has work break off at three endpoints, whose records go seconds later, and returns its status.
func endpointEnds(leaving bool, byList bool) quarantine.Status {
	f := &Front{Counters: &metric.Set{}, Dependencies: Dependencies{Decoder: leavingDecoder{}}}
	s := &endpointSink{front: f}
	q, work := f.source.Quarantine(), protocol.Fingerprint{1}
	now := time.Now().Add(-10 * time.Second)
	for i, name := range []string{"e1", "e2", "e3"} {
		o := protocol.Object{Name: name, Version: protocol.Revision{Number: uint64(10 * (i + 1))}}
		s.Changed(protocol.Change{Object: o}, now)
		q.Report(protocol.WorkReport{Work: work, Endpoint: name, Observation: protocol.WorkBroke}, now)
		o.Version.Number++
		if leaving {
			o.Value = []byte("draining")
		}
		if byList {
			s.Listed(protocol.Listing{Revision: o.Version, Objects: []protocol.Object{o}}, now.Add(time.Second))
		} else {
			s.Changed(protocol.Change{Object: o}, now.Add(time.Second))
		}
		o.Version.Number++
		now = now.Add(2 * time.Second)
		s.Changed(protocol.Change{Object: o, Deleted: true}, now)
		q.Report(protocol.WorkReport{Work: work, Endpoint: name, Observation: protocol.WorkBroke}, now)
	}
	content := quarantine.NewContent(work, nil)
	return q.Status(&content, now.Add(time.Second))
}

// TestPlannedEndOfEndpointIsNoCrash: connections broke off by a cut, and the endpoints left as they had announced.
func TestPlannedEndOfEndpointIsNoCrash(t *testing.T) {
	for _, byList := range []bool{false, true} {
		require.IsType(t, quarantine.Refused{}, endpointEnds(false, byList), "endpoints that vanish")
		require.IsType(t, quarantine.PreferIsolation{}, endpointEnds(true, byList), "endpoints that leave")
	}
}
