// SPDX-License-Identifier: Apache-2.0

package capacity

// The planned size, from the users' requirements, and figures derived from it.
const (
	entryCount            = 380
	runnerCount           = 4900
	peakRequestsPerSecond = 9200.0
	peakTokensPerSecond   = 2.2e6
	teamCount             = 700
	modelCount            = 6
	dataCenterCount       = 9
	changesPerDay         = 3100.0
	secondsPerDay         = 86400.0

	tokensPerSecondPerEntry   = peakTokensPerSecond / entryCount
	requestsPerSecondPerEntry = peakRequestsPerSecond / entryCount
	// spansPerModel is the number of layer ranges into which a model is divided. The value is
	// an assumption.
	spansPerModel = 8
	// runnersPerSpan is the number of runners of each span to which an entry connects.
	runnersPerSpan = 12
	// claimedFraction is the fraction of requests that carry an idempotency key and are not
	// repeatable.
	claimedFraction      = 0.05
	claimWritesPerSecond = 2 * claimedFraction * peakRequestsPerSecond // the claim and its outcome
	claimShards          = 4
	// keyRetentionSeconds is how long an idempotency key is kept, margin included.
	keyRetentionSeconds     = 660.0
	keysPerShard            = claimedFraction * peakRequestsPerSecond * keyRetentionSeconds / claimShards
	writesPerSecondPerShard = 12.5 // at most: one write every 80 ms
	retainedBatches         = writesPerSecondPerShard * keyRetentionSeconds
	retainedTraces          = 4096
	// relayCount is two relays in each data center.
	relayCount = 2 * dataCenterCount
	// linksPerRelay counts the entries of the relay's data center and all relays.
	linksPerRelay             = entryCount/dataCenterCount + relayCount
	reportsPerSecondPerEngine = 10.0 // the rate in the measurements
	// Bytes of a line in the platform's lists, as the stand-in serves them for names of
	// typical length.
	entryLineBytes = 236.0
	vmLineBytes    = 63.0
	// entryListSeconds is the interval at which an entry that is not a relay lists the entries.
	entryListSeconds = 60.0
	// relayListSeconds is the interval at which a relay lists the entries.
	relayListSeconds = 10.0
	// manifestWatchSeconds is the interval at which a relay renews its watch of the manifest.
	manifestWatchSeconds = 30.0
	// entryRefreshSeconds is the interval at which an entry writes its own record again.
	entryRefreshSeconds    = 300.0
	leaseRenewalsPerSecond = 1
	// writesPerPlan counts the plan, a configuration part, the manifest, the audit line and
	// the end of the plan.
	writesPerPlan = 5.0
)

// Limits for the control work of one entry, and for the calls of all entries to the platform.
const (
	maxCores           = 0.01
	maxHeapBytes       = 32e6
	maxBytesPerSecond  = 20e3
	maxReadsPerSecond  = 2000.0
	maxWritesPerSecond = 100.0
)

// Item is one cost that counts against a budget.
type Item struct {
	name    string
	amount  float64
	formula string
}

// Amount returns the cost in the budget's unit.
func (i Item) Amount() float64 { return i.amount }

// Budget is a limit for a resource and the costs that count against it.
type Budget struct {
	name  string
	unit  string
	limit float64
	items []Item
}

// Total returns the sum of all costs.
func (b *Budget) Total() float64 {
	total := 0.0
	for _, item := range b.items {
		total += item.amount
	}
	return total
}

// WithinLimit reports whether the total does not exceed the limit.
func (b *Budget) WithinLimit() bool { return b.Total() <= b.limit }

// engineConnections is the maximum number of engines to which an entry is connected.
const engineConnections = modelCount * spansPerModel * runnersPerSpan

// Budgets returns the budgets for the most expensive kind of entry, a relay that also writes
// one claim shard.
func Budgets(f *Fits) []Budget {
	changesPerSecond := changesPerDay / secondsPerDay
	reportsPerSecond := engineConnections * reportsPerSecondPerEngine
	return []Budget{
		{"processor time for control", "cores", maxCores, []Item{
			{"choice of paths", requestsPerSecondPerEntry * f.ByID("choose_us").Planned() / 1e6, "requests/s × µs"},
			{"admission, all teams waiting", requestsPerSecondPerEntry * f.ByID("admit_us").Planned() / 1e6, "requests/s × µs"},
			{"changes: configuration and view", changesPerSecond * (f.ByID("config_ms").Planned() + f.ByID("view_ms").Planned()) / 1e3, "changes/s × ms"},
			{"heartbeats of a relay", linksPerRelay * f.ByID("beat_us").Planned() / 1e6, "links/s × µs to write and read"},
			{"load reports at 10/s", reportsPerSecond * f.ByID("report_us").Planned() / 1e6, "connections × 10/s × µs"},
		}},
		{"memory for control", "B", maxHeapBytes, []Item{
			{"configuration of 700 teams", f.ByID("config_heap").Planned(), "B at 700 teams"},
			{"configuration of 4,900 runners", f.ByID("fleet_heap").Planned(), "B at 4,900 runners"},
			{"view of 4,900 runners", f.ByID("view_heap").Planned(), "B at 4,900 runners"},
			{"stories of 4,096 requests", f.ByID("story_heap").Planned(), "B at 4,096 stories"},
			{"keys of one claim shard", f.ByID("claim_heap").Planned(), "B at 75,900 keys"},
		}},
		{"bytes sent and received for control", "B/s", maxBytesPerSecond, []Item{
			{"heartbeats of a relay", 2 * linksPerRelay * f.ByID("beat_frame_bytes").Planned(), "links × both ways × B"},
			{"changes through a relay", changesPerSecond * linksPerRelay * f.ByID("change_bytes").Planned(), "changes/s × links × B"},
			{"list of entries", entryCount * entryLineBytes / relayListSeconds, "entries × B a line / 10 s"},
			{"list of VMs", (entryCount + runnerCount) * vmLineBytes / relayCount, "VMs × B a line / relays in turn"},
			{"load reports at 10/s", reportsPerSecond * f.ByID("report_bytes").Planned(), "connections × 10/s × B"},
		}},
		{"platform reads of all nodes", "reads/s", maxReadsPerSecond, []Item{
			{"watches of the manifest", relayCount / manifestWatchSeconds, "relays / 30 s"},
			{"changes", changesPerSecond * f.ByID("reads_per_change").Planned(), "changes/s × reads"},
			{"lists of entries", relayCount/relayListSeconds + (entryCount-relayCount)/entryListSeconds, "relays / 10 s + others / 60 s"},
			{"lists of VMs", 1, "relays in turn / 1 s"},
			{"lease", relayCount, "relays / 1 s"},
		}},
		{"platform writes of all nodes", "writes/s", maxWritesPerSecond, []Item{
			{"claims at 5 % of 9,200 requests/s", min(f.ByID("claim_writes").Planned(), claimShards*writesPerSecondPerShard), "fit, at most shards × 12.5/s"},
			{"plans", changesPerSecond * writesPerPlan, "changes/s × writes"},
			{"lines of entries", entryCount / entryRefreshSeconds, "entries / 300 s"},
			{"lease", leaseRenewalsPerSecond, "1 / 1 s"},
		}},
	}
}
