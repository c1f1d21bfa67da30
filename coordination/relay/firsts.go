// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"slices"

	"pinerun.example/pinerun/protocol"
)

// SeedEntries returns the entries that all others try to follow, those of each data center that rank
// first, in order of rank. Who knows them need not know all.
func SeedEntries(records []protocol.EntryRecord) []protocol.EntryRecord {
	ranked := slices.DeleteFunc(slices.Clone(records), func(r protocol.EntryRecord) bool { return r.Peers == "" })
	slices.SortFunc(ranked, compare)
	return leading(ranked, ownMost)
}
