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
	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/fleet"
)

// probeTimeout is the time limit of one probe.
const probeTimeout = 500 * time.Millisecond

// crashProbe probes a runner whose connection broke, to find out whether an incarnation of it
// has crashed.
type crashProbe struct {
	runner      *fleet.Runner
	incarnation protocol.Incarnation
	sentAt      time.Time // time of day at which the interrupted step was sent
}

// Probe probes the runner once. If its port refuses connections, no process is running. If the port
// accepts a connection but nothing responds, the probe is inconclusive.
func (p *crashProbe) Probe() quarantine.ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := p.fetchLoad(ctx)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.ProbeCrashed
	case err != nil:
		return quarantine.ProbeInconclusive
	default:
		return quarantine.ClassifyAnswer(p.incarnation, report.Incarnation, p.sentAt)
	}
}

// fetchLoad requests the runner's load report, which names its incarnation.
func (p *crashProbe) fetchLoad(ctx context.Context) (protocol.LoadReport, error) {
	var report protocol.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.runner.Spec().Address+"/load", nil)
	if err != nil {
		return report, err
	}
	req.Close = true // an idle connection may belong to the previous process
	resp, err := limited.Client.Do(req)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	return report, json.NewDecoder(http.MaxBytesReader(nil, resp.Body, protocol.MaxFrameBytes)).Decode(&report)
}
