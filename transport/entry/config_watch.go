// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/state/fleet"
	"pinerun.example/pinerun/transport/platform"
)

// configPause is how long the watch rests after the platform did not answer.
const configPause = 200 * time.Millisecond

// configWatch follows the manifest in the platform.
type configWatch struct {
	entry   *Entry
	version uint64 // object version of the manifest last seen
	reached bool
}

func (w *configWatch) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go (&cancelOnDone{done: w.entry.done.Done(), cancel: cancel}).run()
	for ctx.Err() == nil {
		if err := w.step(ctx); err != nil {
			w.failed(err)
			w.rest()
		}
	}
}

// cancelOnDone cancels a context when a part ends.
type cancelOnDone struct {
	done   <-chan struct{}
	cancel context.CancelFunc
}

func (c *cancelOnDone) run() {
	<-c.done
	c.cancel()
}

func (w *configWatch) rest() {
	t := time.NewTimer(configPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-w.entry.done.Done():
	}
}

func (w *configWatch) step(ctx context.Context) error {
	o, err := w.entry.platform.Watch(ctx, protocol.ObjectManifest, protocol.ManifestName, w.version)
	if err != nil {
		return err
	}
	if !w.reached {
		w.reached = true
		event.PlatformBack.Log(w.entry.Logger)
	}
	if o.Version == w.version {
		return nil
	}
	var m protocol.Manifest
	if err := json.Unmarshal(o.Value, &m); err != nil {
		w.version = o.Version
		w.ignored(err)
		return nil
	}
	if err := w.take(ctx, m); err != nil {
		return err
	}
	w.version = o.Version
	return nil
}

// take fetches the parts that the entry does not hold and puts the
// configuration in force.
func (w *configWatch) take(ctx context.Context, m protocol.Manifest) error {
	parts := map[string][]byte{}
	for _, ref := range m.Parts {
		content, err := w.entry.part(ctx, ref.Hash)
		if err != nil {
			return err
		}
		parts[ref.Hash] = content
	}
	c, err := config.Build(m, parts)
	if err != nil {
		w.ignored(err)
		return nil
	}
	w.entry.parts.keep(parts)
	w.entry.putInForce(c)
	return nil
}

func (w *configWatch) ignored(err error) {
	w.entry.counters.Add(metric.ConfigIgnored, 1)
	event.ConfigIgnored.Log(w.entry.Logger, slog.Any("cause", err))
}

func (w *configWatch) failed(err error) {
	var missing *platform.NotFound
	if errors.As(err, &missing) || !w.reached {
		return
	}
	w.reached = false
	event.PlatformUnreached.Log(w.entry.Logger, slog.Any("cause", err))
}

// part returns a part's content from what is held, else from the platform.
func (e *Entry) part(ctx context.Context, hash string) ([]byte, error) {
	if content := e.parts.get(hash); content != nil {
		return content, nil
	}
	o, err := e.platform.Get(ctx, protocol.ObjectPart, hash)
	return o.Value, err
}

// putInForce takes a configuration if it is higher than the one in force.
func (e *Entry) putInForce(c *config.Config) bool {
	e.inForce.Lock()
	defer e.inForce.Unlock()
	if !e.store.Offer(c) {
		return false
	}
	view := fleet.Build(e.view.Load(), c, e.Settings.DataCenter)
	e.view.Store(view)
	e.pool.Keep(view)
	e.counters.Add(metric.ConfigAccepted, 1)
	event.ConfigInForce.Log(e.Logger, slog.Uint64("version", c.Version()))
	return true
}
