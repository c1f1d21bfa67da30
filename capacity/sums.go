// SPDX-License-Identifier: Apache-2.0

package capacity

// The planned size, from the users' first letter, and what follows from it.
const (
	nodes         = 380
	runners       = 4900
	requests      = 9200.0 // a second, at the peak
	tokens        = 2.2e6  // a second, at the peak
	teams         = 700
	models        = 6
	dataCenters   = 9
	changesPerDay = 3100.0
	secondsPerDay = 86400.0

	tokensPerNode   = tokens / nodes
	requestsPerNode = requests / nodes
	// spansPerModel is an assumption: a model is cut into so many spans.
	spansPerModel = 8
	subset        = 12
	// claimedPart is the part of requests that are keyed and not repeatable.
	claimedPart  = 0.05
	claimRecords = 2 * claimedPart * requests // a claim and its outcome
	claimShards  = 4
	// retention and margin for which a key is kept, in seconds.
	retention    = 660.0
	keysPerShard = claimedPart * requests * retention / claimShards
	shardWrites  = 12.5 // a second at most, one each 80 ms
	batchesKept  = shardWrites * retention
	storiesKept  = 4096
	// Links and periods of entries; relays are two in each data center.
	relays      = 2 * dataCenters
	relayLinks  = nodes/dataCenters + relays
	reportsEach = 10.0 // a second from each connected engine, as measured with
	// Lengths of a line of the platform's lists, as the stand-in serves them for
	// names of common length.
	listLineBytes  = 236.0
	vmLineBytes    = 63.0
	listAsOther    = 60.0
	listAsRelay    = 10.0
	watchSeconds   = 30.0
	refreshSeconds = 300.0
	leaseRenewals  = 1
	writesPerPlan  = 5.0 // the plan, a part, the manifest, the audit line, the end
)

// Budgets of a node's control, and the platform's rates.
const (
	coreBudget   = 0.01
	memoryBudget = 32e6
	bytesBudget  = 20e3
	readBudget   = 2000.0
	writeBudget  = 100.0
)

// Item is one cost within a sum.
type Item struct {
	name   string
	amount float64
	how    string
}

// Amount returns the cost in the sum's unit.
func (i Item) Amount() float64 { return i.amount }

// Budget is what one budget is spent on.
type Budget struct {
	name   string
	unit   string
	budget float64
	items  []Item
}

// Total returns the sum of all items.
func (s *Budget) Total() float64 {
	total := 0.0
	for _, i := range s.items {
		total += i.amount
	}
	return total
}

// WithinLimit reports whether the total is within the budget.
func (s *Budget) WithinLimit() bool { return s.Total() <= s.budget }

// connections is how many engines an entry is connected to at most.
const connections = models * spansPerModel * subset

// Budgets adds up a relay that also writes one claim shard, the dearest node.
func Budgets(f *Fits) []Budget {
	changes := changesPerDay / secondsPerDay
	reports := connections * reportsEach
	return []Budget{
		{"processor time for control", "cores", coreBudget, []Item{
			{"choice of paths", requestsPerNode * f.ByID("choose_us").Planned() / 1e6, "requests/s × µs"},
			{"admission, all teams waiting", requestsPerNode * f.ByID("admit_us").Planned() / 1e6, "requests/s × µs"},
			{"changes: configuration and view", changes * (f.ByID("config_ms").Planned() + f.ByID("view_ms").Planned()) / 1e3, "changes/s × ms"},
			{"heartbeats of a relay", relayLinks * f.ByID("beat_us").Planned() / 1e6, "links/s × µs to write and read"},
			{"load reports at 10/s", reports * f.ByID("report_us").Planned() / 1e6, "connections × 10/s × µs"},
		}},
		{"memory for control", "B", memoryBudget, []Item{
			{"configuration of 700 teams", f.ByID("config_heap").Planned(), "B at 700 teams"},
			{"configuration of 4,900 runners", f.ByID("fleet_heap").Planned(), "B at 4,900 runners"},
			{"view of 4,900 runners", f.ByID("view_heap").Planned(), "B at 4,900 runners"},
			{"stories of 4,096 requests", f.ByID("story_heap").Planned(), "B at 4,096 stories"},
			{"keys of one claim shard", f.ByID("claim_heap").Planned(), "B at 75,900 keys"},
		}},
		{"bytes sent and received for control", "B/s", bytesBudget, []Item{
			{"heartbeats of a relay", 2 * relayLinks * f.ByID("beat_frame_bytes").Planned(), "links × both ways × B"},
			{"changes through a relay", changes * relayLinks * f.ByID("change_bytes").Planned(), "changes/s × links × B"},
			{"list of entries", nodes * listLineBytes / listAsRelay, "entries × B a line / 10 s"},
			{"list of VMs", (nodes + runners) * vmLineBytes / relays, "VMs × B a line / relays in turn"},
			{"load reports at 10/s", reports * f.ByID("report_bytes").Planned(), "connections × 10/s × B"},
		}},
		{"platform reads of all nodes", "reads/s", readBudget, []Item{
			{"watches of the manifest", relays / watchSeconds, "relays / 30 s"},
			{"changes", changes * f.ByID("reads_per_change").Planned(), "changes/s × reads"},
			{"lists of entries", relays/listAsRelay + (nodes-relays)/listAsOther, "relays / 10 s + others / 60 s"},
			{"lists of VMs", 1, "relays in turn / 1 s"},
			{"lease", relays, "relays / 1 s"},
		}},
		{"platform writes of all nodes", "writes/s", writeBudget, []Item{
			{"claims at 5 % of 9,200 requests/s", min(f.ByID("claim_writes").Planned(), claimShards*shardWrites), "fit, at most shards × 12.5/s"},
			{"plans", changes * writesPerPlan, "changes/s × writes"},
			{"lines of entries", nodes / refreshSeconds, "entries / 300 s"},
			{"lease", leaseRenewals, "1 / 1 s"},
		}},
	}
}
