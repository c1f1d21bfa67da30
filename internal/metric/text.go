// SPDX-License-Identifier: Apache-2.0

package metric

import (
	"expvar"
	"fmt"
	"io"
	"strings"
)

// prefix is the prefix of all metric names in the text format.
const prefix = "pinerun_"

// quantiles are the percentiles written for each histogram.
var quantiles = []float64{50, 90, 95, 99, 99.9}

// WriteText writes the counters in the Prometheus text format, followed by the latencies. A
// counter "refused.no_path" becomes pinerun_refused{reason="no_path"}.
func (s *Set) WriteText(w io.Writer) error {
	var failed error
	s.counters.Do(func(v expvar.KeyValue) {
		name, reason, labelled := strings.Cut(v.Key, ".")
		if labelled {
			name += `{reason="` + reason + `"}`
		}
		if _, err := fmt.Fprintf(w, "%s%s %s\n", prefix, name, v.Value); err != nil {
			failed = err
		}
	})
	for _, latency := range Latencies() {
		if failed == nil {
			failed = s.histogram(latency).writeText(w, string(latency))
		}
	}
	return failed
}

// writeText writes the percentiles and the count of the histogram, in seconds.
func (h *Histogram) writeText(w io.Writer, name string) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.histogram == nil {
		return nil
	}
	for _, q := range quantiles {
		seconds := float64(h.histogram.ValueAtQuantile(q)) / 1e6
		if _, err := fmt.Fprintf(w, "%s%s_seconds{quantile=\"%g\"} %g\n", prefix, name, q/100, seconds); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s%s_seconds_count %d\n", prefix, name, h.histogram.TotalCount())
	return err
}
