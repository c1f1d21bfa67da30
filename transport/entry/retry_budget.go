// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"strconv"
	"sync"

	"pinerun.example/pinerun/coordination/retry"
)

// retryBudget is the entry's retry budget, safe for concurrent use.
type retryBudget struct {
	mutex  sync.Mutex
	budget retry.Budget
}

// recordFirst counts the first attempt of a request.
func (r *retryBudget) recordFirst() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget.RecordFirst()
}

// decide reports whether a request may be retried, and when.
func (r *retryBudget) decide(q retry.Query) retry.Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget.Decide(q)
}

func itoa(n int) string { return strconv.Itoa(n) }
