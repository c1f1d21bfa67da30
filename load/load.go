// SPDX-License-Identifier: Apache-2.0

// Package load offers requests to entries at a rate that does not wait for
// answers (open loop) and counts what became of each.
//
//	run := load.Run{Entries: urls, Keys: keys, Model: "fares", Requests: 300, Rate: 40}
//	report := run.Do(ctx)
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pinerun.example/pinerun/protocol"
)

// Run is one bounded load. Set the exported fields, then call Do once.
type Run struct {
	Entries        []string // base URLs, taken in turn as a balancer does
	Keys           []string // bearer keys of the teams, taken at random
	Model          string
	Service        string  // if set, one in eight requests is a non-repeatable call
	Requests       int     // how many in all
	Rate           float64 // arrivals a second
	BurstFactor    float64 // if above 0, times Rate during the second quarter of the requests
	MaxPromptBytes int     // longest message in bytes
	MaxTokens      int
	Seed           uint64
	Timeout        time.Duration // from arrival; zero means a minute
	Expect         func(prompt []int32, limit int) []int32
	Progress       func(done, total int)

	client   http.Client
	mutex    sync.Mutex
	report   Report
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	marks    []mark
	finished int
	started  time.Time
	stopped  time.Time
	idle     sync.WaitGroup
}

// mark is useful work done at a time: positions run, of them tokens given.
type mark struct {
	at        time.Time
	positions int
	tokens    int
}

const (
	serviceOneIn  = 8
	minPrompt     = 8
	defaultWithin = time.Minute
	// windowFrom is the part of the run left out of throughput as warm-up.
	windowFrom = 0.4
)

// Do offers every request and returns when the last has ended.
func (r *Run) Do(ctx context.Context) Report {
	r.first, r.between = newHistogram(), newHistogram()
	r.client.Transport = &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	draw := rand.New(rand.NewPCG(r.Seed, 7))
	r.started = time.Now()
	next := r.started
	for i := range r.Requests {
		if !sleepUntil(ctx, next) {
			break
		}
		r.idle.Add(1)
		go r.plan(i, draw).run(ctx)
		next = next.Add(time.Duration(draw.ExpFloat64() / r.rateAt(i) * float64(time.Second)))
	}
	r.stopped = time.Now()
	r.idle.Wait()
	r.client.CloseIdleConnections()
	return r.summary()
}

func (r *Run) rateAt(i int) float64 {
	if r.BurstFactor > 0 && i >= r.Requests/4 && i < r.Requests/2 {
		return r.Rate * r.BurstFactor
	}
	return r.Rate
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// plan draws one request, so that the same seed gives the same requests.
func (r *Run) plan(i int, draw *rand.Rand) *attempt {
	within := r.Timeout
	if within == 0 {
		within = defaultWithin
	}
	text := make([]byte, minPrompt+draw.IntN(max(1, r.MaxPromptBytes-minPrompt)))
	for j := range text {
		text[j] = byte('a' + draw.IntN(26))
	}
	return &attempt{
		load:     r,
		entry:    r.Entries[i%len(r.Entries)],
		key:      r.Keys[draw.IntN(len(r.Keys))],
		text:     string(text),
		limit:    1 + draw.IntN(r.MaxTokens),
		stream:   draw.IntN(4) != 0,
		service:  r.Service != "" && draw.IntN(serviceOneIn) == 0,
		unique:   draw.Uint64(),
		deadline: time.Now().Add(within),
	}
}

// ended counts a request, once.
func (r *Run) ended(o protocol.Outcome, late, missing, wrong bool, marks []mark) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case missing:
		r.report.Missing++
	case o == protocol.Answered && late:
		r.report.Late++
	case o == protocol.Answered:
		r.report.Answered++
	case o == protocol.NotRun:
		r.report.NotRun++
	default:
		r.report.MayHaveRun++
	}
	if wrong {
		r.report.Wrong++
	}
	if o == protocol.Answered {
		r.marks = append(r.marks, marks...)
	}
	r.finished++
	if r.Progress != nil {
		r.Progress(r.finished, r.Requests)
	}
}

func (r *Run) timed(first, between []time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, d := range first {
		record(r.first, d)
	}
	for _, d := range between {
		record(r.between, d)
	}
}

// summary counts throughput over the part of the run in which load was offered
// and the warm-up was over.
func (r *Run) summary() Report {
	from := r.started.Add(time.Duration(windowFrom * float64(r.stopped.Sub(r.started))))
	seconds := r.stopped.Sub(from).Seconds()
	tokens, positions := 0, 0
	for _, m := range r.marks {
		if m.at.Before(from) || m.at.After(r.stopped) {
			continue
		}
		tokens += m.tokens
		positions += m.positions
	}
	if seconds > 0 && positions > 0 {
		r.report.TokensPerSecond = float64(tokens) / seconds
		// A bound is in positions; in tokens it depends on the mix of the run.
		r.report.Bound = float64(tokens) / float64(positions)
		r.report.BoundRatio = float64(positions) / seconds
	}
	r.report.GoodputByTenth = r.goodput()
	r.report.FirstTokenMS = PercentilesOf(r.first)
	r.report.BetweenTokensMS = PercentilesOf(r.between)
	return r.report
}

// goodput returns the useful work of each tenth of the time in which load was
// offered, in positions a second.
func (r *Run) goodput() []float64 {
	const parts = 10
	tenths := make([]float64, parts)
	length := r.stopped.Sub(r.started).Seconds() / parts
	for _, m := range r.marks {
		if at := int(m.at.Sub(r.started).Seconds() / length); at >= 0 && at < parts {
			tenths[at] += float64(m.positions) / length
		}
	}
	return tenths
}

// Bounds is what the hardware allows from a time on, in positions a second.
type Bounds struct {
	At    time.Time
	Flow  float64
	Fleet float64
}

// ApplyBounds fills in the bounds, averaged over the measured part of the run. The
// levels are in order of time and the first holds from the beginning.
func (r *Run) ApplyBounds(report *Report, levels []Bounds) {
	from := r.started.Add(time.Duration(windowFrom * float64(r.stopped.Sub(r.started))))
	flow, fleet := 0.0, 0.0
	for i, l := range levels {
		begin, end := l.At, r.stopped
		if i+1 < len(levels) {
			end = levels[i+1].At
		}
		if i == 0 || begin.Before(from) {
			begin = from
		}
		part := max(0, end.Sub(begin).Seconds()) / r.stopped.Sub(from).Seconds()
		flow += part * l.Flow
		fleet += part * l.Fleet
	}
	tokensPerPosition := report.Bound
	report.Bound = flow * tokensPerPosition
	report.FleetBound = fleet * tokensPerPosition
	if flow > 0 {
		report.BoundRatio /= flow
	}
}
