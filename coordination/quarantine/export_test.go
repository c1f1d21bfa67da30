// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// Refusals returns how much work is refused now.
func (b *Tracker) Refusals(now time.Time) int {
	n := 0
	for f, w := range b.works {
		if _, refused := b.refused(f, w, now); refused {
			n++
		}
	}
	return n
}
