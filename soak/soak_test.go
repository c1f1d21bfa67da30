// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/platform/platformtest"
)

var (
	oneSeed  = flag.Uint64("soak.seed", 0, "the one seed to run")
	newSeeds = flag.Int("soak.seeds", 0, "how many fresh seeds to run, in place of those of CI")
	parallel = flag.Int("soak.parallel", 2, "how many runs beside each other")
	entries  = flag.Int("soak.entries", 4, "how many entries each run has")
	stormFor = flag.Duration("soak.storm", 6*time.Second, "how long faults are injected")
	withRace = flag.Bool("soak.race", false, "build the program with the race detector")
	keepIn   = flag.String("soak.keep", "", "a folder for the logs of runs that failed")
)

// seriesBeside is how many series of faults run side by side.
const seriesBeside = 6

// seedsFile holds the seeds that ever failed, each with the cause.
const seedsFile = "testdata/seeds.txt"

// TestSoak runs the seeds of CI, or those that the flags ask for.
func TestSoak(t *testing.T) {
	var arguments []string
	if *withRace {
		arguments = []string{"-race"}
	}
	binary := platformtest.Build(t, "..", arguments...)
	slots := make(chan struct{}, *parallel)
	for _, seed := range seeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSeed(t, binary, seed)
		})
	}
}

// seeds returns the seeds to run.
func seeds(t *testing.T) []uint64 {
	if *oneSeed != 0 {
		return []uint64{*oneSeed}
	}
	var list []uint64
	for range *newSeeds {
		list = append(list, rand.Uint64N(1e9))
	}
	if len(list) > 0 {
		return list
	}
	f, err := os.Open(seedsFile)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		number, _, _ := strings.Cut(s.Text(), " ")
		if number == "" || number == "#" {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		require.NoError(t, err, "%s: a line is a seed and its cause", seedsFile)
		list = append(list, seed)
	}
	return list
}

// runSeed plays one storm and the calm after it.
func runSeed(t *testing.T, binary string, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 0))
	w := newWorld(t, binary, *entries)
	cs := startCallers(w, draw)
	startSlow(cs, seed)
	deadly := startDeadly(cs, seed)
	s := &storm{world: w, till: time.Now().Add(*stormFor)}
	s.run(draw, seriesBeside)
	deadly.close()
	c := &calm{world: w}
	c.run()
	cs.close()
	calls := append(cs.all(), c.calls...)
	w.checkAnswers(cs.all())
	w.checkRuns(calls)
	w.checkMoves(calls)
	w.checkBudget(calls)
	w.checkLogs()
	w.checkHeld(cs.all())
	w.checkInnocent(calls)
	if len(w.problems) == 0 {
		t.Logf("seed %d: %s; slow callers: %s; %s", seed, summary(calls), w.slowSummary(cs.all()), w.deadlySummary(calls, c.deadlyRan))
		return
	}
	t.Errorf("seed %d: %s\n  %s\nwhat was done:\n  %s", seed, summary(calls),
		strings.Join(w.problems[:min(len(w.problems), 20)], "\n  "), strings.Join(s.story, "\n  "))
	keep(t, w, seed)
}

// summary counts how calls ended.
func summary(calls []*call) string {
	good, refused, broken := 0, 0, 0
	for _, c := range calls {
		switch {
		case answered(c):
			good++
		case c.status == 0 || c.broken != nil:
			broken++
		default:
			refused++
		}
	}
	return fmt.Sprintf("%d calls, %d answered, %d refused or failed, %d broken off or left", len(calls), good, refused, broken)
}

// keep copies the logs of a run that failed.
func keep(t *testing.T, w *world, seed uint64) {
	if *keepIn == "" {
		return
	}
	require.NoError(t, os.MkdirAll(*keepIn, 0o750))
	for name, log := range w.logs() {
		file := filepath.Join(*keepIn, fmt.Sprintf("%d-%s.log", seed, name))
		require.NoError(t, os.WriteFile(file, log, 0o600))
	}
}
