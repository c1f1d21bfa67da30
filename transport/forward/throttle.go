// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

// queryThrottle is when endpoints were last queryThrottle something, by ID, so that none is queryThrottle too
// often. The zero value has queryThrottle nobody.
type queryThrottle struct {
	mutex sync.Mutex
	last  map[string]time.Time
}

// allow reports whether an endpoint was not asked for that long, and notes that it is now.
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
