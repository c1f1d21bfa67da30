// SPDX-License-Identifier: Apache-2.0

package quarantine

import "time"

// Status is what work may do: Free, Apart, Alone, Waiting or Refused.
type Status interface{ standing() }

// Unrestricted says that nothing is known against the work.
type Unrestricted struct{}

// PreferIsolation says that the work broke at one endpoint that may have ended under it. It runs
// where no other such work does, as long as there is such a place, and at one place at a time.
type PreferIsolation struct{}

// RequireIsolation says that the work was at two ends or more. It runs only where no other such work does.
type RequireIsolation struct{}

// Waiting says that the work must not run yet: it is on trial elsewhere, not all entries can have
// told what was at the last end, or it may turn out soon that it was at one more.
type Waiting struct{ till time.Time }

// Until returns when to ask again.
func (w Waiting) Until() time.Time { return w.till }

// Refused says that the work ends what runs it.
type Refused struct {
	till time.Time
	ends int
}

// Until returns from when it is tried again.
func (r Refused) Until() time.Time { return r.till }

// Crashes returns how many endpoints ended under it.
func (r Refused) Crashes() int { return r.ends }

func (Unrestricted) standing()     {}
func (PreferIsolation) standing()  {}
func (RequireIsolation) standing() {}
func (Waiting) standing()          {}
func (Refused) standing()          {}
