// SPDX-License-Identifier: Apache-2.0

package metric

import (
	"expvar"
	"fmt"
	"io"
	"strings"
)

// prefix begins the name of every figure in the text form.
const prefix = "pinerun_"

// quantiles are the percentiles that the text form tells of a histogram.
var quantiles = []float64{50, 90, 95, 99, 99.9}

// WriteText writes the counters as lines that common scrapers read, and the latencies
// after them. A counter "refused.no_path" becomes pinerun_refused{reason="no_path"}.
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
	for _, what := range Latencies() {
		if failed == nil {
			failed = s.timesOf(what).writeText(w, string(what))
		}
	}
	return failed
}

// writeText writes the percentiles of what was recorded, in seconds.
func (t *Histogram) writeText(w io.Writer, name string) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.histogram == nil {
		return nil
	}
	for _, q := range quantiles {
		seconds := float64(t.histogram.ValueAtQuantile(q)) / 1e6
		if _, err := fmt.Fprintf(w, "%s%s_seconds{quantile=\"%g\"} %g\n", prefix, name, q/100, seconds); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s%s_seconds_count %d\n", prefix, name, t.histogram.TotalCount())
	return err
}
