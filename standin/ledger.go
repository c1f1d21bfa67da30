// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"pinerun.example/pinerun/protocol"
)

// Execution is one entry of a ledger: an engine ran Span over Count positions.
// Order rises over all engines that share the ledger.
type Execution struct {
	Runner   string             `json:"runner"`
	Request  protocol.RequestID `json:"request"`
	Attempt  uint32             `json:"attempt"`
	Position int                `json:"position"`
	Count    int                `json:"count"`
	From     int                `json:"from"`
	To       int                `json:"to"`
	Order    uint64             `json:"order"`
}

// ExecutionLog records what every engine ran, so that a test can prove that each
// layer ran exactly once and in order. The zero value is empty.
type ExecutionLog struct {
	mutex sync.Mutex
	order uint64
	runs  []Execution
}

func (l *ExecutionLog) add(runner string, s *protocol.Step) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.order++
	l.runs = append(l.runs, Execution{
		Runner: runner, Request: s.Request, Attempt: s.Attempt,
		Position: s.Position, Count: s.Count,
		From: s.Span.From, To: s.Span.To, Order: l.order,
	})
}

// Entries returns a copy of everything recorded.
func (l *ExecutionLog) Entries() []Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.runs)
}

type attemptKey struct {
	request protocol.RequestID
	attempt uint32
}

// Violations returns a line for each place where layers ran twice, out of order
// or with a gap. Work that broke off half-way is no violation.
func Violations(runs []Execution) []string {
	byAttempt := map[attemptKey][]Execution{}
	for _, r := range runs {
		k := attemptKey{request: r.Request, attempt: r.Attempt}
		byAttempt[k] = append(byAttempt[k], r)
	}
	var found []string
	for k, rs := range byAttempt {
		if line := violation(rs); line != "" {
			found = append(found, fmt.Sprintf("%s attempt %d: %s", k.request, k.attempt, line))
		}
	}
	slices.Sort(found)
	return found
}

// violation walks one attempt's runs in order of execution. A run must find
// each of its positions just behind its first layer, and the position before
// them must have passed its last layer, since the cache there is read.
func violation(rs []Execution) string {
	slices.SortFunc(rs, func(a, b Execution) int { return cmp.Compare(a.Order, b.Order) })
	var reached []int // the layers that each position has passed
	for i, r := range rs {
		for r.Position+r.Count > len(reached) {
			reached = append(reached, 0)
		}
		for p := r.Position; p < r.Position+r.Count; p++ {
			if reached[p] != r.From {
				return fmt.Sprintf("run %d: layers [%d,%d) of position %d, which has passed %d layers", i, r.From, r.To, p, reached[p])
			}
			reached[p] = r.To
		}
		if r.Position > 0 && reached[r.Position-1] < r.To {
			return fmt.Sprintf("run %d: position %d ahead of the one before it", i, r.Position)
		}
	}
	return ""
}
