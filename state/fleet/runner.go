// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Link is the class of the way between an entry and a runner.
type Link uint8

// The link classes, from the fastest. A slow link is a hundred times slower
// than a near one.
const (
	Near Link = iota
	Far
	Slow
)

// Runner is what an entry believes of one engine. Its methods are safe for use
// by many goroutines and cost no allocation.
type Runner struct {
	spec        protocol.Runner
	link        Link
	outstanding atomic.Int64  // layer passes sent and not answered
	queued      atomic.Int64  // layer passes, as last reported
	sentSince   atomic.Int64  // layer passes sent since that report
	pledged     atomic.Int64  // layer passes that this entry's streams still need here
	reportedAt  atomic.Int64  // unix nanoseconds
	slowness    atomic.Uint64 // taken over expected time, a running mean
	deviation   atomic.Uint64
	measuredAt  atomic.Int64  // unix nanoseconds
	heardAt     atomic.Int64  // unix nanoseconds
	used        atomic.Uint64 // layer passes that others' requests held by the last word, a float
	usedTill    atomic.Int64  // unix nanoseconds until when that is believed
	ejectedTill atomic.Int64  // unix nanoseconds
	suspectTill atomic.Int64  // unix nanoseconds
	lostAt      atomic.Int64  // unix nanoseconds of the signs by which others took it as lost
	lostTill    atomic.Int64  // unix nanoseconds until when they count, 0 for none
	pace        atomic.Uint64 // how many times longer than usual its work takes by the word of entries, a float
	slowSince   atomic.Int64  // unix nanoseconds from which its pace is that
	slowTill    atomic.Int64  // unix nanoseconds until when that counts, 0 for not slow
	onTimeAt    atomic.Int64  // unix nanoseconds of the last event that came through it without delay
	failures    atomic.Int64
	refusals    atomic.Int64
	leaving     atomic.Bool // by the configuration, or by the engine's own word
	vmLeaving   atomic.Bool // by the platform's list of VMs
}

// NewRunner returns a runner of which nothing has been measured yet.
func NewRunner(spec protocol.Runner, home string) *Runner {
	r := &Runner{spec: spec, link: classify(spec, home)}
	r.leaving.Store(spec.Drain)
	r.slowness.Store(math.Float64bits(1))
	r.deviation.Store(math.Float64bits(initialDeviation))
	return r
}

func classify(spec protocol.Runner, home string) Link {
	switch {
	case spec.Link == "slow":
		return Slow
	case spec.Link == "far":
		return Far
	case spec.Link == "near" || spec.DataCenter == home:
		return Near
	default:
		return Near // data centers of one region are within half a millisecond
	}
}

// Spec returns the runner as configured.
func (r *Runner) Spec() protocol.Runner { return r.spec }

// Name returns the runner's name.
func (r *Runner) Name() string { return r.spec.Name }

// Span returns the layers that the runner holds.
func (r *Runner) Span() protocol.Span { return protocol.Span{From: r.spec.From, To: r.spec.To} }

// Link returns the class of the way to the runner.
func (r *Runner) Link() Link { return r.link }

// Leaving reports whether the runner is known to be leaving.
func (r *Runner) Leaving() bool { return r.leaving.Load() || r.vmLeaving.Load() }

// SetVMLeaving notes whether the runner's VM is listed as leaving.
func (r *Runner) SetVMLeaving(leaving bool) { r.vmLeaving.Store(leaving) }

// DeclaredLeaving reports whether the configuration or the engine itself says that
// the runner is leaving, whatever the list of VMs says.
func (r *Runner) DeclaredLeaving() bool { return r.leaving.Load() }

// MarkLeaving notes that the runner takes no new work from now on.
func (r *Runner) MarkLeaving() bool { return !r.leaving.Swap(true) }

// Heard notes that the runner sent something.
func (r *Runner) Heard(now time.Time) { r.heardAt.Store(now.UnixNano()) }

// HeardAt returns when the runner last sent anything.
func (r *Runner) HeardAt() time.Time { return time.Unix(0, r.heardAt.Load()) }
