// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"slices"

	"pinerun.example/pinerun/protocol"
)

// SeedEntries returns the entries that all others try to follow: the highest-ranked entries of each
// data center, in order of rank. An entry that knows the seed entries does not need to know the
// others.
func SeedEntries(records []protocol.EntryRecord) []protocol.EntryRecord {
	ranked := slices.DeleteFunc(slices.Clone(records), func(r protocol.EntryRecord) bool { return r.PeerAddress == "" })
	slices.SortFunc(ranked, compareRank)
	return leadingOfEach(ranked, maxOwnCandidates)
}
