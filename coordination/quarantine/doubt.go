// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// RecordUnresolved notes that it may turn out soon whether a life of an endpoint has ended at which work broke.
func (b *Tracker) RecordUnresolved(endpoint string, life protocol.Incarnation, now time.Time) {
	e := end{endpoint: endpoint, life: life}
	for f := range b.ends[e] {
		s := b.works[f].ends[e]
		s.doubtTill = now.Add(UnresolvedTimeout)
		b.works[f].ends[e] = s
	}
}

// RecordAnswer notes that an endpoint answered a question that was asked at a time. Where it told that it
// is in the same life, what broke there before broke for another reason. Else it may be a next
// life, whose record tells of the end; work need not wait for that.
func (b *Tracker) RecordAnswer(endpoint string, life protocol.Incarnation, same bool, asked time.Time) {
	e := end{endpoint: endpoint, life: life}
	for f := range b.ends[e] {
		w := b.works[f]
		s := w.ends[e]
		switch {
		case s.proven || s.at.After(asked):
		case same:
			delete(w.ends, e)
			b.leave(f, e)
		default:
			s.doubtTill = time.Time{}
			w.ends[e] = s
		}
	}
}

// doubtTill returns until when it may turn out that the work was at a further end, zero if
// nothing is in doubt.
func (w *work) doubtTill(now time.Time) time.Time {
	var till time.Time
	for _, s := range w.ends {
		if !s.proven && now.Before(s.doubtTill) && s.doubtTill.After(till) {
			till = s.doubtTill
		}
	}
	return till
}
