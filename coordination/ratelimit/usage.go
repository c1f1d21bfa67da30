// SPDX-License-Identifier: Apache-2.0

package ratelimit

import (
	"math"
	"time"
)

const (
	// usageWindow is the time over which the use of a share is averaged.
	usageWindow = 1500 * time.Millisecond
	// usageReserve is how much more of a share an entry keeps than it used lately.
	usageReserve = 2
	// leastUsage is the use in requests a second below which none is assumed.
	leastUsage = 0.05
)

// usage averages how many requests a second an entry sends, with the latest counting most. The zero value is none.
type usage struct {
	count float64
	at    time.Time
}

// add counts a request.
func (u *usage) add(now time.Time) { u.count, u.at = u.decayed(now)+1, now }

// decayed returns the count as of a time.
func (u *usage) decayed(now time.Time) float64 {
	if u.count == 0 || !now.After(u.at) {
		return u.count
	}
	return u.count * math.Exp(-now.Sub(u.at).Seconds()/usageWindow.Seconds())
}

// needed returns how many requests a second the entry keeps for itself.
func (u *usage) needed(now time.Time) float64 {
	rate := u.decayed(now) / usageWindow.Seconds()
	if rate < leastUsage {
		return 0
	}
	return usageReserve * rate
}
