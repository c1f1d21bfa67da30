// SPDX-License-Identifier: Apache-2.0

package front

import (
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/serving"
)

const (
	// acceptPeriod is how long an entry accepts new requests after it was told to stop. The load
	// balancer probes every second and needs two failed probes, and connections that callers keep
	// alive are closed as they become idle.
	acceptPeriod = 2500 * time.Millisecond
	// abortMargin is how long before the stop deadline an entry aborts what is still open, so that
	// callers see the connection close and not silence.
	abortMargin = 250 * time.Millisecond
	// cutOffPeriod is how much of abortMargin is for the refusals of what is aborted.
	cutOffPeriod = 100 * time.Millisecond
	// stopPollInterval is how often the entry checks whether any request is still open.
	stopPollInterval = 20 * time.Millisecond
)

// Stop stops the entry: it reports not ready, finishes open requests, and aborts what is left
// shortly before the process would be killed.
func (f *Front) Stop(now time.Time) {
	f.stopping.Store(true)
	event.EntryStopping.Log(f.Logger, slog.Int64("open", f.forwarder.OpenRequests()))
	f.forwarder.CloseConnections()
	acceptUntil := now.Add(acceptPeriod)
	abortAt := f.Settings.StopBy(now).Add(-abortMargin)
	f.forwarder.StopAt(abortAt)
	for now.Before(abortAt) {
		f.callers.closeKept(false)
		if now.After(acceptUntil) {
			f.forwarder.RefuseNew()
			if f.forwarder.OpenRequests() == 0 && f.memoryBudget.Held() == 0 && f.tunnels.Open() == 0 {
				break
			}
		}
		time.Sleep(stopPollInterval)
		now = clock.Now()
	}
	cutOff := f.forwarder.OpenRequests()
	if cutOff > 0 {
		f.forwarder.CutOff()
		abortAt = abortAt.Add(cutOffPeriod)
	}
	f.finishResponses(abortAt)
	event.EntryStopped.Log(f.Logger, slog.Int64("cut_off", cutOff))
	f.close()
}

// finishResponses lets the server write the last bytes of responses whose requests are over, and
// waits until no response is buffered for a caller, until limit at most.
func (f *Front) finishResponses(limit time.Time) {
	deadline := clock.Now().Add(serving.FlushTimeout)
	if limit.Before(deadline) {
		deadline = limit
	}
	f.callers.finish(deadline)
	for f.memoryBudget.Held() > 0 && clock.Now().Before(limit) {
		time.Sleep(stopPollInterval)
	}
}

// close stops every component.
func (f *Front) close() {
	f.done.Close()
	f.scheduling.Close()
	for _, w := range f.watchers {
		w.Close()
	}
	f.confirmer.Close()
	f.source.Close()
	f.tunnels.Close()
	f.registration.done.Close()
	f.refusals.done.Close()
	f.director.Close()
	f.forwarder.Close()
	f.closeAddresses()
}
