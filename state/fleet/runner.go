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

// linkSeconds is the expected time there and back, before anything is measured.
var linkSeconds = [...]float64{Near: 0.0005, Far: 0.005, Slow: 0.05}

const (
	// batchSeconds is the least time that a step is expected to take at an
	// engine, which works in batches.
	batchSeconds = 0.002
	// smoothing is the weight of a new sample in a running mean.
	smoothing = 0.1
	// initialDeviation is the deviation of slowness before anything is measured.
	initialDeviation = 0.5
	// maxSlowness bounds a sample of slowness.
	maxSlowness = 1000
	// forgetSlowness is the time in which half of what a runner has shown is
	// forgotten, so that one left out for slowness is tried again.
	forgetSlowness = 5 * time.Second
	// ejectFirst and ejectMost bound how long a failing runner is left out.
	ejectFirst = 500 * time.Millisecond
	ejectMost  = 30 * time.Second
	ejectRuns  = 6
	// reportTrust is the age at which a load report counts for nothing.
	reportTrust = 5 * time.Second
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
	measuredAt  atomic.Int64 // unix nanoseconds
	heardAt     atomic.Int64 // unix nanoseconds
	begun       atomic.Int64 // requests of this entry that begin here and are open
	told        atomic.Int64 // requests of all entries here, as last told
	toldAt      atomic.Int64 // unix nanoseconds
	begunSince  atomic.Int64 // requests of this entry begun since then
	ejectedTill atomic.Int64 // unix nanoseconds
	suspectTill atomic.Int64 // unix nanoseconds
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

// Usable reports whether new work may be sent to the runner.
func (r *Runner) Usable(now time.Time) bool {
	return !r.Leaving() && now.UnixNano() >= max(r.ejectedTill.Load(), r.suspectTill.Load())
}

// Leaving reports whether the runner is known to be leaving.
func (r *Runner) Leaving() bool { return r.leaving.Load() || r.vmLeaving.Load() }

// SetVMLeaving notes whether the runner's VM is listed as leaving.
func (r *Runner) SetVMLeaving(leaving bool) { r.vmLeaving.Store(leaving) }

// SaysLeaving reports whether the configuration or the engine itself says that
// the runner is leaving, whatever the list of VMs says.
func (r *Runner) SaysLeaving() bool { return r.leaving.Load() }

// MarkLeaving notes that the runner takes no new work from now on.
func (r *Runner) MarkLeaving() bool { return !r.leaving.Swap(true) }

// Wait returns the seconds that a step sent now is expected to queue: the last
// report less what was worked off since, plus what this entry sent since.
func (r *Runner) Wait(now time.Time) float64 {
	own := float64(r.outstanding.Load())
	age := float64(now.UnixNano()-r.reportedAt.Load()) / float64(time.Second)
	if age < 0 || age > reportTrust.Seconds() {
		return own / r.spec.Speed
	}
	reported := float64(r.queued.Load()+r.sentSince.Load()) - r.spec.Speed*age
	return max(own, reported) / r.spec.Speed
}

// Expected returns the seconds until the reply to a step of that many positions
// if the runner keeps its configured speed.
func (r *Runner) Expected(now time.Time, positions int) float64 {
	work := float64(positions*r.Span().Layers()) / r.spec.Speed
	return r.Wait(now) + work + batchSeconds + linkSeconds[r.link]
}

// Cost returns the seconds until the reply to a step of that many positions, by
// what the runner has shown lately.
func (r *Runner) Cost(now time.Time, positions int) float64 {
	slowness, _ := r.Slowness(now)
	return r.Expected(now, positions) * slowness
}

// crowding is how many times longer a layer is taken to need at a runner whose
// room is full of this entry's requests and of as many of each entry beside it.
const crowding = 6.0

// Parts returns the expected seconds of a whole request that reads and writes so
// many tokens: those whatever the number of layers, and those for each layer.
// Sharers is how many entries send to the runner; each is taken to send alike.
func (r *Runner) Parts(now time.Time, read, write int, sharers float64) (fixed, layer float64) {
	slowness, _ := r.Slowness(now)
	fixed = slowness * (r.Wait(now) + batchSeconds + linkSeconds[r.link])
	layer = slowness * (float64(read)/r.spec.Speed + float64(write)*r.spec.Step)
	if r.spec.Room > 0 {
		full := sharers * float64(r.outstanding.Load()) / float64(r.Span().Layers()) / r.spec.Room
		layer *= 1 + crowding*full*full
	}
	return fixed, layer
}

// Pledge notes that this entry's streams will need that many more layer passes
// here, or fewer when it is negative.
func (r *Runner) Pledge(passes int64) { r.pledged.Add(passes) }

// Pledged returns the seconds of work that this entry's streams still need here.
func (r *Runner) Pledged() float64 { return float64(r.pledged.Load()) / r.spec.Speed }

// Sent notes that a step of that many layer passes left for the runner.
func (r *Runner) Sent(passes int64) {
	r.outstanding.Add(passes)
	r.sentSince.Add(passes)
}

// Settled notes that a step was answered, or given up.
func (r *Runner) Settled(passes int64) { r.outstanding.Add(-passes) }

// Measured notes how long a step took that was expected to take that many
// seconds, and ends any ejection.
func (r *Runner) Measured(took time.Duration, expected float64, now time.Time) {
	mean, dev := r.Slowness(now)
	sample := min(took.Seconds()/expected, maxSlowness)
	dev += smoothing * (math.Abs(sample-mean) - dev)
	mean += smoothing * (sample - mean)
	r.slowness.Store(math.Float64bits(mean))
	r.deviation.Store(math.Float64bits(dev))
	r.measuredAt.Store(now.UnixNano())
	r.failures.Store(0)
}

// Overdue notes that a step expected to take that many seconds was given up
// after a time. The next bound is twice as long, so that a runner slower than it
// is configured is found out instead of being given up again and again.
func (r *Runner) Overdue(took time.Duration, expected float64, now time.Time) {
	mean, _ := r.Slowness(now)
	r.slowness.Store(math.Float64bits(min(maxSlowness, max(mean, 2*took.Seconds()/expected))))
	r.measuredAt.Store(now.UnixNano())
}

// Slowness returns how many times longer than expected the runner's steps take,
// and the mean deviation of that. Both fade as they grow old.
func (r *Runner) Slowness(now time.Time) (mean, deviation float64) {
	mean = math.Float64frombits(r.slowness.Load())
	deviation = math.Float64frombits(r.deviation.Load())
	if mean <= 1 {
		return mean, deviation
	}
	age := now.UnixNano() - r.measuredAt.Load()
	if age <= 0 {
		return mean, deviation
	}
	kept := math.Exp2(-float64(age) / float64(forgetSlowness))
	return 1 + (mean-1)*kept, deviation
}

// toldTrust is how long what a runner told of its requests is believed.
const toldTrust = 1500 * time.Millisecond

// Begin notes that a request of this entry begins at the runner.
func (r *Runner) Begin() {
	r.begun.Add(1)
	r.begunSince.Add(1)
}

// End notes that a request that began at the runner is over.
func (r *Runner) End() { r.begun.Add(-1) }

// Told takes how many requests of all entries the runner runs and lets wait, as
// it says in an answer.
func (r *Runner) Told(requests int64, now time.Time) {
	r.told.Store(requests)
	r.begunSince.Store(0)
	r.toldAt.Store(now.UnixNano())
}

// Requests returns how many requests of all entries have begun at the runner, as
// far as this entry knows.
func (r *Runner) Requests(now time.Time) int64 {
	own := r.begun.Load()
	if now.UnixNano()-r.toldAt.Load() > int64(toldTrust) {
		return own
	}
	return max(own, r.told.Load()+r.begunSince.Load())
}

// Heard notes that the runner sent something.
func (r *Runner) Heard(now time.Time) { r.heardAt.Store(now.UnixNano()) }

// HeardAt returns when the runner last sent anything.
func (r *Runner) HeardAt() time.Time { return time.Unix(0, r.heardAt.Load()) }

// EjectedTill returns until when the runner is left out.
func (r *Runner) EjectedTill() time.Time { return time.Unix(0, r.ejectedTill.Load()) }

// Failed leaves the runner out for a time that doubles with each failure in a
// row, and returns until when.
func (r *Runner) Failed(now time.Time) time.Time {
	runs := min(r.failures.Add(1)-1, ejectRuns)
	till := now.Add(min(ejectFirst<<runs, ejectMost))
	r.ejectedTill.Store(till.UnixNano())
	return till
}

// ReportFault says why a load report was not believed.
type ReportFault uint8

// The reasons to ignore a load report.
const (
	ReportTaken ReportFault = iota
	ReportOfOther
	ReportImpossible
	ReportFuture
	ReportOld
)

// LeaveOut leaves the runner out until a time without counting a failure, because
// it has no room now.
func (r *Runner) LeaveOut(till time.Time) {
	if n := till.UnixNano(); n > r.ejectedTill.Load() {
		r.ejectedTill.Store(n)
	}
}

// Suspect leaves the runner out until a time, while it is not clear whether it is
// the one at fault.
func (r *Runner) Suspect(till time.Time) { r.suspectTill.Store(till.UnixNano()) }

// Works notes that the runner was seen to work: it is no suspect, and what failed
// before counts no longer.
func (r *Runner) Works() {
	if r.suspectTill.Load() != 0 {
		r.suspectTill.Store(0)
	}
	if r.failures.Load() != 0 {
		r.failures.Store(0)
		r.ejectedTill.Store(0)
	}
}

// refusedFirst and refusedMost bound how long a runner that did not run a request
// gets no new work: for want of memory it is over in tens of ms, when it leaves or
// gives layers up not at all.
const (
	refusedFirst = 150 * time.Millisecond
	refusedRuns  = 4
)

// Refused notes that the runner did not run a request. It gets no new work for a
// time that doubles with each refusal in a row.
func (r *Runner) Refused(now time.Time) {
	runs := min(r.refusals.Add(1)-1, refusedRuns)
	r.LeaveOut(now.Add(refusedFirst << runs))
}

// Accepted notes that the runner runs a request that was sent after it last
// refused one.
func (r *Runner) Accepted() {
	if r.refusals.Load() != 0 {
		r.refusals.Store(0)
	}
}

// lostAfter is how many failures in a row, without a sign that the runner works,
// make it likely that it won't come back.
const lostAfter = 2

// Lost reports whether the runner is likely to be dead, although it is still
// listed: a record goes only after several missed heartbeats.
func (r *Runner) Lost() bool { return r.failures.Load() >= lostAfter }

// maxReportSkew is how far ahead a report's clock may run.
const maxReportSkew = 2 * time.Second

// Report takes a load report, or says why it was ignored.
func (r *Runner) Report(l protocol.LoadReport, now time.Time) ReportFault {
	at := time.UnixMilli(l.UnixMS)
	switch {
	case l.Runner != r.spec.Name:
		return ReportOfOther
	case l.Queued < 0 || l.Streams < 0 || l.From != r.spec.From || l.To != r.spec.To:
		return ReportImpossible
	case at.After(now.Add(maxReportSkew)):
		return ReportFuture
	case now.Sub(at) > reportTrust:
		return ReportOld
	}
	r.queued.Store(l.Queued)
	r.sentSince.Store(0)
	r.reportedAt.Store(min(at.UnixNano(), now.UnixNano()))
	if l.Leaving {
		r.MarkLeaving()
	}
	return ReportTaken
}

// Reported returns the layer passes queued at the runner by its last report,
// uncorrected.
func (r *Runner) Reported() float64 { return float64(r.queued.Load()) }
