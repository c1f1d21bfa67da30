// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

func TestRateReportValidation(t *testing.T) {
	good := protocol.RateReport{Endpoint: "e", Incarnation: 7, Observer: "w", Number: 3, Observation: protocol.RateLimitLent, Limit: 4.2, Borrower: "b", Share: 0.5, AgoMS: 4}
	b, err := protocol.RelayArrays.Encode(&protocol.RelayFrame{FailedMS: -1, Rates: []protocol.RateReport{good}})
	require.NoError(t, err)
	f, err := protocol.RelayArrays.DecodeFrame(b)
	require.NoError(t, err)
	require.Equal(t, []protocol.RateReport{good}, f.Rates)
	for name, corrupt := range map[string]func(r *protocol.RateReport){
		"no endpoint":           func(r *protocol.RateReport) { r.Endpoint = "" },
		"no observer":           func(r *protocol.RateReport) { r.Observer = "" },
		"no observation":        func(r *protocol.RateReport) { r.Observation = 0 },
		"unknown observation":   func(r *protocol.RateReport) { r.Observation = protocol.RateLimitLent + 1 },
		"no limit":              func(r *protocol.RateReport) { r.Limit = 0 },
		"NaN limit":             func(r *protocol.RateReport) { r.Limit = math.NaN() },
		"huge limit":            func(r *protocol.RateReport) { r.Limit = 1e300 },
		"negative limit":        func(r *protocol.RateReport) { r.Limit = -1 },
		"loan to nobody":        func(r *protocol.RateReport) { r.Borrower = "" },
		"loan of nothing":       func(r *protocol.RateReport) { r.Share = 0 },
		"loan of more than all": func(r *protocol.RateReport) { r.Share = 1.1 },
		"loan of NaN":           func(r *protocol.RateReport) { r.Share = math.NaN() },
		"named with a loan":     func(r *protocol.RateReport) { r.Observation = protocol.RateLimitNamed },
		"ended with a limit":    func(r *protocol.RateReport) { r.Observation = protocol.RateLimitEnded },
		"in the future":         func(r *protocol.RateReport) { r.AgoMS = -1 },
		"endlessly old":         func(r *protocol.RateReport) { r.AgoMS = math.Inf(1) },
		"negative incarnation":  func(r *protocol.RateReport) { r.Incarnation = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			bad := good
			corrupt(&bad)
			b, err := protocol.RelayArrays.Encode(&protocol.RelayRequest{Rates: []protocol.RateReport{bad}})
			require.NoError(t, err)
			_, err = protocol.RelayArrays.DecodeRequest(b)
			require.Error(t, err)
		})
	}
}
