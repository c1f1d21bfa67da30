// SPDX-License-Identifier: Apache-2.0

package explain

import "pinerun.example/pinerun/internal/event"

// brokenWork collects the endpoints at which the attempts of each fingerprint broke. The zero
// value is empty.
type brokenWork struct {
	endpoints map[string]map[string]bool // by fingerprint
}

// add records the endpoint of a broken attempt and ignores other lines.
func (b *brokenWork) add(l *Line) {
	if l.Event != event.AttemptBroken.Number() || l.Fingerprint == "" {
		return
	}
	if b.endpoints == nil {
		b.endpoints = make(map[string]map[string]bool)
	}
	if b.endpoints[l.Fingerprint] == nil {
		b.endpoints[l.Fingerprint] = make(map[string]bool)
	}
	b.endpoints[l.Fingerprint][l.Endpoint] = true
}

// tallies returns the fingerprints whose attempts broke at several endpoints, in descending
// order of the number of endpoints. It excludes those that broke at a single endpoint: many
// requests run at an endpoint when it crashes.
func (b *brokenWork) tallies() []Tally {
	counts := make(map[string]int)
	for f, at := range b.endpoints {
		if len(at) > 1 {
			counts[f] = len(at)
		}
	}
	return tallies(counts)
}
