// SPDX-License-Identifier: Apache-2.0

package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"path"
	"strings"
	"syscall"
	"testing"
	"time"

	"pinerun.example/pinerun/platform/platformtest"
)

var (
	countDuration = flag.Duration("soak.count", 3*time.Second, "duration of each run of TestEveryRequestHasAnEnd")
	countSeed     = flag.Uint64("soak.count.seed", 1, "the seed of TestEveryRequestHasAnEnd")
	countParallel = flag.Int("soak.count.parallel", 3, "number of parallel runs of TestEveryRequestHasAnEnd")
)

const (
	// countEntries is the number of entries of a run that counts.
	countEntries = 3
	// otherEndpoints is the number of endpoints of the service of otherRoute.
	otherEndpoints = 2
	// countedPause is the pause between two events of a stream.
	countedPause = 25 * time.Millisecond
)

// silences is the name of the run in which only endpoints that go on delay requests.
const silences = "silences"

// countedLink delays answers a little, so that requests are under way when something changes.
var countedLink = linkState{delay: 5 * time.Millisecond}

// countedFaults are the faults beside the versions, alone and together.
var countedFaults = []struct {
	name   string
	faults []func(*series)
}{
	{"versions", nil},
	{"late versions", []func(*series){(*series).delayVersions}},
	{"hangups", []func(*series){(*series).reloadSettings}},
	{"stops", []func(*series){(*series).stopEntry}},
	{"kills", []func(*series){(*series).killEntry}},
	{"standstills", []func(*series){(*series).standStill}},
	{silences, []func(*series){(*series).silenceEndpoints}},
	{"cuts", []func(*series){(*series).cutOneEntry}},
	{"together", []func(*series){(*series).delayVersions, (*series).reloadSettings, (*series).stopEntry, (*series).killEntry, (*series).standStill, (*series).silenceEndpoints, (*series).cutOneEntry}},
}

// TestEveryRequestHasAnEnd counts the requests that were sent whole, and explains each that got no whole answer by the
// entry's events and the faults.
func TestEveryRequestHasAnEnd(t *testing.T) {
	binary := platformtest.Build(t, "..")
	slots := make(chan struct{}, *countParallel)
	for _, f := range countedFaults {
		t.Run(strings.ReplaceAll(f.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runCount(t, binary, f.faults, f.name == silences, *countSeed)
		})
	}
}

// runCount lets callers count while versions arrive and faults are injected, each in a series of its own.
func runCount(t *testing.T, binary string, faults []func(*series), keepsTimeouts bool, seed uint64) {
	tb := newTestbed(t, binary, countEntries)
	for i := range otherEndpoints {
		tb.startEndpoint(&endpoint{service: otherRoute, dataCenter: dataCenterOf(i)}, tb.nextID())
	}
	for _, e := range tb.allEndpoints() {
		e.SetPace(countedPause, countedPause)
		e.link.set(countedLink)
	}
	versions := newVersionSeries(tb, seed, keepsTimeouts)
	k := startCounter(tb, versions, seed)
	noMoreVersions := make(chan struct{})
	injection := &faultInjection{testbed: tb, until: time.Now().Add(*countDuration), started: time.Now()}
	for i, fault := range faults {
		injection.wait.Add(1)
		go (&series{injection: injection, rng: rand.New(rand.NewPCG(seed, uint64(60+i))), faults: []func(*series){fault}}).run()
	}
	go versions.run(noMoreVersions)
	time.Sleep(time.Until(injection.until))
	injection.wait.Wait()
	close(noMoreVersions)
	k.close()
	tb.checkLogs()
	check := awaitCountCheck(k)
	check.run()
	t.Logf("%s, seed %d: %s", t.Name(), seed, check.summary())
	if len(tb.problems) > 0 {
		t.Errorf("seed %d: %d problems\n%s\ninjected faults since %s:\n  %s", seed, len(tb.problems), strings.Join(tb.problems, "\n"),
			injection.started.Format(time.RFC3339Nano), strings.Join(injection.log, "\n  "))
		saveLogs(t, tb, fmt.Sprint(path.Base(t.Name()), "-", seed))
	}
}

// standStill stops the process of an entry for some time.
func (s *series) standStill() {
	e := s.entry()
	s.injection.record("stand still " + e.name)
	e.pause(syscall.SIGSTOP)
	s.pause(300, 3000)
	e.pause(syscall.SIGCONT)
}

// delayVersions holds back what the store sends to some entries.
func (s *series) delayVersions() {
	chosen := s.someEntries(1 + s.rng.IntN(len(s.injection.testbed.entries)-1))
	s.injection.record("store link late: " + names(chosen))
	for _, e := range chosen {
		e.storeLink.set(linkState{blockInbound: true})
	}
	s.pause(100, 1500)
	for _, e := range chosen {
		e.storeLink.set(linkState{})
	}
}

// silenceEndpoints makes one endpoint, or all of its service, silent for about a second; they go on then.
func (s *series) silenceEndpoints() {
	tb := s.injection.testbed
	one := s.endpoint()
	chosen, what := []*endpoint{one}, "silence of "+one.ID
	if s.rng.IntN(2) == 0 {
		chosen, what = tb.endpointsOf(one.service), "silence of all endpoints of "+one.service
	}
	silent := []linkState{{blockInbound: true}, {blockInbound: true, blockOutbound: true}}[s.rng.IntN(2)]
	s.injection.record(what)
	for _, e := range chosen {
		e.link.set(silent)
	}
	s.pause(500, 1300)
	for _, e := range chosen {
		e.link.set(countedLink)
	}
}

// endpointsOf returns the endpoints of a service.
func (tb *testbed) endpointsOf(service string) []*endpoint {
	var list []*endpoint
	for _, e := range tb.allEndpoints() {
		if e.service == service {
			list = append(list, e)
		}
	}
	return list
}

// cutOneEntry cuts an entry off from all endpoints for a while.
func (s *series) cutOneEntry() {
	tb, e := s.injection.testbed, s.entry()
	form := cutForm(1 + s.rng.IntN(3))
	s.injection.record("cut " + e.name + " off from all endpoints, " + form.String())
	tb.cutOff(form, e)
	s.pause(300, 2500)
	tb.cutOff(notCut, e)
}
