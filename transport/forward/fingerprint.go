// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"pinerun.example/pinerun/coordination/quarantine"
	"pinerun.example/pinerun/protocol"
)

// workFingerprint returns the fingerprint of the requested work. It is computed on first use: most
// requests succeed without it, and hashing a large body takes milliseconds.
func (x *exchange) workFingerprint() protocol.Fingerprint {
	if x.fingerprint.IsZero() {
		x.fingerprint = protocol.FingerprintOf(x.teamName(), x.request.Method, x.request.Host, x.request.RequestURI, x.body)
	}
	return x.fingerprint
}

// partFingerprints returns the fingerprints of the parts that the request may share with others.
func (x *exchange) partFingerprints() []protocol.Fingerprint {
	if x.parts == nil {
		for _, id := range x.terms.Parts {
			x.parts = append(x.parts, protocol.FingerprintOfPart(id))
		}
	}
	return x.parts
}

// workContent returns what the request may have in common with others that crash endpoints.
func (x *exchange) workContent() *quarantine.Content {
	if x.content == nil {
		c := quarantine.NewContent(x.workFingerprint(), x.partFingerprints())
		x.content = &c
	}
	return x.content
}

// recordParts records that the request's parts ran well on an attempt, once for each attempt.
func (x *exchange) recordParts(a *attempt, now time.Time) {
	if q := x.forwarder.Quarantine; q != nil && !a.recordedParts {
		a.recordedParts = true
		q.RecordParts(x.partFingerprints(), now)
	}
}

// partsAttr returns the parts that the request may share with others, each with its fingerprint, how
// often it ran well at this entry, and how long ago that was.
func (x *exchange) partsAttr(now time.Time) slog.Attr {
	q := x.forwarder.Quarantine
	if q == nil || len(x.terms.Parts) == 0 {
		return slog.Attr{}
	}
	var b strings.Builder
	for i, f := range x.partFingerprints() {
		runs := q.PartRuns(f)
		fmt.Fprintf(&b, "%s=%s ran %d", x.terms.Parts[i], f, runs.Count())
		if runs.Count() > 0 {
			fmt.Fprintf(&b, ", %d ms ago", now.Sub(runs.Last()).Milliseconds())
		}
		b.WriteString("; ")
	}
	return slog.String("parts", strings.TrimSuffix(b.String(), "; "))
}
