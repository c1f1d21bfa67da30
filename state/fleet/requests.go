// SPDX-License-Identifier: Apache-2.0

package fleet

import "time"

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
