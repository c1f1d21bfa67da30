// SPDX-License-Identifier: Apache-2.0

package command

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/settings"
)

// settingsPollInterval is the interval at which the modification time of the settings file
// is read, since the file may change without a signal.
const settingsPollInterval = 2 * time.Second

// settingsWatcher validates the settings file again after a SIGHUP and after its
// modification time changes.
type settingsWatcher struct {
	file    string
	logger  *slog.Logger
	signals <-chan os.Signal
	done    <-chan struct{}
	modTime time.Time
}

// notifyHangup returns a channel that receives SIGHUP, which reports a changed settings
// file. The signal stays caught until the process exits, also during shutdown: an uncaught
// SIGHUP would terminate the process and cut off every open answer.
func notifyHangup() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// run watches the settings file until done is closed.
func (w *settingsWatcher) run() {
	w.detectChange()
	t := time.NewTicker(settingsPollInterval)
	defer t.Stop()
	for {
		select {
		case <-w.signals:
			w.detectChange()
			w.validate("signal")
		case <-t.C:
			if w.detectChange() {
				w.validate("file changed")
			}
		case <-w.done:
			return
		}
	}
}

// detectChange reports whether the file's modification time differs from the last one
// seen, and stores it.
func (w *settingsWatcher) detectChange() bool {
	info, err := os.Stat(w.file)
	if err != nil || info.ModTime().Equal(w.modTime) {
		return false
	}
	w.modTime = info.ModTime()
	return true
}

// validate checks the changed settings and logs the result. It does not apply them:
// changes to addresses and limits take effect at the next start of the process.
func (w *settingsWatcher) validate(trigger string) {
	content, err := os.ReadFile(w.file)
	if err != nil {
		event.SettingsIgnored.Log(w.logger, slog.String("cause", err.Error()))
		return
	}
	_, mistakes := settings.Read(content)
	if len(mistakes) > 0 {
		event.SettingsIgnored.Log(w.logger, slog.String("cause", mistakes[0].Error()), slog.Int("mistakes", len(mistakes)))
		return
	}
	event.SettingsRead.Log(w.logger, slog.String("why", trigger))
}
