// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// Report says that an entry, the witness, met a sign of some work at an endpoint at a time.
type Report struct {
	work     protocol.Fingerprint
	sign     protocol.WorkObservation
	endpoint string
	life     protocol.Incarnation
	witness  string
	at       time.Time
	inDoubt  bool // it may turn out soon whether the endpoint ended
}

// NewReport returns what a witness told, at a time by the clock of the entry that holds it.
func NewReport(news protocol.RelayWork, at time.Time) Report {
	return Report{work: news.Work, sign: news.Observation, endpoint: news.Endpoint, life: news.Incarnation, witness: news.Observer, at: at}
}

// AsUnresolved returns the report of work that broke at an endpoint of which it may turn out soon
// whether it ended.
func (r Report) AsUnresolved() Report { //nolint:gocritic // a copy is what it returns
	r.inDoubt = true
	return r
}

// Message returns the report as it is told at a time.
func (r *Report) Message(now time.Time) protocol.RelayWork {
	const perMS = float64(time.Millisecond)
	return protocol.RelayWork{
		Work: r.work, Observation: r.sign, Endpoint: r.endpoint, Incarnation: r.life, Observer: r.witness,
		AgoMS: max(0, float64(now.Sub(r.at))/perMS),
	}
}

// Work returns which work it is.
func (r *Report) Work() protocol.Fingerprint { return r.work }

// Observation returns what the witness met.
func (r *Report) Observation() protocol.WorkObservation { return r.sign }

// Endpoint returns the ID of the endpoint.
func (r *Report) Endpoint() string { return r.endpoint }

// Incarnation returns which life of it, 0 if that is not known.
func (r *Report) Incarnation() protocol.Incarnation { return r.life }

// Observer returns the name of the entry that met the sign.
func (r *Report) Observer() string { return r.witness }

// At returns when.
func (r *Report) At() time.Time { return r.at }

// end is one end of an endpoint: a life of it, which ends once.
type end struct {
	endpoint string
	life     protocol.Incarnation
}

func (r *Report) end() end { return end{endpoint: r.endpoint, life: r.life} }
