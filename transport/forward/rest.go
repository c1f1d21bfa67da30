// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"log/slog"
	"net/http"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/protocol"
)

// recordRest logs that an answer asks for rest or that its endpoint leaves. An answer of another
// process at the endpoint's address says nothing about the endpoint.
func (a *attempt) recordRest(status int, terms *protocol.AnswerTerms) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	f := a.forwarder
	if !terms.RestUntil.IsZero() {
		f.log(event.RestAsked, slog.String("endpoint", a.endpoint.Name()), slog.String("request", a.id), slog.Int64("rest_ms", clock.Until(terms.RestUntil).Milliseconds()))
	}
	if terms.Leaving {
		f.log(event.LeavingTold, slog.String("endpoint", a.endpoint.Name()))
	}
}
