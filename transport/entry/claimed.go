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
	// maxKeptAnswer is the largest answer that is kept for repeats.
	maxKeptAnswer = 4 << 10
	// maxIssuedSkew is how far a caller's clock may run ahead.
	maxIssuedSkew = 30 * time.Second
	// sendMargin is what must be left of the deadline for a claimed call to be
	// sent at all.
	sendMargin = 5 * time.Millisecond
)

// serveClaimed runs a keyed call that may not be repeated: the claim is durable
// before the first byte goes to an endpoint, and the outcome is kept.
func (s *serviceRun) serveClaimed(ctx context.Context, issued string) (serviceAnswer, error) {
	r, err := s.claimRecord(issued, time.Now())
	if err != nil {
		return serviceAnswer{}, err
	}
	result, err := s.entry.claims.Await(ctx, r)
	if err != nil {
		return serviceAnswer{}, protocol.Refuse(protocol.ClaimUnavailable,
			"the claim could not be made durable in time").Because(err).Again(time.Now().Add(time.Second))
	}
	s.call.story.Add(time.Now(), trace.Claimed, result.Verdict().String())
	if result.Verdict() != claim.Granted {
		return s.replay(result)
	}
	s.entry.counters.Add(metric.ClaimsGranted, 1)
	return s.runClaimed(ctx, r)
}

func (s *serviceRun) claimRecord(issued string, now time.Time) (protocol.ClaimRecord, error) {
	at, err := time.Parse(time.RFC3339Nano, issued)
	if err != nil {
		return protocol.ClaimRecord{}, protocol.Refuse(protocol.MalformedRequest,
			"a keyed call that may not be repeated needs "+headerIssued+", the time like 2026-01-02T15:04:05Z at which it was first issued")
	}
	if at.After(now.Add(maxIssuedSkew)) {
		return protocol.ClaimRecord{}, protocol.Refuse(protocol.MalformedRequest, headerIssued+" lies in the future")
	}
	h := xxhash.New()
	for _, part := range []string{s.service.Name, s.method, s.target, s.header.Get("Content-Type")} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(s.call.body)
	return protocol.ClaimRecord{
		Kind: protocol.ClaimTaken, Key: protocol.NewClaimKey(s.call.team.Name, s.call.key),
		Digest: h.Sum64(), Claimant: rand.Uint64(), IssuedMS: at.UnixMilli(),
		Holder: s.entry.mesh.Self.Name, Life: s.entry.mesh.Self.Incarnation,
	}, nil
}

// runClaimed makes the one try that the claim allows. What is certain not to
// have run is released, so that a repeat may run it.
func (s *serviceRun) runClaimed(ctx context.Context, r protocol.ClaimRecord) (serviceAnswer, error) {
	if clock.Now().Add(sendMargin).After(s.call.deadline) || ctx.Err() != nil {
		s.keep(r, protocol.ClaimReleased)
		return serviceAnswer{}, protocol.Refuse(protocol.DeadlinePassed, "the deadline passed before the call was sent")
	}
	answer, err := s.try(ctx)
	if err != nil {
		if protocol.AsRefusal(err).Outcome() == protocol.NotRun {
			s.keep(r, protocol.ClaimReleased)
		} else {
			s.keep(r, protocol.ClaimDoubtful)
		}
		return answer, err
	}
	r.Status, r.Type = answer.status, answer.contentType
	if len(answer.body) <= maxKeptAnswer {
		r.Answer = answer.body
	} else {
		r.Status = 0
	}
	s.keep(r, protocol.ClaimSettled)
	return answer, nil
}

func (s *serviceRun) keep(r protocol.ClaimRecord, k protocol.ClaimKind) {
	r.Kind = k
	s.entry.claims.Persist(r)
}

// replay answers a repeat from what the claim log holds.
func (s *serviceRun) replay(result claim.Result) (serviceAnswer, error) {
	held := result.Existing()
	again := time.Now().Add(time.Second)
	switch result.Verdict() {
	case claim.Settled:
		if held.Status < http.StatusOK {
			return serviceAnswer{}, protocol.Uncertain(protocol.ClaimHeld, "the call ran once and its answer was too large to keep")
		}
		s.entry.counters.Add(metric.ClaimsReplayed, 1)
		return serviceAnswer{status: held.Status, contentType: held.Type, body: held.Answer}, nil
	case claim.Held:
		return serviceAnswer{}, protocol.Uncertain(protocol.ClaimHeld, "an earlier try of this key has not ended").Again(again)
	case claim.Doubtful:
		return serviceAnswer{}, protocol.Uncertain(protocol.ServiceFailed, "an earlier try of this key may have run")
	case claim.Reused:
		return serviceAnswer{}, protocol.Refuse(protocol.KeyReused, "the key was used for another request")
	case claim.Expired:
		return serviceAnswer{}, protocol.Uncertain(protocol.KeyExpired, "the request was issued longer ago than keys are remembered")
	default:
		return serviceAnswer{}, protocol.Refuse(protocol.ClaimsFull, "no claim can be kept until older ones expire").Again(again)
	}
}
