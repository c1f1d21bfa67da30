// SPDX-License-Identifier: Apache-2.0

// Package retry decides whether a failed request is tried again.
//
// A Budget ties the number of retries to the number of recent first attempts, so that
// retries can't multiply an overload:
//
//	var b retry.Budget
//	b.RecordFirst()
//	switch d := b.Decide(retry.Query{Now: now, Deadline: deadline, Attempts: 1, Rand: draw}).(type) {
//	case retry.Wait: // try again at d.Until()
//	case retry.Stop: // d.Kind() says why
//	}
package retry

import (
	"math/rand/v2"
	"time"

	"pinerun.example/pinerun/protocol"
)

const (
	// retryRatio is how many retries each first attempt adds to the credit.
	retryRatio = 0.2
	// maxCredit bounds the credit, so that a long time without failures does not allow a
	// large burst of retries.
	maxCredit = 100
	// initialCredit is the credit of a new budget.
	initialCredit = 20
	// MaxAttempts is the largest number of attempts of one request.
	MaxAttempts = 8
	// minBackoff and maxBackoff bound the exponential backoff.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// Budget counts the retries against the credit that first attempts have added. The zero
// value is a new budget. It is not safe for concurrent use. See WindowBudget for a bound
// that the platform sets.
type Budget struct {
	spent float64
}

// RecordFirst records a first attempt.
func (b *Budget) RecordFirst() { b.spent = max(initialCredit-maxCredit, b.spent-retryRatio) }

// Spend uses one retry of the budget and reports whether there was one.
func (b *Budget) Spend() bool {
	if initialCredit-b.spent < 1 {
		return false
	}
	b.spent++
	return true
}

// Query holds what the decision depends on. Attempts counts those already made. Resuming
// says that the request is a stream that has already delivered tokens. Giving it up would
// waste that work, so only its deadline and MaxAttempts bound it.
type Query struct {
	Now      time.Time
	Deadline time.Time
	Attempts int
	Resuming bool
	Rand     *rand.Rand
}

// Decision is a Wait or a Stop.
type Decision interface{ decision() }

// Wait says when to try again.
type Wait struct{ until time.Time }

// Until returns the time of the next attempt.
func (w Wait) Until() time.Time { return w.until }

// Stop says that no further attempt is allowed.
type Stop struct{ kind protocol.Kind }

// Kind returns the reason as callers see it.
func (s Stop) Kind() protocol.Kind { return s.kind }

func (Wait) decision() {}
func (Stop) decision() {}

// Decide decides on one further attempt and spends it.
func (b *Budget) Decide(q Query) Decision {
	if q.Attempts >= MaxAttempts {
		return Stop{kind: protocol.RetriesSpent}
	}
	until := q.Now.Add(backoff(q))
	if !until.Before(q.Deadline) {
		return Stop{kind: protocol.DeadlinePassed}
	}
	if q.Resuming {
		return Wait{until: until}
	}
	if !b.Spend() {
		return Stop{kind: protocol.RetriesSpent}
	}
	return Wait{until: until}
}

// backoff returns the time before the next attempt: zero for the first retry, which goes to
// another runner, and then a time that doubles with each attempt, with jitter.
func backoff(q Query) time.Duration {
	if q.Attempts <= 1 {
		return 0
	}
	ceiling := min(maxBackoff, minBackoff<<min(q.Attempts, 10))
	return ceiling/2 + time.Duration(q.Rand.Int64N(int64(ceiling/2)+1))
}
