// SPDX-License-Identifier: Apache-2.0

package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of what Times records.
const (
	longestMS     = int64(10 * time.Minute / time.Microsecond)
	timesAccuracy = 2
)

// Times records how long something took. The zero value has recorded nothing.
type Times struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Record adds one duration; it is kept to the microsecond.
func (t *Times) Record(d time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(1, longestMS, timesAccuracy)
	}
	_ = t.histogram.RecordValue(min(max(1, d.Microseconds()), longestMS))
}

// AddTo merges what was recorded into a histogram of microseconds.
func (t *Times) AddTo(h *hdrhistogram.Histogram) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.histogram != nil {
		h.Merge(t.histogram)
	}
}

// Summary is a snapshot in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
}

// Summary returns the percentiles so far.
func (t *Times) Summary() Summary {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.histogram == nil {
		return Summary{}
	}
	return Summary{
		Count: t.histogram.TotalCount(),
		P50:   float64(t.histogram.ValueAtQuantile(50)) / 1000,
		P95:   float64(t.histogram.ValueAtQuantile(95)) / 1000,
	}
}
