// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// RefusedCount returns how many pieces of work are refused now.
func (t *Tracker) RefusedCount(now time.Time) int {
	n := 0
	for f, w := range t.suspects {
		if _, refused := t.activeRefusal(f, w, now); refused {
			n++
		}
	}
	return n
}
