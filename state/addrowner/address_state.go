// SPDX-License-Identifier: Apache-2.0

package addrowner

import (
	"cmp"
	"slices"
	"time"
)

// claim is a claim with its evidence.
type claim struct {
	Claim

	recorded bool
	number   uint64    // of the list or change that first showed this life
	seen     time.Time // when that was
	proven   time.Time // when it last answered from the address
	till     time.Time // until when it is remembered without a record
}

// latest returns when the last sure sign of this life at the address came.
func (k *claim) latest() time.Time {
	if k.proven.After(k.seen) {
		return k.proven
	}
	return k.seen
}

// outlived reports whether another claim tells a later start and this one has not answered
// since the other was seen.
func (k *claim) outlived(by *claim) bool {
	return k.Incarnation.Before(by.Incarnation) && k.proven.Before(by.seen)
}

// compare orders two claims by their evidence, the better one last.
func (k *claim) compare(than *claim) int {
	return cmp.Or(
		k.latest().Compare(than.latest()),
		k.proven.Compare(than.proven),
		cmp.Compare(k.number, than.number),
		rank(k.recorded, than.recorded),
		rank(than.HoldsLayers, k.HoldsLayers),
		cmp.Compare(k.Endpoint, than.Endpoint),
	)
}

// rank orders false before true.
func rank(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// site is an address with its claims.
type site struct {
	claims   []*claim
	changed  time.Time // when a record last came, came back or told another life
	asked    time.Time // when it was last asked, or answered
	answered time.Time // when something last answered from it
}

// claimOf returns the claim of an endpoint, or nil.
func (s *site) claimOf(endpoint string) *claim {
	for _, k := range s.claims {
		if k.Endpoint == endpoint {
			return k
		}
	}
	return nil
}

// occupant returns the claim with the best evidence, whether its record is there or not: a
// superseded record doesn't come into use again because that of the occupant has gone.
func (s *site) occupant() *claim {
	if len(s.claims) == 1 {
		return s.claims[0]
	}
	var best *claim
	for _, k := range s.claims {
		if slices.ContainsFunc(s.claims, k.outlived) {
			continue
		}
		if best == nil || k.compare(best) > 0 {
			best = k
		}
	}
	return best
}

// unclear reports whether it should be asked who has the address.
func (s *site) unclear(now time.Time) bool {
	records := 0
	for _, k := range s.claims {
		if k.recorded {
			records++
		}
	}
	again := !now.Before(s.asked.Add(ProbeInterval))
	switch o := s.occupant(); {
	case records == 0:
		return false
	case o == nil || !o.recorded:
		return again
	default:
		return records > 1 && s.answered.Before(s.changed) && (again || s.asked.Before(s.changed))
	}
}
