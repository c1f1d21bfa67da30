// SPDX-License-Identifier: Apache-2.0

package forward

import "pinerun.example/pinerun/internal/metric"

// Latency is how long answers took, counted from when the request came in: until
// the first event of a stream, and until the end of any answer. The zero value
// has recorded nothing.
type Latency struct {
	First metric.Times
	Whole metric.Times
}
