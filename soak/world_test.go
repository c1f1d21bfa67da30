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

// The bounds that the settings of the entries name, as on the users' deployments.
const (
	stopWithin   = 8 * time.Second // after SIGTERM
	keyWithdrawn = 5 * time.Second
	drainBound   = 2 * time.Second
	configBound  = 2 * time.Second
	contact      = 3 * time.Second // without trouble before bounds hold
	recoverBound = 12 * time.Second
	retryShare   = 0.2
	retrySlack   = 40
	retryWindow  = 10 * time.Second
	// scheduling is how much later than on a machine of its own a process may act: a
	// few dozen of them share this one, at times beside other work.
	scheduling = 2 * time.Second
)

// world is the processes and what surrounds them.
type world struct {
	t       testing.TB
	binary  string
	store   *platformtest.Store
	entries []*entry

	tables    sync.Mutex // held by who changes the table
	dooming   sync.Mutex // held by who chooses an endpoint to crash
	mutex     sync.Mutex
	endpoints []*endpoint
	version   int
	keys      []string
	spare     []spareChange
	problems  []string
	made      int // endpoints so far
}

// spareChange is when the spare key was given, before the store knew, or taken away,
// once it had acknowledged that.
type spareChange struct {
	at    time.Time
	given bool
}

// newWorld starts everything and waits until streams are served everywhere.
func newWorld(t testing.TB, binary string, entries int) *world {
	w := &world{t: t, binary: binary, store: platformtest.NewStore(t), keys: []string{usualKey, spareKey}, version: 1}
	w.putTable()
	for i := range 3 {
		w.addEndpoint(false, center(i))
	}
	for i := range 6 {
		w.addEndpoint(true, center(i))
	}
	dir := t.TempDir()
	for i := range entries {
		w.entries = append(w.entries, w.newEntry(dir, fmt.Sprint("entry-", i), center(i)))
	}
	for _, e := range w.entries {
		e.start()
	}
	for _, e := range w.entries {
		require.Eventually(t, e.isReady, time.Minute, 20*time.Millisecond, "%s is ready", e.name)
	}
	return w
}

func center(i int) string { return string(rune('a' + i%2)) }

// problem notes a broken promise.
func (w *world) problem(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// putTable writes the routing table with the keys in force.
func (w *world) putTable() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.store.Put("config", "main", platformtest.RoutingTable(w.version, w.keys...))
}

// changeTable writes a newer table, with other keys.
func (w *world) changeTable(keys ...string) {
	w.tables.Lock()
	defer w.tables.Unlock()
	w.mutex.Lock()
	w.version += 3
	w.keys = keys
	given := slices.Contains(keys, spareKey)
	if given {
		w.spare = append(w.spare, spareChange{at: time.Now(), given: true})
	}
	w.mutex.Unlock()
	w.putTable()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !given {
		w.spare = append(w.spare, spareChange{at: time.Now()})
	}
}

// logs returns all that the entries wrote.
func (w *world) logs() map[string][]byte {
	all := map[string][]byte{}
	for _, e := range w.entries {
		content, err := os.ReadFile(e.log)
		if err != nil {
			w.problem("the log of %s can't be read: %v", e.name, err)
		}
		all[e.name] = bytes.TrimSpace(content)
	}
	return all
}
