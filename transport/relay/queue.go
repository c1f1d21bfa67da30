// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"time"

	"pinerun.example/pinerun/internal/part"
)

// dated is a report that is passed on: a loss.Report, slow.Report or *quarantine.Report, one kind
// in each queue.
type dated interface{ At() time.Time }

// queue holds the reports of this entry and of its peers that are passed on along the relay tree,
// also to entries that begin to follow later. Its owner's mutex guards it. The zero value is empty.
type queue struct {
	items   []queued // in order of number
	numbers uint64
	changed part.Signal // told when there is something to pass on
}

// queued is a report and the peer that told it, "" for this entry.
type queued struct {
	number uint64
	report dated
	via    string
}

// add keeps a report to be told. Those that were met before oldest are dropped, and the oldest ones
// if there are more than most, 0 for any number.
func (q *queue) add(r dated, via string, oldest time.Time, most int) {
	old := 0
	if most > 0 {
		old = max(0, len(q.items)-most+1)
	}
	for old < len(q.items) && !q.items[old].report.At().After(oldest) {
		old++
	}
	q.items = q.items[old:]
	q.numbers++
	q.items = append(q.items, queued{number: q.numbers, report: r, via: via})
	q.changed.Tell()
}

// since returns the reports after a number that a peer must be told, without those met before
// oldest, and the number of the last one.
func (q *queue) since(number uint64, peer string, oldest time.Time) ([]dated, uint64) {
	var all []dated
	for _, i := range q.items {
		if i.number > number && i.via != peer && i.report.At().After(oldest) {
			all = append(all, i.report)
		}
	}
	return all, q.numbers
}
