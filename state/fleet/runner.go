// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"math"
	"sync/atomic"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Link is the class of the network link between an entry and a runner.
type Link uint8

// The link classes, fastest first. A slow link has a hundred times the latency of a near
// one.
const (
	Near Link = iota
	Far
	Slow
)

// Runner is an entry's state for one engine. Its methods are safe for concurrent use and
// do not allocate.
type Runner struct {
	spec             protocol.Runner
	link             Link
	outstanding      atomic.Int64  // layer passes sent and not answered
	queued           atomic.Int64  // layer passes, as last reported
	sentSince        atomic.Int64  // layer passes sent since that report
	backlog          atomic.Int64  // layer passes that this entry's streams still need here
	reportedAt       atomic.Int64  // unix nanoseconds
	slowdown         atomic.Uint64 // running mean of actual over expected time, a float
	deviation        atomic.Uint64
	measuredAt       atomic.Int64  // unix nanoseconds
	heardAt          atomic.Int64  // unix nanoseconds
	reachedAt        atomic.Int64  // unix nanoseconds
	usedByOthers     atomic.Uint64 // layer passes that other entries' requests held by the last report, a float
	usedUntil        atomic.Int64  // unix nanoseconds until when usedByOthers is trusted
	ejectedUntil     atomic.Int64  // unix nanoseconds
	suspectUntil     atomic.Int64  // unix nanoseconds
	lostSince        atomic.Int64  // unix nanoseconds when the runner was found lost, 0 if it is not
	refusedConn      atomic.Bool   // the lost runner refused a connection
	lostAt           atomic.Int64  // unix nanoseconds of the observations that reported the runner lost
	lostUntil        atomic.Int64  // unix nanoseconds at which they expire, 0 for none
	reportedSlowdown atomic.Uint64 // slowdown by the reports of entries, a float
	slowSince        atomic.Int64  // unix nanoseconds from which the reported slowdown holds
	slowUntil        atomic.Int64  // unix nanoseconds at which it expires, 0 if the runner is not slow
	onTimeAt         atomic.Int64  // unix nanoseconds of the last event that came through the runner without delay
	failures         atomic.Int64
	refusals         atomic.Int64
	leaving          atomic.Bool // by the configuration or the engine itself
	vmLeaving        atomic.Bool // by the platform's list of VMs

	// servedSentAt holds unix nanoseconds by urgency, see Served.
	servedSentAt [protocol.LeastUrgent + 1]atomic.Int64
}

// NewRunner returns a runner without measurements. The data center is that of the entry.
func NewRunner(spec protocol.Runner, dataCenter string) *Runner {
	r := &Runner{spec: spec, link: linkClass(spec, dataCenter)}
	r.leaving.Store(spec.Drain)
	r.slowdown.Store(math.Float64bits(1))
	r.deviation.Store(math.Float64bits(initialDeviation))
	return r
}

// linkClass returns the class of the link to a runner: the configured one, near by default.
func linkClass(spec protocol.Runner, dataCenter string) Link {
	switch {
	case spec.Link == "slow":
		return Slow
	case spec.Link == "far":
		return Far
	case spec.Link == "near" || spec.DataCenter == dataCenter:
		return Near
	default:
		return Near // data centers of one region are within half a millisecond
	}
}

// Spec returns the runner's configuration.
func (r *Runner) Spec() protocol.Runner { return r.spec }

// Name returns the runner's name.
func (r *Runner) Name() string { return r.spec.Name }

// Span returns the layers that the runner holds.
func (r *Runner) Span() protocol.Span { return protocol.Span{From: r.spec.From, To: r.spec.To} }

// Link returns the class of the link to the runner.
func (r *Runner) Link() Link { return r.link }

// Leaving reports whether the runner is known to be leaving.
func (r *Runner) Leaving() bool { return r.leaving.Load() || r.vmLeaving.Load() }

// SetVMLeaving sets whether the runner's VM is listed as leaving.
func (r *Runner) SetVMLeaving(leaving bool) { r.vmLeaving.Store(leaving) }

// DeclaredLeaving reports whether the configuration or the engine itself declares that the
// runner is leaving, whatever the list of VMs says.
func (r *Runner) DeclaredLeaving() bool { return r.leaving.Load() }

// MarkLeaving notes that the runner takes no new work from now on, and reports whether that
// is a change.
func (r *Runner) MarkLeaving() bool { return !r.leaving.Swap(true) }

// Heard notes that the runner sent a message.
func (r *Runner) Heard(now time.Time) { r.heardAt.Store(now.UnixNano()) }

// HeardAt returns when the runner last sent a message.
func (r *Runner) HeardAt() time.Time { return time.Unix(0, r.heardAt.Load()) }

// Reached notes that the runner sent a message on a connection of this entry, not through another runner.
func (r *Runner) Reached(now time.Time) { r.reachedAt.Store(now.UnixNano()) }

// ReachedAt returns when the runner last sent a message on a connection of this entry, the zero time for
// never.
func (r *Runner) ReachedAt() time.Time {
	if at := r.reachedAt.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Served notes that an event of a request came through the runner. The request was sent at the given
// time with an urgency from 0, the most urgent.
func (r *Runner) Served(sentAt time.Time, urgency int) {
	latest := &r.servedSentAt[min(max(0, urgency), protocol.LeastUrgent)]
	for sent := sentAt.UnixNano(); ; {
		before := latest.Load()
		if sent <= before || latest.CompareAndSwap(before, sent) {
			return
		}
	}
}

// ServedSentAt returns when the latest served request was sent that was no more urgent than the given
// urgency.
func (r *Runner) ServedSentAt(urgency int) time.Time {
	latest := int64(0)
	for u := min(max(0, urgency), protocol.LeastUrgent); u <= protocol.LeastUrgent; u++ {
		latest = max(latest, r.servedSentAt[u].Load())
	}
	return time.Unix(0, latest)
}
