// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/binary"
	"time"

	"pinerun.example/pinerun/protocol"
)

// run is the engine's batch loop.
func (r *Runner) run() {
	report := time.NewTicker(reportLag)
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
		r.pace(passes)
		if r.done.Closed() {
			return // killed in the middle of a batch
		}
		r.answer(batch)
	}
}

// takeBatch removes the steps of the next batch: the most urgent single
// positions up to the batch's budget, and the first chunk of a prompt.
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

// pace sleeps until the batch would be done. It keeps account of oversleeping,
// so that the long-run speed is the configured one.
func (r *Runner) pace(passes int) {
	r.mutex.Lock()
	slowdown := max(1, r.slowdown)
	now := time.Now()
	if r.nextFree.Before(now.Add(-time.Millisecond * 5)) {
		r.nextFree = now
	}
	r.nextFree = r.nextFree.Add(time.Duration(float64(passes) * slowdown / r.Spec.Speed * float64(time.Second)))
	wait := r.nextFree.Sub(now)
	r.mutex.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

// answer runs each step of a batch and replies, one frame a connection.
func (r *Runner) answer(batch []job) {
	if r.ends != nil && r.ends.under(batch) {
		go (&crash{ends: r.ends, runner: r}).run()
		return
	}
	replies := map[*runnerConn][]protocol.Reply{}
	r.mutex.Lock()
	mangle := r.mangle
	for i := range batch {
		reply := r.step(&batch[i].step)
		replies[batch[i].conn] = append(replies[batch[i].conn], reply)
	}
	r.mutex.Unlock()
	for c, rs := range replies {
		c.send(rs, mangle)
	}
}

// step runs one step on the caches, or says why not. The mutex is held.
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

// sequenceFor returns the caches that the step goes on from.
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
			return nil, protocol.FaultFenced // this attempt has begun already
		}
		seq = &sequence{attempt: s.Attempt, caches: make([]uint64, s.Span.Layers())}
		r.sequences[s.Request] = seq
		return seq, protocol.FaultNone
	}
	if seq == nil || seq.attempt != s.Attempt || seq.positions < s.Position {
		return nil, protocol.FaultCacheMissing
	}
	if seq.positions > s.Position {
		return nil, protocol.FaultFenced // ran already
	}
	return seq, protocol.FaultNone
}

// cancel forgets a request's caches and drops its waiting steps.
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
