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
	// lastTaken is how long after it was told to stop an entry still takes new
	// requests: the balancer asks every second and needs two answers, and
	// connections that callers keep are closed as they come to rest.
	lastTaken = 2500 * time.Millisecond
	// stopMargin is how much sooner than its end an entry breaks off what is
	// still open, so that callers get an end of the connection and not silence.
	stopMargin = 250 * time.Millisecond
	// stopLook is how often it is looked whether anything is still open.
	stopLook = 20 * time.Millisecond
)

// Stop ends the entry: it calls itself not ready, finishes what is open, and
// breaks off what is left shortly before it would be killed.
func (f *Front) Stop(now time.Time) {
	f.stopping.Store(true)
	event.EntryStopping.Log(f.Logger, slog.Int64("open", f.forwarder.OpenRequests()))
	f.callers.server.SetKeepAlivesEnabled(false)
	last := now.Add(lastTaken)
	end := f.Settings.StopBy(now).Add(-stopMargin)
	for now.Before(end) {
		if now.After(last) {
			f.forwarder.RefuseNew()
			if f.forwarder.OpenRequests() == 0 && f.held.Held() == 0 {
				break
			}
		}
		time.Sleep(stopLook)
		now = clock.Now()
	}
	f.finish(end)
	event.EntryStopped.Log(f.Logger, slog.Int64("cut_off", f.forwarder.OpenRequests()))
	f.close()
}

// finish lets the answers end whose requests are over, until the end of the entry at most: the
// server writes their last bytes, and some may be held for their callers then.
func (f *Front) finish(end time.Time) {
	till := clock.Now().Add(serving.LastBytes)
	if end.Before(till) {
		till = end
	}
	serving.Finish(&f.callers.server, till)
	for f.held.Held() > 0 && clock.Now().Before(end) {
		time.Sleep(stopLook)
	}
}

func (f *Front) close() {
	f.done.Close()
	for _, w := range f.watchers {
		w.Close()
	}
	f.confirmer.Close()
	f.source.Close()
	f.register.done.Close()
	f.refusals.done.Close()
	f.director.Close()
	f.forwarder.Close()
	f.closeAddresses()
}
