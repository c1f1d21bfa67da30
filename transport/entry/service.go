// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"pinerun.example/pinerun/coordination/retry"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/trace"
)

// maxResponseBytes is the maximum size of a plain service's response body.
const maxResponseBytes = 8 << 20

// serviceClient calls plain services.
type serviceClient struct {
	pooled       http.Client // reuses connections; for calls that may be repeated
	unpooled     http.Client // opens a connection for each call
	nextEndpoint atomic.Uint64
	once         sync.Once
}

// client returns the client for a call. net/http may resend a request by itself
// when a reused connection breaks, whatever the service has done by then. It
// never does so on a new connection, so calls that may not be repeated get one.
func (c *serviceClient) client(repeatable bool) *http.Client {
	c.once.Do(func() {
		c.pooled.Transport = limited.Transport(&http.Transport{MaxIdleConnsPerHost: maxIdlePerEndpoint})
		c.unpooled.Transport = limited.Transport(&http.Transport{DisableKeepAlives: true})
		c.pooled.CheckRedirect = returnRedirect
		c.unpooled.CheckRedirect = returnRedirect
	})
	if repeatable {
		return &c.pooled
	}
	return &c.unpooled
}

// do makes a call. If the call is not answered in time, do also closes the idle connections. A
// middlebox may have dropped the state of all open connections without a reset; each following
// call then picked another idle connection and waited on it until its deadline.
func (c *serviceClient) do(req *http.Request, repeatable bool) (*http.Response, error) {
	resp, err := c.client(repeatable).Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		c.pooled.CloseIdleConnections()
	}
	return resp, err
}

// returnRedirect passes a redirect on to the caller. Following it would run the
// call at an address that the operator has not configured, and perhaps twice.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// maxIdlePerEndpoint is the maximum number of idle connections per endpoint.
const maxIdlePerEndpoint = 32

// serviceResponse is the complete response of a plain service. A response that is
// replayed from the claim log has only the Content-Type header.
type serviceResponse struct {
	status      int
	contentType string
	header      http.Header
	body        []byte
}

// excludedHeaders are not forwarded in either direction. They apply to one
// connection only, or belong to pinerun.
var excludedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Host", "Content-Length", "Accept-Encoding",
	headerEntry, headerRequest, headerOutcome, headerDeadline, headerRepeatable, headerIssued,
}

// copyHeaders copies the end-to-end headers.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		if !slices.Contains(excludedHeaders, name) {
			dst[name] = values
		}
	}
}

// serveService serves any method on /services/{service}/*.
func (e *Entry) serveService(c echo.Context, k *call) error {
	s, ok := k.config.Service(c.Param("service"))
	if !ok {
		return protocol.Refuse(protocol.UnknownService, "service "+c.Param("service")+" is not configured")
	}
	run := &serviceCall{
		entry: e, call: k, service: s,
		method: c.Request().Method, target: requestTarget(c), header: c.Request().Header,
		repeatable: k.repeatable == "yes" || k.repeatable == "" && s.Repeatable,
	}
	response, err := run.serve(c.Request().Context(), c.Request().Header.Get(headerIssued))
	if err != nil {
		return err
	}
	copyHeaders(c.Response().Header(), response.header)
	c.Response().Header().Set(headerOutcome, protocol.Answered.String())
	return c.Blob(response.status, response.contentType, response.body)
}

// requestTarget returns the path and query to request from the service.
func requestTarget(c echo.Context) string {
	target := "/" + c.Param("*")
	if query := c.Request().URL.RawQuery; query != "" {
		target += "?" + query
	}
	return target
}

// serviceCall runs one call to a plain service.
type serviceCall struct {
	entry      *Entry
	call       *call
	service    protocol.Service
	method     string
	target     string
	header     http.Header
	repeatable bool
	attempts   int
	sent       bool // a byte of the call may have reached an endpoint
}

// serve runs the call. A call that has a key and may not be repeated runs under
// a claim.
func (s *serviceCall) serve(ctx context.Context, issued string) (serviceResponse, error) {
	if s.repeatable || s.call.idempotencyKey == "" {
		return s.callWithRetries(ctx)
	}
	return s.serveClaimed(ctx, issued)
}

// callWithRetries calls endpoints until one responds or the outcome allows no
// further attempt.
func (s *serviceCall) callWithRetries(ctx context.Context) (serviceResponse, error) {
	s.entry.retryBudget.recordFirst()
	rng := rand.New(rand.NewPCG(uint64(s.call.id), 1))
	for {
		s.attempts++
		endpoint := s.nextEndpoint()
		s.call.trace.Add(time.Now(), trace.Path, endpoint.Name)
		response, err := s.callOnce(ctx, endpoint)
		if err == nil {
			return response, nil
		}
		if err := s.awaitRetry(ctx, err, endpoint, rng); err != nil {
			return serviceResponse{}, err
		}
	}
}

// nextEndpoint selects the service's endpoints in rotation, so that a retry goes
// to another one. It selects an endpoint on a leaving VM only if there is no other.
func (s *serviceCall) nextEndpoint() protocol.ServiceEndpoint {
	endpoints := s.service.Endpoints
	start := s.entry.serviceClient.nextEndpoint.Add(1)
	for i := range uint64(len(endpoints)) {
		if candidate := endpoints[(start+i)%uint64(len(endpoints))]; !s.entry.leaving.has(candidate.VM) {
			return candidate
		}
	}
	return endpoints[start%uint64(len(endpoints))]
}

// callOnce makes one attempt. The outcome in the error says whether the call may
// have run.
func (s *serviceCall) callOnce(ctx context.Context, endpoint protocol.ServiceEndpoint) (serviceResponse, error) {
	req, err := http.NewRequestWithContext(ctx, s.method, "http://"+endpoint.Address+s.target, bytes.NewReader(s.call.body))
	if err != nil {
		return serviceResponse{}, protocol.Refuse(protocol.MalformedRequest, "the path is not valid").WithCause(err)
	}
	copyHeaders(req.Header, s.header)
	req.Header.Set(headerRequest, s.call.id.String())
	resp, err := s.entry.serviceClient.do(req, s.repeatable)
	if err != nil {
		return serviceResponse{}, s.callError(err)
	}
	defer resp.Body.Close()
	s.sent = true
	body, err := limited.Read(resp.Body, maxResponseBytes)
	if err != nil {
		return serviceResponse{}, protocol.Uncertain(protocol.ServiceFailed, "the service's answer was cut off or too long").WithCause(err)
	}
	return serviceResponse{
		status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), header: resp.Header, body: body,
	}, nil
}

// callError converts an HTTP client error into a refusal. Only a failed dial is
// certain not to have reached the service.
func (s *serviceCall) callError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return protocol.Refuse(protocol.ServiceUnreachable, "no connection to the service").WithCause(err).WithRetryAt(time.Now().Add(time.Second))
	}
	s.sent = true
	if errors.Is(err, context.DeadlineExceeded) || !clock.Now().Before(s.call.deadline) {
		return protocol.Uncertain(protocol.DeadlinePassed, "the deadline passed before the service answered").WithCause(err)
	}
	return protocol.Uncertain(protocol.ServiceFailed, "the connection to the service broke").WithCause(err)
}

// awaitRetry waits until the next attempt may start and returns nil, or returns
// the final error if no further attempt is allowed.
func (s *serviceCall) awaitRetry(ctx context.Context, err error, endpoint protocol.ServiceEndpoint, rng *rand.Rand) error {
	refusal := protocol.AsRefusal(err)
	if s.sent && !s.repeatable || ctx.Err() != nil {
		return s.finalError(refusal)
	}
	decision := s.entry.retryBudget.decide(retry.Query{Now: time.Now(), Deadline: clock.TimerDeadline(s.call.deadline), Attempts: s.attempts, Rand: rng})
	wait, ok := decision.(retry.Wait)
	if !ok {
		return s.finalError(refusal)
	}
	reason := metric.NotSent
	if refusal.Outcome() != protocol.NotRun {
		reason = metric.StreamError
	}
	s.entry.counters.CountRetry(reason)
	s.call.trace.Add(time.Now(), trace.Retried, string(reason)+" at "+endpoint.Name)
	event.RequestRetried.Log(s.entry.Logger, slog.String("request", s.call.id.String()), slog.String("reason", string(reason)))
	t := time.NewTimer(time.Until(wait.Until()))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return s.finalError(refusal)
	}
}

// finalError adjusts the outcome so that it covers all attempts.
func (s *serviceCall) finalError(refusal *protocol.Refusal) error {
	if s.sent && refusal.Outcome() == protocol.NotRun {
		return protocol.Uncertain(refusal.Kind(), refusal.Message()).WithCause(refusal.Unwrap()).WithRetryAt(refusal.RetryAt())
	}
	return refusal
}
