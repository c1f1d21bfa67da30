// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/binary"
	"time"

	"pinerun.example/pinerun/protocol"
)

// run sends load reports and runs batches until the engine is closed.
func (r *Runner) run() {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case <-r.done.Done():
			return
		case <-report.C:
			r.report()
		case <-r.wake:
			r.runBatches()
		}
	}
}

func (r *Runner) runBatches() {
	for !r.done.Closed() {
		batch, passes := r.takeBatch()
		if len(batch) == 0 {
			return
		}
		r.waitForBatch(passes)
		if r.done.Closed() {
			return // killed during the batch
		}
		r.executeBatch(batch)
	}
}

// takeBatch removes the steps of the next batch from the queue: the single positions of
// highest priority up to the budget of the batch, and at most one prompt chunk. It also
// returns the number of layer passes of the batch.
func (r *Runner) takeBatch() ([]job, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	budget := int(r.Spec.Speed * batchTime.Seconds())
	var batch, kept []job
	passes, chunks := 0, 0
	for _, j := range r.queue {
		cost := j.step.Count * j.step.Span.Layers()
		chunk := j.step.Count > 1
		if passes > 0 && (chunk && chunks > 0 || !chunk && passes+cost > budget) {
			kept = append(kept, j)
			continue
		}
		if chunk {
			chunks++
		}
		passes += cost
		batch = append(batch, j)
	}
	r.queue = kept
	return batch, passes
}

// waitForBatch sleeps for the duration of a batch. It compensates for oversleeping, so
// that the average speed matches the configured one.
func (r *Runner) waitForBatch(passes int) {
	r.mutex.Lock()
	slowdown := max(1, r.slowdown)
	now := time.Now()
	if r.busyUntil.Before(now.Add(-time.Millisecond * 5)) {
		r.busyUntil = now
	}
	r.busyUntil = r.busyUntil.Add(time.Duration(float64(passes) * slowdown / r.Spec.Speed * float64(time.Second)))
	wait := r.busyUntil.Sub(now)
	r.mutex.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

// executeBatch runs the steps of a batch and sends the replies, one frame per connection.
// If a prompt in the batch triggers a crash, the engine crashes instead.
func (r *Runner) executeBatch(batch []job) {
	if r.crashTrigger != nil && r.crashTrigger.triggeredBy(batch) {
		go (&crash{trigger: r.crashTrigger, runner: r}).run()
		return
	}
	replies := map[*runnerConn][]protocol.Reply{}
	r.mutex.Lock()
	faults := r.replyFaults
	for i := range batch {
		reply := r.step(&batch[i].step)
		replies[batch[i].conn] = append(replies[batch[i].conn], reply)
	}
	r.mutex.Unlock()
	for c, rs := range replies {
		c.send(rs, faults)
	}
}

// step runs one step on the caches and returns its reply, which carries a fault if the
// step can't run. The caller holds the mutex.
func (r *Runner) step(s *protocol.Step) protocol.Reply {
	reply := protocol.Reply{
		Request: s.Request, Attempt: s.Attempt, Number: s.Number, Position: s.Position,
		Count: s.Count, Span: s.Span, Epoch: s.Epoch,
	}
	seq, fault := r.sequenceFor(s)
	if fault != protocol.FaultNone {
		reply.Fault = fault
		return reply
	}
	r.ExecutionLog.add(r.Spec.Name, s)
	reply.Hidden = make([]byte, s.Count*protocol.HiddenStateBytes)
	var hidden uint64
	for i := range s.Count {
		hidden = stepInput(s, i)
		for l := range seq.caches {
			hidden, seq.caches[l] = runLayer(s.Span.From+l, hidden, seq.caches[l])
		}
		binary.LittleEndian.PutUint64(reply.Hidden[i*protocol.HiddenStateBytes:], hidden)
	}
	seq.positions = s.Position + s.Count
	r.prefixes.store(s, seq)
	if s.Span.To == r.Layers {
		reply.Hidden = nil
		reply.Token = pickToken(hidden)
	}
	return reply
}

// sequenceFor returns the sequence that a step continues or starts, or the fault for which
// the step can't run.
func (r *Runner) sequenceFor(s *protocol.Step) (*sequence, protocol.Fault) {
	if s.Span.From != r.Spec.From || s.Span.To != r.Spec.To || s.Epoch != r.Spec.Epoch {
		return nil, protocol.FaultWrongLayers
	}
	seq := r.sequences[s.Request]
	if seq != nil && (s.Attempt < seq.attempt || seq.cancelled && s.Attempt == seq.attempt) {
		return nil, protocol.FaultFenced
	}
	if s.Position == 0 {
		if seq == nil && r.leaving {
			return nil, protocol.FaultLeaving
		}
		if seq == nil && len(r.sequences) >= maxSequences {
			return nil, protocol.FaultOverload
		}
		if seq != nil && seq.attempt == s.Attempt {
			return nil, protocol.FaultFenced // this attempt has already started
		}
		seq = &sequence{attempt: s.Attempt, caches: make([]uint64, s.Span.Layers())}
		r.sequences[s.Request] = seq
		return seq, protocol.FaultNone
	}
	if seq == nil || seq.attempt != s.Attempt || seq.positions < s.Position {
		return nil, protocol.FaultCacheMissing
	}
	if seq.positions > s.Position {
		return nil, protocol.FaultFenced // already ran
	}
	return seq, protocol.FaultNone
}

// cancel deletes the caches of a request and removes its steps from the queue, up to the
// cancelled attempt.
func (r *Runner) cancel(c protocol.Cancel) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if seq := r.sequences[c.Request]; seq != nil && seq.attempt <= c.Attempt {
		delete(r.sequences, c.Request)
	}
	kept := r.queue[:0]
	for _, j := range r.queue {
		if j.step.Request != c.Request || j.step.Attempt > c.Attempt {
			kept = append(kept, j)
		}
	}
	r.queue = kept
}
