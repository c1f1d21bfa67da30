// SPDX-License-Identifier: Apache-2.0

package load

import (
	"encoding/json"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles holds the percentiles of a latency in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
}

// Report is the result of a load run. Each request is counted exactly once
// among Answered, Late, Missing, NotRun and MayHaveRun.
type Report struct {
	Answered        int         `json:"answered"`
	Late            int         `json:"late"`    // answered after the deadline
	Missing         int         `json:"missing"` // without a final answer
	NotRun          int         `json:"not_run"`
	MayHaveRun      int         `json:"may_have_run"`
	Wrong           int         `json:"wrong"` // answers that differ from the expected tokens
	TokensPerSecond float64     `json:"tokens_per_second"`
	Bound           float64     `json:"bound_tokens_per_second"`
	BoundRatio      float64     `json:"bound_ratio"` // throughput divided by the bound
	FleetBound      float64     `json:"fleet_bound_tokens_per_second"`
	FirstTokenMS    Percentiles `json:"first_token_ms"`
	BetweenTokensMS Percentiles `json:"between_tokens_ms"`
	RecoveryMS      Percentiles `json:"recovery_ms"`
	Recoveries      int64       `json:"recoveries"`
	GoodputByTenth  []float64   `json:"goodput_by_tenth"` // positions per second in each tenth of the run
	LayerViolations int         `json:"layer_violations"`
	Doubled         int         `json:"doubled"` // non-repeatable calls that ran more than once
}

// Passed reports whether the run observed no violation of a guarantee: no missing or wrong
// answer, no layer violation and no call that ran more than once.
func (r *Report) Passed() bool {
	return r.Missing == 0 && r.Wrong == 0 && r.LayerViolations == 0 && r.Doubled == 0
}

// Write writes the report as one line of JSON.
func (r *Report) Write(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// maxLatencyMicros is the largest latency that a histogram records, in microseconds.
const maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)

// newHistogram returns a histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, 3) }

// recordLatency records a latency, limited to the range of the histogram.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxLatencyMicros))
}

// PercentilesOf returns the percentiles of a histogram of microseconds.
func PercentilesOf(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: float64(h.ValueAtQuantile(50)) / 1000,
		P95: float64(h.ValueAtQuantile(95)) / 1000,
	}
}
