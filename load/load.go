// SPDX-License-Identifier: Apache-2.0

// Package load generates an open-loop load on entries: requests arrive at a given
// mean rate whether or not earlier ones have been answered. It counts the outcome
// of each request and measures throughput and latencies.
//
//	run := load.Run{Entries: urls, Keys: keys, Model: "fares", Requests: 300, Rate: 40, MaxTokens: 48}
//	report := run.Do(ctx)
package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/protocol"
)

// Run is a load of a fixed number of requests. Set the exported fields, then call Do once.
type Run struct {
	Entries        []string // base URLs, used round robin as a load balancer does
	Keys           []string // bearer keys of the teams, chosen at random
	Model          string
	Service        string  // if set, one in eight requests is a non-repeatable call
	Requests       int     // total number of requests
	Rate           float64 // mean arrivals per second
	BurstFactor    float64 // if above 0, the factor on Rate during the second quarter of the requests
	MaxPromptBytes int     // exclusive upper limit of a message's length; a message has at least 8 bytes
	MaxTokens      int
	Seed           uint64
	Timeout        time.Duration // from a request's arrival to its deadline; zero means a minute
	// Expect returns the tokens that a model without faults generates for a prompt. If it is
	// nil, answers are not checked.
	Expect func(prompt []int32, limit int) []int32
	// Progress, if set, is called after each request ends.
	Progress func(done, total int)

	client        http.Client
	mutex         sync.Mutex
	report        Report
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	samples       []workSample
	finished      int
	startTime     time.Time
	offerEnd      time.Time
	inFlight      sync.WaitGroup
}

// workSample is the useful work that was finished at one time: the token positions that the
// model ran, and how many of them are generated tokens.
type workSample struct {
	when      time.Time
	positions int
	tokens    int
}

const (
	serviceCallOneIn = 8
	minMessageBytes  = 8
	defaultTimeout   = time.Minute
	// warmupFraction is the initial fraction of the run that throughput excludes.
	warmupFraction = 0.4
)

// Do sends every request and returns when the last one has ended. If the context ends, Do
// sends no further requests.
func (r *Run) Do(ctx context.Context) Report {
	r.firstToken, r.betweenTokens = newHistogram(), newHistogram()
	r.client.Transport = limited.Transport(&http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true})
	rng := rand.New(rand.NewPCG(r.Seed, 7))
	r.startTime = time.Now()
	nextArrival := r.startTime
	for i := range r.Requests {
		if !sleepUntil(ctx, nextArrival) {
			break
		}
		r.inFlight.Add(1)
		go r.newAttempt(i, rng).execute(ctx)
		nextArrival = nextArrival.Add(time.Duration(rng.ExpFloat64() / r.rateAt(i) * float64(time.Second)))
	}
	r.offerEnd = time.Now()
	r.inFlight.Wait()
	r.client.CloseIdleConnections()
	return r.summary()
}

// rateAt returns the arrival rate at the i-th request.
func (r *Run) rateAt(i int) float64 {
	if r.BurstFactor > 0 && i >= r.Requests/4 && i < r.Requests/2 {
		return r.Rate * r.BurstFactor
	}
	return r.Rate
}

// sleepUntil returns false if the context ends before the given time.
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

// newAttempt draws the i-th request from the random source. The same seed gives the same
// requests.
func (r *Run) newAttempt(i int, rng *rand.Rand) *attempt {
	timeout := r.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	message := make([]byte, minMessageBytes+rng.IntN(max(1, r.MaxPromptBytes-minMessageBytes)))
	for j := range message {
		message[j] = byte('a' + rng.IntN(26))
	}
	return &attempt{
		run:       r,
		entry:     r.Entries[i%len(r.Entries)],
		key:       r.Keys[rng.IntN(len(r.Keys))],
		message:   string(message),
		maxTokens: 1 + rng.IntN(r.MaxTokens),
		stream:    rng.IntN(4) != 0,
		service:   r.Service != "" && rng.IntN(serviceCallOneIn) == 0,
		id:        rng.Uint64(),
		deadline:  time.Now().Add(timeout),
	}
}

// recordOutcome counts a request in exactly one outcome of the report. A wrong answer is
// counted in addition to its outcome.
func (r *Run) recordOutcome(outcome protocol.Outcome, late, missing, wrong bool, samples []workSample) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case missing:
		r.report.Missing++
	case outcome == protocol.Answered && late:
		r.report.Late++
	case outcome == protocol.Answered:
		r.report.Answered++
	case outcome == protocol.NotRun:
		r.report.NotRun++
	default:
		r.report.MayHaveRun++
	}
	if wrong {
		r.report.Wrong++
	}
	if outcome == protocol.Answered {
		r.samples = append(r.samples, samples...)
	}
	r.finished++
	if r.Progress != nil {
		r.Progress(r.finished, r.Requests)
	}
}

// recordLatencies adds the latencies of one request to the histograms.
func (r *Run) recordLatencies(firstToken, betweenTokens []time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, d := range firstToken {
		recordLatency(r.firstToken, d)
	}
	for _, d := range betweenTokens {
		recordLatency(r.betweenTokens, d)
	}
}

// summary completes the report. Throughput covers the time from the end of the warm-up to the
// last arrival.
func (r *Run) summary() Report {
	windowStart := r.startTime.Add(time.Duration(warmupFraction * float64(r.offerEnd.Sub(r.startTime))))
	seconds := r.offerEnd.Sub(windowStart).Seconds()
	tokens, positions := 0, 0
	for _, sample := range r.samples {
		if sample.when.Before(windowStart) || sample.when.After(r.offerEnd) {
			continue
		}
		tokens += sample.tokens
		positions += sample.positions
	}
	if seconds > 0 && positions > 0 {
		r.report.TokensPerSecond = float64(tokens) / seconds
		// Bounds are in positions per second. Their value in tokens depends on the mix of
		// prompts and answers of the run, so Bound and BoundRatio hold the factor and the rate
		// until ApplyBounds converts them.
		r.report.Bound = float64(tokens) / float64(positions)
		r.report.BoundRatio = float64(positions) / seconds
	}
	r.report.GoodputByTenth = r.goodput()
	r.report.FirstTokenMS = PercentilesOf(r.firstToken)
	r.report.BetweenTokensMS = PercentilesOf(r.betweenTokens)
	return r.report
}

// goodput returns the useful work in each tenth of the time from the first to the last
// arrival, in positions per second.
func (r *Run) goodput() []float64 {
	const tenthCount = 10
	tenths := make([]float64, tenthCount)
	length := r.offerEnd.Sub(r.startTime).Seconds() / tenthCount
	for _, sample := range r.samples {
		if tenth := int(sample.when.Sub(r.startTime).Seconds() / length); tenth >= 0 && tenth < tenthCount {
			tenths[tenth] += float64(sample.positions) / length
		}
	}
	return tenths
}

// Bounds are the upper bounds on throughput that the hardware allows from a time on, in
// positions per second.
type Bounds struct {
	At    time.Time // when they begin to hold
	Flow  float64   // with the layers as placed
	Fleet float64   // with the best possible placement
}

// ApplyBounds sets the bounds of a report to their average over the measured part of the run.
// The bounds must be in order of time. The first holds from the start of the run. Call it once
// for a report.
func (r *Run) ApplyBounds(report *Report, bounds []Bounds) {
	windowStart := r.startTime.Add(time.Duration(warmupFraction * float64(r.offerEnd.Sub(r.startTime))))
	flow, fleet := 0.0, 0.0
	for i, bound := range bounds {
		begin, end := bound.At, r.offerEnd
		if i+1 < len(bounds) {
			end = bounds[i+1].At
		}
		if i == 0 || begin.Before(windowStart) {
			begin = windowStart
		}
		fraction := max(0, end.Sub(begin).Seconds()) / r.offerEnd.Sub(windowStart).Seconds()
		flow += fraction * bound.Flow
		fleet += fraction * bound.Fleet
	}
	tokensPerPosition := report.Bound
	report.Bound = flow * tokensPerPosition
	report.FleetBound = fleet * tokensPerPosition
	if flow > 0 {
		report.BoundRatio /= flow
	}
}
