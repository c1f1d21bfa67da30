// SPDX-License-Identifier: Apache-2.0

package load

import (
	"encoding/json"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
}

// Report is the result of a load run. Each request is counted exactly once
// among Answered, Late, Missing, NotRun and MayHaveRun.
type Report struct {
	Answered        int         `json:"answered"`
	Late            int         `json:"late"`
	Missing         int         `json:"missing"`
	NotRun          int         `json:"not_run"`
	MayHaveRun      int         `json:"may_have_run"`
	Wrong           int         `json:"wrong"`
	TokensPerSecond float64     `json:"tokens_per_second"`
	Bound           float64     `json:"bound_tokens_per_second"`
	BoundRatio      float64     `json:"bound_ratio"`
	FleetBound      float64     `json:"fleet_bound_tokens_per_second"`
	FirstTokenMS    Percentiles `json:"first_token_ms"`
	BetweenTokensMS Percentiles `json:"between_tokens_ms"`
	RecoveryMS      Percentiles `json:"recovery_ms"`
	Recoveries      int64       `json:"recoveries"`
	GoodputByTenth  []float64   `json:"goodput_by_tenth"` // of the run, in positions a second
	LayerViolations int         `json:"layer_violations"`
	Doubled         int         `json:"doubled"`
}

// Passed reports whether every promise that the run can see was kept.
func (r *Report) Passed() bool {
	return r.Missing == 0 && r.Wrong == 0 && r.LayerViolations == 0 && r.Doubled == 0
}

// Write writes the report as one line of JSON.
func (r *Report) Write(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// highestValue bounds what a histogram records, in microseconds.
const highestValue = int64(10 * time.Minute / time.Microsecond)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestValue, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(1, d.Microseconds()), highestValue))
}

// PercentilesOf returns a histogram's percentiles; its values are microseconds.
func PercentilesOf(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: float64(h.ValueAtQuantile(50)) / 1000,
		P95: float64(h.ValueAtQuantile(95)) / 1000,
	}
}
