// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"sync"
	"time"
)

// asked is when endpoints were last asked something, by ID, so that none is asked too
// often. The zero value has asked nobody.
type asked struct {
	mutex sync.Mutex
	at    map[string]time.Time
}

// may reports whether an endpoint was not asked for that long, and notes that it is now.
func (a *asked) may(endpoint string, every time.Duration, now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.at == nil {
		a.at = make(map[string]time.Time)
	}
	if now.Before(a.at[endpoint].Add(every)) {
		return false
	}
	a.at[endpoint] = now
	return true
}
