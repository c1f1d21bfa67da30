// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinerun.example/pinerun/coordination/claim"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/trace"
)

const (
	// maxStoredResponse is the size of the largest response body that is stored for
	// repeated calls.
	maxStoredResponse = 4 << 10
	// maxIssuedSkew is how far a caller's clock may be ahead of this entry's.
	maxIssuedSkew = 30 * time.Second
	// sendMargin is the minimum time left before the deadline for a claimed call
	// to be sent.
	sendMargin = 5 * time.Millisecond
)

// serveClaimed runs a keyed call that may not be repeated. The claim is durable
// before the first byte goes to an endpoint, and the outcome is recorded.
func (s *serviceCall) serveClaimed(ctx context.Context, issued string) (serviceResponse, error) {
	record, err := s.newClaimRecord(issued, time.Now())
	if err != nil {
		return serviceResponse{}, err
	}
	result, err := s.entry.claims.Await(ctx, record)
	if err != nil {
		return serviceResponse{}, protocol.Refuse(protocol.ClaimUnavailable,
			"the claim could not be made durable in time").WithCause(err).WithRetryAt(time.Now().Add(time.Second))
	}
	s.call.trace.Add(time.Now(), trace.Claimed, result.Verdict().String())
	if result.Verdict() != claim.Granted {
		return s.replay(result)
	}
	s.entry.counters.Add(metric.ClaimsGranted, 1)
	return s.runClaimed(ctx, record)
}

// newClaimRecord returns the claim for the call. Its digest covers the request, so
// that a reuse of the key for another request is detected.
func (s *serviceCall) newClaimRecord(issued string, now time.Time) (protocol.ClaimRecord, error) {
	issuedAt, err := time.Parse(time.RFC3339Nano, issued)
	if err != nil {
		return protocol.ClaimRecord{}, protocol.Refuse(protocol.MalformedRequest,
			"a keyed call that may not be repeated needs "+headerIssued+", the time like 2026-01-02T15:04:05Z at which it was first issued")
	}
	if issuedAt.After(now.Add(maxIssuedSkew)) {
		return protocol.ClaimRecord{}, protocol.Refuse(protocol.MalformedRequest, headerIssued+" lies in the future")
	}
	digest := xxhash.New()
	for _, field := range []string{s.service.Name, s.method, s.target, s.header.Get("Content-Type")} {
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(s.call.body)
	return protocol.ClaimRecord{
		Kind: protocol.ClaimTaken, Key: protocol.NewClaimKey(s.call.team.Name, s.call.idempotencyKey),
		Digest: digest.Sum64(), Claimant: rand.Uint64(), IssuedMS: issuedAt.UnixMilli(),
		Holder: s.entry.mesh.Self.Name, Incarnation: s.entry.mesh.Self.Incarnation,
	}, nil
}

// runClaimed makes the call that the claim allows. If the call certainly has not
// run, runClaimed releases the claim, so that a repeat may run it.
func (s *serviceCall) runClaimed(ctx context.Context, record protocol.ClaimRecord) (serviceResponse, error) {
	if clock.Now().Add(sendMargin).After(s.call.deadline) || ctx.Err() != nil {
		s.recordOutcome(record, protocol.ClaimReleased)
		return serviceResponse{}, protocol.Refuse(protocol.DeadlinePassed, "the deadline passed before the call was sent")
	}
	response, err := s.callWithRetries(ctx)
	if err != nil {
		if protocol.AsRefusal(err).Outcome() == protocol.NotRun {
			s.recordOutcome(record, protocol.ClaimReleased)
		} else {
			s.recordOutcome(record, protocol.ClaimUncertain)
		}
		return response, err
	}
	record.Status, record.Type = response.status, response.contentType
	if len(response.body) <= maxStoredResponse {
		record.Answer = response.body
	} else {
		record.Status = 0
	}
	s.recordOutcome(record, protocol.ClaimSettled)
	return response, nil
}

// recordOutcome records the outcome of the claimed call.
func (s *serviceCall) recordOutcome(record protocol.ClaimRecord, kind protocol.ClaimKind) {
	record.Kind = kind
	s.entry.claims.Persist(record)
}

// replay responds to a repeated call from the existing claim record.
func (s *serviceCall) replay(result claim.Result) (serviceResponse, error) {
	existing := result.Existing()
	retryAt := time.Now().Add(time.Second)
	switch result.Verdict() {
	case claim.Settled:
		if existing.Status < http.StatusOK {
			return serviceResponse{}, protocol.Uncertain(protocol.ClaimHeld, "the call ran once and its answer was too large to keep")
		}
		s.entry.counters.Add(metric.ClaimsReplayed, 1)
		return serviceResponse{status: existing.Status, contentType: existing.Type, body: existing.Answer}, nil
	case claim.Held:
		return serviceResponse{}, protocol.Uncertain(protocol.ClaimHeld, "an earlier try of this key has not ended").WithRetryAt(retryAt)
	case claim.Doubtful:
		return serviceResponse{}, protocol.Uncertain(protocol.ServiceFailed, "an earlier try of this key may have run")
	case claim.Reused:
		return serviceResponse{}, protocol.Refuse(protocol.KeyReused, "the key was used for another request")
	case claim.Expired:
		return serviceResponse{}, protocol.Uncertain(protocol.KeyExpired, "the request was issued longer ago than keys are remembered")
	default:
		return serviceResponse{}, protocol.Refuse(protocol.ClaimsFull, "no claim can be kept until older ones expire").WithRetryAt(retryAt)
	}
}
