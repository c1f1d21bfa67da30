// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// Status is what work may do: Unrestricted, PreferIsolation, RequireIsolation, Waiting or Refused.
type Status interface{ status() }

// Unrestricted means that nothing is known against the work.
type Unrestricted struct{}

// PreferIsolation means that the work failed at one endpoint that may have crashed because of it.
// It runs at one endpoint at a time, and where no other suspected work runs as long as there is
// such an endpoint.
type PreferIsolation struct{}

// RequireIsolation means that the work, or a part of its prompt, was involved in two or more crashes. It runs
// only where no other suspected work runs.
type RequireIsolation struct{ shared bool }

// Shared reports whether requests with other work, at any entry, wait for the same isolated run, because they
// have the suspected part too.
func (r RequireIsolation) Shared() bool { return r.shared }

// Waiting means that the work must not run yet: it runs in isolation at another endpoint, reports
// about the last crash may still be missing, or a possible crash is unresolved.
type Waiting struct{ until time.Time }

// Until returns when to check again.
func (w Waiting) Until() time.Time { return w.until }

// Refused means that the work, or a part of its prompt, crashes the endpoints that run it.
type Refused struct {
	suspect   protocol.Fingerprint
	part      bool
	until     time.Time
	crashes   int
	lastCrash time.Time
}

// Suspect returns the fingerprint of what is refused.
func (r Refused) Suspect() protocol.Fingerprint { return r.suspect }

// Part reports whether a part of the prompt is refused, and not only the whole work.
func (r Refused) Part() bool { return r.part }

// LastCrash returns when the last endpoint crashed.
func (r Refused) LastCrash() time.Time { return r.lastCrash }

// Until returns the time from which the work may run in isolation again.
func (r Refused) Until() time.Time { return r.until }

// Crashes returns how many endpoints crashed while they ran the work.
func (r Refused) Crashes() int { return r.crashes }

func (Unrestricted) status()     {}
func (PreferIsolation) status()  {}
func (RequireIsolation) status() {}
func (Waiting) status()          {}
func (Refused) status()          {}
