// SPDX-License-Identifier: Apache-2.0

package explain

import "pinerun.example/pinerun/internal/event"

// breaks is at which endpoints the sends of each fingerprint broke. The zero value is empty.
type breaks struct {
	endpoints map[string]map[string]bool // by fingerprint
}

// add takes a line that tells of a broken send.
func (b *breaks) add(l *Line) {
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

// tallies returns the fingerprints whose sends broke at several endpoints, those with most
// first. One that broke at a single endpoint was there when it ended, as many are.
func (b *breaks) tallies() []Tally {
	counts := make(map[string]int)
	for f, at := range b.endpoints {
		if len(at) > 1 {
			counts[f] = len(at)
		}
	}
	return tallies(counts)
}
