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
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// checkLimit bounds one question.
const checkLimit = 500 * time.Millisecond

// endCheck asks a runner whether a life of it has ended whose connection broke.
type endCheck struct {
	runner *fleet.Runner
	life   protocol.Incarnation
	at     time.Time // of day, when what broke was there
}

// Probe asks the runner once how it stands. A port that refuses connections has no process; one that
// takes them and says nothing proves nothing.
func (k *endCheck) Probe() quarantine.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), checkLimit)
	defer cancel()
	report, err := k.load(ctx)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.ProbeCrashed
	case err != nil:
		return quarantine.ProbeInconclusive
	default:
		return quarantine.ClassifyAnswer(k.life, report.Lifetime, k.at)
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
