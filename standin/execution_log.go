// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"pinerun.example/pinerun/protocol"
)

// Execution is one entry of an ExecutionLog: an engine ran the layers [From,To) for
// Count positions. Order increases across all engines that share the log.
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

// ExecutionLog records what every engine ran, so that a test can verify that each
// layer ran exactly once and in order. The zero value is an empty log.
type ExecutionLog struct {
	mutex   sync.Mutex
	order   uint64
	entries []Execution
}

func (l *ExecutionLog) add(runner string, s *protocol.Step) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.order++
	l.entries = append(l.entries, Execution{
		Runner: runner, Request: s.Request, Attempt: s.Attempt,
		Position: s.Position, Count: s.Count,
		From: s.Span.From, To: s.Span.To, Order: l.order,
	})
}

// Entries returns a copy of all recorded executions.
func (l *ExecutionLog) Entries() []Execution {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.entries)
}

type attemptKey struct {
	request protocol.RequestID
	attempt uint32
}

// Violations returns a line for each attempt in which layers ran twice, out of order
// or with a gap. An attempt that was aborted midway is not a violation.
func Violations(executions []Execution) []string {
	byAttempt := map[attemptKey][]Execution{}
	for _, r := range executions {
		k := attemptKey{request: r.Request, attempt: r.Attempt}
		byAttempt[k] = append(byAttempt[k], r)
	}
	var found []string
	for k, attempt := range byAttempt {
		if line := findViolation(attempt); line != "" {
			found = append(found, fmt.Sprintf("%s attempt %d: %s", k.request, k.attempt, line))
		}
	}
	slices.Sort(found)
	return found
}

// findViolation checks the executions of one attempt in order and describes the first
// violation, or returns "". Each position of an execution must have completed exactly the
// layers before From. The preceding position must have completed all layers before To,
// because the execution reads its cache.
func findViolation(executions []Execution) string {
	slices.SortFunc(executions, func(a, b Execution) int { return cmp.Compare(a.Order, b.Order) })
	var completed []int // by position: the number of layers completed
	for i, r := range executions {
		for r.Position+r.Count > len(completed) {
			completed = append(completed, 0)
		}
		for p := r.Position; p < r.Position+r.Count; p++ {
			if completed[p] != r.From {
				return fmt.Sprintf("execution %d: layers [%d,%d) of position %d, which has completed %d layers", i, r.From, r.To, p, completed[p])
			}
			completed[p] = r.To
		}
		if r.Position > 0 && completed[r.Position-1] < r.To {
			return fmt.Sprintf("execution %d: position %d ran before the preceding position", i, r.Position)
		}
	}
	return ""
}
