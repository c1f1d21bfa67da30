// SPDX-License-Identifier: Apache-2.0

package addrowner

import (
	"cmp"
	"slices"
	"time"
)

// claim is a Claim with the evidence for it.
type claim struct {
	Claim

	recorded      bool
	batch         uint64    // of the list or change in which this incarnation was first seen
	firstSeen     time.Time // when this incarnation was first seen
	answeredAt    time.Time // when the endpoint last answered from the address
	retainedUntil time.Time // until when the claim is retained without a record
}

// lastEvidence returns the time of the latest evidence for this claim.
func (c *claim) lastEvidence() time.Time {
	if c.answeredAt.After(c.firstSeen) {
		return c.answeredAt
	}
	return c.firstSeen
}

// supersededBy reports whether another claim has a later incarnation and this endpoint has
// not answered since that claim was first seen.
func (c *claim) supersededBy(other *claim) bool {
	return c.Incarnation.Before(other.Incarnation) && c.answeredAt.Before(other.firstSeen)
}

// compare orders two claims by their evidence, the stronger one last.
func (c *claim) compare(other *claim) int {
	return cmp.Or(
		c.lastEvidence().Compare(other.lastEvidence()),
		c.answeredAt.Compare(other.answeredAt),
		cmp.Compare(c.batch, other.batch),
		compareBools(c.recorded, other.recorded),
		compareBools(other.HoldsLayers, c.HoldsLayers),
		cmp.Compare(c.Endpoint, other.Endpoint),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// addressState is an address with its claims.
type addressState struct {
	claims     []*claim
	changedAt  time.Time // when a record last appeared, reappeared or changed its incarnation
	probedAt   time.Time // when the address was last probed, or answered
	answeredAt time.Time // when a process last answered from the address
}

// claimOf returns the claim of an endpoint, or nil.
func (s *addressState) claimOf(endpoint string) *claim {
	for _, c := range s.claims {
		if c.Endpoint == endpoint {
			return c
		}
	}
	return nil
}

// owner returns the claim with the strongest evidence, whether or not it still has a
// record. So a superseded record does not come back into use when the record of the owner
// is removed.
func (s *addressState) owner() *claim {
	if len(s.claims) == 1 {
		return s.claims[0]
	}
	var best *claim
	for _, c := range s.claims {
		if slices.ContainsFunc(s.claims, c.supersededBy) {
			continue
		}
		if best == nil || c.compare(best) > 0 {
			best = c
		}
	}
	return best
}

// needsProbe reports whether the address should be probed for its owner.
func (s *addressState) needsProbe(now time.Time) bool {
	records := 0
	for _, c := range s.claims {
		if c.recorded {
			records++
		}
	}
	intervalOver := !now.Before(s.probedAt.Add(ProbeInterval))
	switch o := s.owner(); {
	case records == 0:
		return false
	case o == nil || !o.recorded:
		return intervalOver
	default:
		return records > 1 && s.answeredAt.Before(s.changedAt) && (intervalOver || s.probedAt.Before(s.changedAt))
	}
}
