// SPDX-License-Identifier: Apache-2.0

// Command standin runs one case of the review against the project's own program. It starts the
// entries as separate processes, plays the platform's store, the servers and the clients itself, and
// writes what was sent, answered and run to a record.
//
//	standin -case order -root ../.. -record record.txt
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is the reason for a case that could not run.
var errNotRun = errors.New("the case could not run")

// caseFunc runs a case. It reports whether the rule was broken.
type caseFunc func(b *bench, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{"order": runOrder, "drain": runDrain, "recover": runRecover}

func main() {
	name := flag.String("case", "", "order, drain or recover")
	root := flag.String("root", ".", "root of the repository, with the build in target/")
	recordFile := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	runtime.LockOSThread() // the entries end with the thread that started them
	os.Exit(runCase(*name, *root, *recordFile))
}

// runCase runs one case and returns the exit code.
func runCase(name, root, recordFile string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	out, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	root, err = filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b := &bench{root: root, dir: dir, record: &record{out: out, began: time.Now()}}
	b.record.add("case %s, disruption %t", name, trouble)
	broken, err := run(b, trouble)
	b.stop()
	switch {
	case err != nil:
		b.record.add("NOT RUN: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		b.record.add("RULE BROKEN")
		return exitBroken
	default:
		b.record.add("rule held")
		return exitHeld
	}
}

// record is the record of a case. Times are seconds since its start.
type record struct {
	mutex sync.Mutex
	out   *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
