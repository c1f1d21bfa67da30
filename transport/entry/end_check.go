// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"syscall"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

const (
	// checkEvery is the pause between two questions to a runner of which it is not clear whether
	// it has ended.
	checkEvery = 50 * time.Millisecond
	// checkLimit bounds one question.
	checkLimit = 500 * time.Millisecond
)

// endCheck finds out whether a life of a runner has ended whose connection broke.
type endCheck struct {
	suspects *suspects
	runner   *fleet.Runner
	life     protocol.Lifetime
	at       time.Time // of day, when what broke was there
	till     time.Time
	again    bool // more broke since the last question; guarded by the mutex of suspects
}

func (k *endCheck) run() {
	pause := time.NewTicker(checkEvery)
	defer pause.Stop()
	book, name := &k.suspects.book, k.runner.Name()
	for {
		asked := clock.Now()
		found := k.ask()
		switch found {
		case quarantine.EndOver:
			book.Ended(name, k.life, asked)
		case quarantine.EndAnswers, quarantine.EndLives:
			book.Lives(name, k.life, found == quarantine.EndLives, asked)
		case quarantine.EndUnclear:
			book.Unclear(name, k.life)
		}
		if !k.suspects.goesOn(k, found) {
			return
		}
		select {
		case <-pause.C:
		case <-k.suspects.done.Done():
			return
		}
	}
}

// ask asks the runner once how it stands. A port that refuses connections has no process; one that
// takes them and says nothing proves nothing.
func (k *endCheck) ask() quarantine.Ending {
	ctx, cancel := context.WithTimeout(context.Background(), checkLimit)
	defer cancel()
	report, err := k.load(ctx)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.EndOver
	case err != nil:
		return quarantine.EndUnclear
	default:
		return quarantine.EndingOf(k.life, report.Lifetime, k.at)
	}
}

func (k *endCheck) load(ctx context.Context) (protocol.LoadReport, error) {
	var l protocol.LoadReport
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+k.runner.Spec().Address+"/load", nil)
	if err != nil {
		return l, err
	}
	q.Close = true // a connection that rests would tell of the process before
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return l, err
	}
	defer res.Body.Close()
	return l, json.NewDecoder(http.MaxBytesReader(nil, res.Body, protocol.MaxFrameBytes)).Decode(&l)
}
