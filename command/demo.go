// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/coordination/bound"
	"pinerun.example/pinerun/load"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/standin"
	"pinerun.example/pinerun/transport/entry"
)

const (
	demoEntries  = 3
	demoRequests = 400
	demoLoad     = 0.7
	demoPrompt   = 48
	demoTokens   = 48
	demoWithin   = 60
	// meanPositions is the mean of positions that one demo request takes: the
	// words around the message, half the longest message and half the answer.
	meanPositions = 7 + (8+demoPrompt)/2 + demoTokens/2
	readyWithin   = 10 * time.Second
	stopWithin    = 10 * time.Second
)

// demoVerb runs stand-ins, entries and a bounded load in one process, over real
// sockets.
type demoVerb struct {
	faults   bool
	verbose  bool
	seed     uint64
	requests int
	load     float64
	policy   string
	within   int
	burst    float64
}

func (v *demoVerb) define() *flaggy.Subcommand {
	v.seed, v.requests, v.load, v.policy, v.within = 1, demoRequests, demoLoad, "cost", demoWithin
	s := flaggy.NewSubcommand("demo")
	s.Description = "Run the whole path in one process: pinerun demo -faults"
	s.Bool(&v.faults, "f", "faults", "kill stages, spoil replies and take the platform down meanwhile")
	s.Bool(&v.verbose, "v", "verbose", "write the entries' logs to the error stream")
	s.UInt64(&v.seed, "", "seed", "seed of the load")
	s.Int(&v.requests, "n", "requests", "how many requests")
	s.Float64(&v.load, "l", "load", "offered load as a part of the flow bound; above 1 is overload")
	s.String(&v.policy, "p", "policy", "path policy: cost, report, turn, chance or chain")
	s.Int(&v.within, "w", "within", "seconds from a request's arrival to its deadline")
	s.Float64(&v.burst, "b", "burst", "times the load during the second quarter of the requests")
	return s
}

func (v *demoVerb) run(ctx context.Context, o *output) int {
	switch v.policy {
	case "cost", "report", "turn", "chance", "chain":
	default:
		return o.fail(exitUsage, fmt.Errorf("policy %q is unknown; give cost, report, turn, chance or chain", v.policy))
	}
	if v.requests <= 0 || v.load <= 0 || v.within <= 0 || v.burst < 0 {
		return o.fail(exitUsage, errors.New("nothing to do; give -requests, -load and -within above 0"))
	}
	d := &demo{verb: v, output: o}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return o.fail(exitFailed, err)
	}
	report := d.measure(ctx)
	if err := report.Write(o.out); err != nil {
		return o.fail(exitFailed, err)
	}
	if !report.Passed() {
		return o.fail(exitFailed, errors.New("a promise was broken; see the line above and run with -verbose"))
	}
	return exitGood
}

// demo is one run of the demo verb.
type demo struct {
	verb    *demoVerb
	output  *output
	outside standin.Deployment
	entries []*entry.Entry
	model   protocol.Model
	levels  []load.Bounds
}

func (d *demo) start(ctx context.Context) error {
	s := demoDeployment()
	d.model = s.Models[0]
	d.outside.AnyPorts = true
	if err := d.outside.Start(s); err != nil {
		return fmt.Errorf("the stand-ins can't start: %w", err)
	}
	for i := range demoEntries {
		e := &entry.Entry{Settings: d.entrySettings(i)}
		if d.verb.verbose {
			e.Logger = d.output.logger("info").With(slog.String("entry", e.Settings.Name))
		}
		if err := e.Start(); err != nil {
			return fmt.Errorf("an entry can't start: %w", err)
		}
		d.entries = append(d.entries, e)
	}
	return d.waitReady(ctx)
}

func (d *demo) entrySettings(i int) settings.Entry {
	anyPort := "127.0.0.1:0"
	return settings.Entry{
		Name: "entry-" + strconv.Itoa(i+1), DataCenter: []string{"dc-a", "dc-b", "dc-c"}[i%3], Region: "r1",
		Listen:   settings.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort},
		Platform: "http://" + d.outside.Platform.Address(), PeerKey: "demo-peers-share-this",
		PathPolicy: d.verb.policy,
	}
}

func (d *demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, e := range d.entries {
		for !e.Ready() {
			select {
			case <-time.After(5 * time.Millisecond):
			case <-ctx.Done():
				return errors.New("the entries did not read their configuration; run with -verbose")
			}
		}
	}
	return nil
}

// measure offers the load and returns what became of it.
func (d *demo) measure(ctx context.Context) load.Report {
	b := d.note(time.Now())
	rate := d.verb.load * b.Flow() / meanPositions
	fmt.Fprintf(d.output.err, "%d runners, flow bound %.0f positions/s, offering %.0f requests/s\n",
		len(d.outside.Runners), b.Flow(), rate)
	run := &load.Run{
		Model: d.model.Name, Service: demoService, Requests: d.verb.requests, Rate: rate,
		MaxPromptBytes: demoPrompt, MaxTokens: demoTokens, Seed: d.verb.seed, Progress: d.output.progress(),
		Expect: d.expect, Keys: demoKeys(),
		Timeout: time.Duration(d.verb.within) * time.Second, BurstFactor: d.verb.burst,
	}
	for _, e := range d.entries {
		run.Entries = append(run.Entries, "http://"+e.CallerAddress())
	}
	now := time.Now()
	lasts := time.Duration(float64(d.verb.requests) / rate * float64(time.Second))
	faults := &demoFaults{demo: d, began: now, ends: now.Add(lasts)}
	if d.verb.faults {
		go faults.run()
	} else {
		faults.done.Close()
	}
	report := run.Do(ctx)
	<-faults.done.Done()
	run.ApplyBounds(&report, d.levels)
	d.inspect(&report)
	return report
}

func (d *demo) expect(prompt []int32, limit int) []int32 {
	return standin.Expect(d.model.Layers, prompt, limit)
}

// note records the bound from now on over the runners that are alive.
func (d *demo) note(at time.Time) bound.Bound {
	var alive []protocol.Runner
	for _, r := range d.outside.Runners {
		if !r.Dead() {
			alive = append(alive, r.Spec)
		}
	}
	b := bound.Of(d.model.Layers, alive)
	d.levels = append(d.levels, load.Bounds{At: at, Flow: b.Flow(), Fleet: b.Fleet()})
	return b
}

// inspect adds what the stand-ins and entries recorded.
func (d *demo) inspect(r *load.Report) {
	r.LayerViolations = len(standin.Violations(d.outside.Ledger.Runs()))
	for _, b := range d.outside.Books {
		r.Doubled += b.Doubled()
	}
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, e := range d.entries {
		e.Recovery().AddTo(h)
	}
	r.Recoveries = h.TotalCount()
	r.RecoveryMS = load.PercentilesOf(h)
}

func (d *demo) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	for _, e := range d.entries {
		e.Stop(ctx)
	}
	d.outside.Close()
}
