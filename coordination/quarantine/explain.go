// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"pinerun.example/pinerun/protocol"
)

// explain makes the crashes of a suspect that is refused now count no longer against what else was there.
func (t *Tracker) explain(w *suspect) {
	for id := range w.failures {
		t.explainAt(id)
	}
}

// explainAt makes a crash count no longer against what was there beside a refused suspect that explains it.
func (t *Tracker) explainAt(id crashID) {
	accused := t.crashes[id]
	for refused := range accused {
		cause := t.suspects[refused]
		if !cause.reported || !cause.failures[id].explainedBy.IsZero() {
			continue
		}
		for other := range accused {
			w := t.suspects[other]
			fail := w.failures[id]
			if other != refused && !w.reported && fail.explainedBy.IsZero() && accused.explains(refused, other, cause.part) {
				fail.explainedBy = refused
				w.failures[id] = fail
			}
		}
	}
}

// unexplain makes the crashes that a suspect explained count again, because it is refused no longer.
func (t *Tracker) unexplain(f protocol.Fingerprint, w *suspect) {
	for id := range w.failures {
		for other := range t.crashes[id] {
			beside := t.suspects[other]
			if fail := beside.failures[id]; fail.explainedBy == f {
				fail.explainedBy = protocol.Fingerprint{}
				beside.failures[id] = fail
			}
		}
	}
}
