// SPDX-License-Identifier: Apache-2.0

// Package retry decides whether a request may be tried again.
//
// A Budget ties the number of further tries to the number of recent first
// tries, so that retries can't multiply an overload:
//
//	var b retry.Budget
//	b.First()
//	switch d := b.Again(retry.Query{Now: now, Deadline: deadline, Tries: 1, Draw: draw}).(type) {
//	case retry.Wait: // until d.Till()
//	case retry.Stop: // d.Kind() says why
//	}
package retry

import (
	"math/rand/v2"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// share is how many further tries each first try pays for.
	share = 0.2
	// most is the largest credit, so that a quiet hour can't pay for a storm.
	most = 100
	// initial is the credit of a new budget.
	initial = 20
	// MaxAttempts is the largest number of tries of one request.
	MaxAttempts = 8
	backoffBase = 2 * time.Millisecond
	backoffMost = 200 * time.Millisecond
)

// Budget counts what first tries have paid for. The zero value is a fresh one. It is not
// safe for use by several goroutines at once. See Window for the bound of a platform.
type Budget struct {
	spent float64
}

// RecordFirst notes a first try.
func (b *Budget) RecordFirst() { b.spent = max(initial-most, b.spent-share) }

// Spend takes one further try from the budget, and reports whether there was one.
func (b *Budget) Spend() bool {
	if initial-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}

// Query is what the decision depends on. Tries counts those already made.
// Resuming is a stream with tokens already given: to drop it would waste what
// was done, so it is only bounded by its deadline and MaxTries.
type Query struct {
	Now      time.Time
	Deadline time.Time
	Attempts int
	Resuming bool
	Rand     *rand.Rand
}

// Decision is either Wait or Stop.
type Decision interface{ decision() }

// Wait says from when to try again.
type Wait struct{ till time.Time }

// Until returns the time of the next try.
func (w Wait) Until() time.Time { return w.till }

// Stop says that no further try is allowed.
type Stop struct{ kind protocol.Kind }

// Kind returns the reason as callers see it.
func (s Stop) Kind() protocol.Kind { return s.kind }

func (Wait) decision() {}
func (Stop) decision() {}

// Decide decides on one further try and takes it from the budget.
func (b *Budget) Decide(q Query) Decision {
	if q.Attempts >= MaxAttempts {
		return Stop{kind: protocol.RetriesSpent}
	}
	till := q.Now.Add(backoff(q))
	if !till.Before(q.Deadline) {
		return Stop{kind: protocol.DeadlinePassed}
	}
	if q.Resuming {
		return Wait{till: till}
	}
	if !b.Spend() {
		return Stop{kind: protocol.RetriesSpent}
	}
	return Wait{till: till}
}

// backoff returns nothing for the first retry, which goes to another runner,
// and a jittered, doubling time after that.
func backoff(q Query) time.Duration {
	if q.Attempts <= 1 {
		return 0
	}
	ceiling := min(backoffMost, backoffBase<<min(q.Attempts, 10))
	return ceiling/2 + time.Duration(q.Rand.Int64N(int64(ceiling/2)+1))
}
