// SPDX-License-Identifier: Apache-2.0

package metric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of a Histogram.
const (
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Histogram records durations. The zero value is empty and ready to use.
type Histogram struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Record adds a duration, with microsecond resolution.
func (h *Histogram) Record(d time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.histogram == nil {
		h.histogram = hdrhistogram.New(1, maxMicroseconds, significantDigits)
	}
	_ = h.histogram.RecordValue(min(max(1, d.Microseconds()), maxMicroseconds))
}

// AddTo merges the recorded durations into a histogram of microseconds.
func (h *Histogram) AddTo(into *hdrhistogram.Histogram) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.histogram != nil {
		into.Merge(h.histogram)
	}
}

// Latency is the name of a latency that a Set records.
type Latency string

// FirstEvent and WholeAnswer are measured from the arrival of a request. Pause is the
// longest time between two events of a stream. Detection is how long a stream was silent
// when it was requested from another endpoint. StoreCall and EngineCall are calls to the
// platform (except watches, which block) and to engines. QueueWait is the time in the wait
// queue. PathChange is the pause of a stream whose path changed. LoopLate is how late a loop that
// wakes ten times a second woke. ConfigAge is the most that a routing table can have been accepted
// before it was in force: the time since the platform last confirmed the one before.
const (
	FirstEvent  Latency = "first_event"
	WholeAnswer Latency = "whole_answer"
	Pause       Latency = "pause"
	Detection   Latency = "detection"
	StoreCall   Latency = "store_call"
	EngineCall  Latency = "engine_call"
	QueueWait   Latency = "held"
	PathChange  Latency = "path_change"
	LoopLate    Latency = "loop_late"
	ConfigAge   Latency = "config_age"
)

// Latencies returns all latencies that a Set records.
func Latencies() []Latency {
	return []Latency{FirstEvent, WholeAnswer, Pause, Detection, StoreCall, EngineCall, QueueWait, PathChange, LoopLate, ConfigAge}
}

// Summary holds the count and percentiles of a histogram, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
}

// Summary returns the current summary.
func (h *Histogram) Summary() Summary {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.histogram == nil {
		return Summary{}
	}
	return Summary{
		Count: h.histogram.TotalCount(),
		P50:   float64(h.histogram.ValueAtQuantile(50)) / 1000,
		P95:   float64(h.histogram.ValueAtQuantile(95)) / 1000,
	}
}
