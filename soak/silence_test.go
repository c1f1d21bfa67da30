// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"strings"
	"time"
)

// A sound endpoint may be silent for a time between these and go on.
const (
	minSilenceMS = 800
	maxSilenceMS = 1400
)

// silenceEndpoint lets a random live endpoint stand still, or, one time in three, all of its kind, up to three times in a row.
func (s *series) silenceEndpoint() {
	chosen := []*endpoint{s.endpoint()}
	if s.rng.IntN(3) == 0 {
		chosen = s.injection.testbed.live(chosen[0].engine)
	}
	var ids []string
	for _, e := range chosen {
		ids = append(ids, e.ID)
	}
	for range 1 + s.rng.IntN(3) {
		duration := time.Duration(minSilenceMS+s.rng.IntN(maxSilenceMS-minSilenceMS)) * time.Millisecond
		s.injection.record("silence " + strings.Join(ids, " ") + " for " + duration.String())
		for _, e := range chosen {
			e.StandStill(duration)
		}
		time.Sleep(duration)
		s.pause(50, 300)
	}
}
