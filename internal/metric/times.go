// SPDX-License-Identifier: Apache-2.0

package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of what Times records.
const (
	longestMicroseconds = int64(10 * time.Minute / time.Microsecond)
	timesAccuracy       = 2
)

// Histogram records how long something took. The zero value has recorded nothing.
type Histogram struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Record adds one duration; it is kept to the microsecond.
func (t *Histogram) Record(d time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.histogram == nil {
		t.histogram = hdrhistogram.New(1, longestMicroseconds, timesAccuracy)
	}
	_ = t.histogram.RecordValue(min(max(1, d.Microseconds()), longestMicroseconds))
}

// AddTo merges what was recorded into a histogram of microseconds.
func (t *Histogram) AddTo(h *hdrhistogram.Histogram) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.histogram != nil {
		h.Merge(t.histogram)
	}
}

// Latency names what a Set records the time of.
type Latency string

// FirstEvent and WholeAnswer are counted from when a request came in; Pause is the
// longest between two events of a stream; Detection is how long a stream was silent
// when it was asked for elsewhere; StoreCall and EngineCall are calls to the platform
// (watches left out, which wait) and to engines; PathChange is the pause of a stream whose
// path changed.
const (
	FirstEvent  Latency = "first_event"
	WholeAnswer Latency = "whole_answer"
	Pause       Latency = "pause"
	Detection   Latency = "detection"
	StoreCall   Latency = "store_call"
	EngineCall  Latency = "engine_call"
	QueueWait   Latency = "held"
	PathChange  Latency = "path_change"
)

// Latencies returns everything that a Set records the time of.
func Latencies() []Latency {
	return []Latency{FirstEvent, WholeAnswer, Pause, Detection, StoreCall, EngineCall, QueueWait, PathChange}
}

// Summary is a snapshot in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
}

// Summary returns the percentiles so far.
func (t *Histogram) Summary() Summary {
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
