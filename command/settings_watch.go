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

// settingsEvery is how often the settings file is looked at: it may change without
// a signal.
const settingsEvery = 2 * time.Second

// settingsWatch reads the settings file again when a signal says that it has
// changed, and when its time of change says so.
type settingsWatch struct {
	file    string
	logger  *slog.Logger
	signals <-chan os.Signal
	done    <-chan struct{}
	seen    time.Time
}

// catchHangups returns the signals that say that the settings file has changed. They
// stay caught until the process has ended, also while it stops: one that nobody
// catches ends the process at once, with every open answer.
func catchHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

func (w *settingsWatch) run() {
	w.changed()
	t := time.NewTicker(settingsEvery)
	defer t.Stop()
	for {
		select {
		case <-w.signals:
			w.changed()
			w.read("signal")
		case <-t.C:
			if w.changed() {
				w.read("file changed")
			}
		case <-w.done:
			return
		}
	}
}

// changed reports whether the file's time of change is another than last seen.
func (w *settingsWatch) changed() bool {
	info, err := os.Stat(w.file)
	if err != nil || info.ModTime().Equal(w.seen) {
		return false
	}
	w.seen = info.ModTime()
	return true
}

// read checks the changed settings. Addresses and limits stay those of the start:
// what changes while the process runs is told, and in force from its next start.
func (w *settingsWatch) read(why string) {
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
	event.SettingsRead.Log(w.logger, slog.String("why", why))
}
