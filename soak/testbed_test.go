// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
)

// The bounds in the settings of the entries, as in the users' deployments, and the times that
// the checks allow.
const (
	stopWithin         = 8 * time.Second // after SIGTERM
	keyRevocationBound = 5 * time.Second
	drainBound         = 2 * time.Second
	configBound        = 2 * time.Second
	settleTime         = 3 * time.Second // without faults, from which on the bounds apply
	recoveryBound      = 12 * time.Second
	retryShare         = 0.2
	retrySlack         = 40
	retryWindow        = 10 * time.Second
	// schedulingSlack is the additional delay that processes are allowed, because a few dozen of
	// them share this machine, at times with other work.
	schedulingSlack = 2 * time.Second
)

// testbed contains the entries, the store and the endpoints of one run.
type testbed struct {
	t       testing.TB
	binary  string
	store   *platformtest.Store
	entries []*entry

	tableMutex      sync.Mutex // held while the table changes
	crashMutex      sync.Mutex // held while an endpoint to crash is chosen
	mutex           sync.Mutex
	endpoints       []*endpoint
	tableVersion    int
	keys            []string
	spareKeyChanges []keyChange
	problems        []string
	endpointCount   int // endpoint IDs assigned so far
}

// keyChange is a grant or a revocation of the spare key. The time of a grant is before the
// write to the store, that of a revocation is after the store acknowledged it.
type keyChange struct {
	at      time.Time
	granted bool
}

// newTestbed starts the store, the endpoints and the entries, and waits until every entry is
// ready.
func newTestbed(t testing.TB, binary string, entries int) *testbed {
	tb := &testbed{t: t, binary: binary, store: platformtest.NewStore(t), keys: []string{permanentKey, spareKey}, tableVersion: 1}
	tb.putTable()
	for i := range 3 {
		tb.addEndpoint(false, dataCenterOf(i))
	}
	for i := range 6 {
		tb.addEndpoint(true, dataCenterOf(i))
	}
	dir := t.TempDir()
	for i := range entries {
		e := tb.newEntry(dir, fmt.Sprint("entry-", i), dataCenterOf(i))
		tb.mutex.Lock() // the proxies of the endpoints look for entries that are cut off
		tb.entries = append(tb.entries, e)
		tb.mutex.Unlock()
	}
	for _, e := range tb.entries {
		e.start()
	}
	for _, e := range tb.entries {
		require.True(t, platformtest.Await(time.Minute, 20*time.Millisecond, e.isReady), "%s is ready", e.name)
	}
	return tb
}

func dataCenterOf(i int) string { return string(rune('a' + i%2)) }

// reportProblem records a violated guarantee.
func (tb *testbed) reportProblem(format string, args ...any) {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.problems = append(tb.problems, fmt.Sprintf(format, args...))
}

// putTable writes the routing table with the current version and keys.
func (tb *testbed) putTable() {
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	tb.store.Put("config", "main", platformtest.RoutingTable(tb.tableVersion, tb.keys...))
}

// changeTable writes a newer routing table with the given keys.
func (tb *testbed) changeTable(keys ...string) {
	tb.tableMutex.Lock()
	defer tb.tableMutex.Unlock()
	tb.mutex.Lock()
	tb.tableVersion += 3
	tb.keys = keys
	granted := slices.Contains(keys, spareKey)
	if granted {
		tb.spareKeyChanges = append(tb.spareKeyChanges, keyChange{at: time.Now(), granted: true})
	}
	tb.mutex.Unlock()
	tb.putTable()
	tb.mutex.Lock()
	defer tb.mutex.Unlock()
	if !granted {
		tb.spareKeyChanges = append(tb.spareKeyChanges, keyChange{at: time.Now()})
	}
}

// logs returns the logs of the entries, by entry name.
func (tb *testbed) logs() map[string][]byte {
	all := map[string][]byte{}
	for _, e := range tb.entries {
		content, err := os.ReadFile(e.logFile)
		if err != nil {
			tb.reportProblem("the log of %s can't be read: %v", e.name, err)
		}
		all[e.name] = bytes.TrimSpace(content)
	}
	return all
}
