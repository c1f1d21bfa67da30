// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

// queryThrottle limits how often each endpoint is queried, by endpoint ID. The zero value has
// queried none.
type queryThrottle struct {
	mutex sync.Mutex
	last  map[string]time.Time
}

// allow reports whether an endpoint was not queried for the given interval, and if so records a
// query now.
func (a *queryThrottle) allow(endpoint string, every time.Duration, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.last == nil {
		a.last = make(map[string]time.Time)
	}
	if now.Before(a.last[endpoint].Add(every)) {
		return false
	}
	a.last[endpoint] = now
	return true
}
