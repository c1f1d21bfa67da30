// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"slices"
	"time"
)

// WorkObservation is what an entry observed when it sent some work to an endpoint.
type WorkObservation uint8

// The observations of work.
const (
	WorkBroke             WorkObservation = iota + 1 // its answer was aborted or went silent soon after it began to run there
	WorkRan                                          // it ran there and the endpoint survived
	WorkIsolatedRun                                  // the entry runs it there without other work, to find out whether it crashes the endpoint
	WorkIsolatedRunOver                              // the isolated run is over
	WorkBrokeAtLaterStage                            // it waited for that endpoint, a later stage of its path, when the endpoint was lost
)

// String returns the observation as it appears in logs.
func (s WorkObservation) String() string {
	switch s {
	case WorkBroke:
		return "broke"
	case WorkRan:
		return "ran"
	case WorkIsolatedRun:
		return "tried alone"
	case WorkIsolatedRunOver:
		return "trial over"
	case WorkBrokeAtLaterStage:
		return "broke at a later stage"
	default:
		return "unknown"
	}
}

// Known reports whether s is one of the defined observations.
func (s WorkObservation) Known() bool { return s >= WorkBroke && s <= WorkBrokeAtLaterStage }

// Broke reports whether the work was at an endpoint that may have crashed.
func (s WorkObservation) Broke() bool { return s == WorkBroke || s == WorkBrokeAtLaterStage }

// WorkReport says that an entry, the observer, made an observation of some work at one
// incarnation of an endpoint, AgoMS milliseconds before the frame was written.
type WorkReport struct {
	_           struct{} `cbor:",toarray"`
	Work        Fingerprint
	Endpoint    string
	Incarnation Incarnation
	Observer    string
	Observation WorkObservation
	AgoMS       float64
	// Parts are the parts of its prompt that other requests may share. They are sent as ReportParts, since
	// entries of earlier versions read reports without them only.
	Parts []Fingerprint `cbor:"-"`
}

// MaxReportParts bounds the parts of a report.
const MaxReportParts = 16

// ReportParts holds the parts of the report with an index in the same message.
type ReportParts struct {
	_      struct{} `cbor:",toarray"`
	Report int
	Parts  []Fingerprint
}

// partsOf returns the parts of reports.
func partsOf(reports []WorkReport) []ReportParts {
	var all []ReportParts
	for i := range reports {
		if len(reports[i].Parts) > 0 {
			all = append(all, ReportParts{Report: i, Parts: reports[i].Parts})
		}
	}
	return all
}

// setParts sets the parts of reports, and reports whether they are valid.
func setParts(reports []WorkReport, all []ReportParts) bool {
	for _, p := range all {
		if p.Report < 0 || p.Report >= len(reports) || len(p.Parts) > MaxReportParts || slices.ContainsFunc(p.Parts, Fingerprint.IsZero) {
			return false
		}
		if len(p.Parts) > 0 {
			reports[p.Report].Parts = p.Parts
		}
	}
	return true
}

// At returns when the observation was made, by the clock of the receiver of the report.
func (w *WorkReport) At(received time.Time) time.Time {
	return received.Add(-time.Duration(w.AgoMS * float64(time.Millisecond)))
}

// valid reports whether all fields of the report are in range.
func (w *WorkReport) valid() bool {
	return !w.Work.IsZero() && w.Endpoint != "" && w.Observer != "" && w.Incarnation >= 0 &&
		w.Observation.Known() && w.AgoMS >= 0
}

// validWork reports whether all reports are valid.
func validWork(reports []WorkReport) bool {
	for i := range reports {
		if !reports[i].valid() {
			return false
		}
	}
	return true
}

// RefusedWork is what the platform stores about work, or a part of prompts, that entries refuse, under its
// fingerprint, so that the refusal outlasts all entries.
type RefusedWork struct {
	Crashes []WorkCrash `json:"ends"`
	UntilMS int64       `json:"till_ms"`        // Unix time in milliseconds until which the work is refused
	Part    bool        `json:"part,omitempty"` // a part of prompts is refused
	With    []string    `json:"with,omitempty"` // fingerprints; only requests that have all of them too are refused
}

// WorkCrash is a crash of an endpoint attributed to some work.
type WorkCrash struct {
	Endpoint    string      `json:"endpoint"`
	Incarnation Incarnation `json:"lifetime,omitempty"`
	AtMS        int64       `json:"at_ms"` // Unix time in milliseconds
}
