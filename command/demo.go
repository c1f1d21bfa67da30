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
	demoEntries        = 3
	demoRequests       = 400
	demoLoad           = 0.7
	demoMaxPromptBytes = 48
	demoMaxTokens      = 48
	demoTimeoutSeconds = 60
	// meanPositions is the mean number of token positions of a demo request: 7 for
	// the text around the message, the mean length of a message, which is at least 8
	// and less than demoMaxPromptBytes bytes, and half the longest answer.
	meanPositions = 7 + (8+demoMaxPromptBytes)/2 + demoMaxTokens/2
	readyTimeout  = 10 * time.Second
	stopTimeout   = 10 * time.Second
)

// demoCommand runs stand-ins, entries and a load of a fixed number of requests in one
// process. They communicate over real sockets.
type demoCommand struct {
	faults         bool
	verbose        bool
	seed           uint64
	requests       int
	load           float64
	policy         string
	timeoutSeconds int
	burstFactor    float64
}

func (c *demoCommand) define() *flaggy.Subcommand {
	c.seed, c.requests, c.load, c.policy, c.timeoutSeconds = 1, demoRequests, demoLoad, "cost", demoTimeoutSeconds
	s := flaggy.NewSubcommand("demo")
	s.Description = "Run the whole path in one process: pinerun demo -faults"
	s.Bool(&c.faults, "f", "faults", "kill stages, spoil replies and take the platform down meanwhile")
	s.Bool(&c.verbose, "v", "verbose", "write the entries' logs to the error stream")
	s.UInt64(&c.seed, "", "seed", "seed of the load")
	s.Int(&c.requests, "n", "requests", "how many requests")
	s.Float64(&c.load, "l", "load", "offered load as a part of the flow bound; above 1 is overload")
	s.String(&c.policy, "p", "policy", "path policy: cost, report, turn, chance or chain")
	s.Int(&c.timeoutSeconds, "w", "within", "seconds from a request's arrival to its deadline")
	s.Float64(&c.burstFactor, "b", "burst", "times the load during the second quarter of the requests")
	return s
}

func (c *demoCommand) run(ctx context.Context, o *output) int {
	switch c.policy {
	case "cost", "report", "turn", "chance", "chain":
	default:
		return o.fail(exitUsage, fmt.Errorf("policy %q is unknown; give cost, report, turn, chance or chain", c.policy))
	}
	if c.requests <= 0 || c.load <= 0 || c.timeoutSeconds <= 0 || c.burstFactor < 0 {
		return o.fail(exitUsage, errors.New("nothing to do; give -requests, -load and -within above 0"))
	}
	d := &demo{options: c, output: o}
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
	return exitOK
}

// demo is one run of the demo subcommand.
type demo struct {
	options    *demoCommand
	output     *output
	deployment standin.Deployment
	entries    []*entry.Entry
	model      protocol.Model
	bounds     []load.Bounds
}

// start starts the stand-ins and the entries, and waits until every entry is ready.
func (d *demo) start(ctx context.Context) error {
	s := demoDeployment()
	d.model = s.Models[0]
	d.deployment.EphemeralPorts = true
	if err := d.deployment.Start(s); err != nil {
		return fmt.Errorf("the stand-ins can't start: %w", err)
	}
	for i := range demoEntries {
		e := &entry.Entry{Settings: d.entrySettings(i)}
		if d.options.verbose {
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
		Platform: "http://" + d.deployment.Platform.Address(), PeerKey: "demo-peers-share-this",
		PathPolicy: d.options.policy,
	}
}

// waitReady returns an error if an entry is not ready within readyTimeout.
func (d *demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
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

// measure runs the load, with faults if they were asked for, and returns the report.
func (d *demo) measure(ctx context.Context) load.Report {
	b := d.recordBounds(time.Now())
	rate := d.options.load * b.Flow() / meanPositions
	fmt.Fprintf(d.output.err, "%d runners, flow bound %.0f positions/s, offering %.0f requests/s\n",
		len(d.deployment.Runners), b.Flow(), rate)
	run := &load.Run{
		Model: d.model.Name, Service: demoService, Requests: d.options.requests, Rate: rate,
		MaxPromptBytes: demoMaxPromptBytes, MaxTokens: demoMaxTokens, Seed: d.options.seed, Progress: d.output.progress(),
		Expect: d.expectedTokens, Keys: demoKeys(),
		Timeout: time.Duration(d.options.timeoutSeconds) * time.Second, BurstFactor: d.options.burstFactor,
	}
	for _, e := range d.entries {
		run.Entries = append(run.Entries, "http://"+e.CallerAddress())
	}
	now := time.Now()
	duration := time.Duration(float64(d.options.requests) / rate * float64(time.Second))
	schedule := &faultSchedule{demo: d, startTime: now, endTime: now.Add(duration)}
	if d.options.faults {
		go schedule.run()
	} else {
		schedule.done.Close()
	}
	report := run.Do(ctx)
	<-schedule.done.Done()
	run.ApplyBounds(&report, d.bounds)
	d.addFaultCounts(&report)
	return report
}

// expectedTokens returns the tokens that a model without faults generates.
func (d *demo) expectedTokens(prompt []int32, limit int) []int32 {
	return standin.ExpectedAnswer(d.model.Layers, prompt, limit)
}

// recordBounds computes the throughput bounds of the live runners, and records that they
// hold from the given time on.
func (d *demo) recordBounds(at time.Time) bound.Bound {
	var alive []protocol.Runner
	for _, r := range d.deployment.Runners {
		if !r.Closed() {
			alive = append(alive, r.Spec)
		}
	}
	b := bound.Of(d.model.Layers, alive)
	d.bounds = append(d.bounds, load.Bounds{At: at, Flow: b.Flow(), Fleet: b.Fleet()})
	return b
}

// addFaultCounts adds to the report what the stand-ins and entries recorded: layer
// violations, calls that ran twice, and recovery times.
func (d *demo) addFaultCounts(r *load.Report) {
	r.LayerViolations = len(standin.Violations(d.deployment.ExecutionLog.Entries()))
	for _, b := range d.deployment.CallCounters {
		r.Doubled += b.Duplicates()
	}
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for _, e := range d.entries {
		e.Recovery().AddTo(h)
	}
	r.Recoveries = h.TotalCount()
	r.RecoveryMS = load.PercentilesOf(h)
}

// close stops the entries, within stopTimeout in all, and then the stand-ins.
func (d *demo) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, e := range d.entries {
		e.Stop(ctx)
	}
	d.deployment.Close()
}
