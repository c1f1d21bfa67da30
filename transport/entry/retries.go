// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"strconv"
	"sync"

	"pinerun.example/pinerun/coordination/retry"
)

// retries guards the entry's retry budget.
type retries struct {
	mutex  sync.Mutex
	budget retry.Budget
}

func (r *retries) first() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.budget.RecordFirst()
}

func (r *retries) again(q retry.Query) retry.Decision {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.budget.Decide(q)
}

func itoa(n int) string { return strconv.Itoa(n) }
