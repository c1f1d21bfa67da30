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
func (t *queryThrottle) allow(endpoint string, interval time.Duration, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.last == nil {
		t.last = make(map[string]time.Time)
	}
	if now.Before(t.last[endpoint].Add(interval)) {
		return false
	}
	t.last[endpoint] = now
	return true
}
