// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// historyGeneration is how many parts each of the two generations of a History holds, at some 60 bytes
// each.
const historyGeneration = 4096

// History remembers which parts of prompts ran well. It holds two generations: when the younger one is
// full, it replaces the older one, so parts that are in use stay. The zero value is empty.
type History struct {
	younger, older map[protocol.Fingerprint]Runs
}

// Runs is how often and when a part ran well.
type Runs struct {
	count int
	last  time.Time
}

// Count returns how often the part is known to have run well.
func (r Runs) Count() int { return r.count }

// Last returns when the part last ran well, zero if it is not known to have.
func (r Runs) Last() time.Time { return r.last }

// Record records that a part ran well.
func (h *History) Record(part protocol.Fingerprint, at time.Time) {
	r := h.Runs(part)
	r.count++
	if at.After(r.last) {
		r.last = at
	}
	if len(h.younger) >= historyGeneration {
		h.older, h.younger = h.younger, nil
	}
	if h.younger == nil {
		h.younger = make(map[protocol.Fingerprint]Runs)
	}
	h.younger[part] = r
}

// Runs returns how often and when a part ran well.
func (h *History) Runs(part protocol.Fingerprint) Runs {
	if r, ok := h.younger[part]; ok {
		return r
	}
	return h.older[part]
}
