// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
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
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/trace"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 8 << 20

// serviceClient calls plain services.
type serviceClient struct {
	kept  http.Client // keeps connections, for calls that may be repeated
	fresh http.Client // a connection for each call
	turn  atomic.Uint64
	once  sync.Once
}

// client returns the client for a call. The library sends a request again by
// itself when a connection that it has kept breaks, whatever the service may
// have done by then; on a fresh connection it never does.
func (c *serviceClient) client(repeatable bool) *http.Client {
	c.once.Do(func() {
		c.kept.Transport = &http.Transport{MaxIdleConnsPerHost: idlePerEndpoint}
		c.fresh.Transport = &http.Transport{DisableKeepAlives: true}
		c.kept.CheckRedirect = passRedirect
		c.fresh.CheckRedirect = passRedirect
	})
	if repeatable {
		return &c.kept
	}
	return &c.fresh
}

// do makes a call. One that is not answered in time gives up the connections that rest: what is on
// the way may have forgotten all that were open, without a reset, and each call that followed
// waited on another one of them to its deadline.
func (c *serviceClient) do(req *http.Request, repeatable bool) (*http.Response, error) {
	res, err := c.client(repeatable).Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		c.kept.CloseIdleConnections()
	}
	return res, err
}

// passRedirect leaves a redirect to the caller: following it would run the call
// at a place that the operator has not named, and perhaps twice.
func passRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// idlePerEndpoint is how many connections to an endpoint are kept unused.
const idlePerEndpoint = 32

// serviceAnswer is a plain service's whole answer. A repeat that is answered from
// the claim log has no header but the content type.
type serviceAnswer struct {
	status      int
	contentType string
	header      http.Header
	body        []byte
}

// ownHeaders are not passed on in either direction: they belong to one
// connection, or to pinerun.
var ownHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Authorization", "Host", "Content-Length", "Accept-Encoding",
	headerEntry, headerRequest, headerOutcome, headerDeadline, headerRepeatable, headerIssued,
}

// passOn adds the headers that travel from end to end.
func passOn(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(ownHeaders, name) {
			to[name] = values
		}
	}
}

// serveService answers ANY /services/{service}/*.
func (e *Entry) serveService(c echo.Context, k *call) error {
	s, ok := k.config.Service(c.Param("service"))
	if !ok {
		return protocol.Refuse(protocol.UnknownService, "service "+c.Param("service")+" is not configured")
	}
	run := &serviceRun{
		entry: e, call: k, service: s,
		method: c.Request().Method, target: targetOf(c), header: c.Request().Header,
		repeatable: k.repeatable == "yes" || k.repeatable == "" && s.Repeatable,
	}
	answer, err := run.serve(c.Request().Context(), c.Request().Header.Get(headerIssued))
	if err != nil {
		return err
	}
	passOn(c.Response().Header(), answer.header)
	c.Response().Header().Set(headerOutcome, protocol.Answered.String())
	return c.Blob(answer.status, answer.contentType, answer.body)
}

func targetOf(c echo.Context) string {
	target := "/" + c.Param("*")
	if query := c.Request().URL.RawQuery; query != "" {
		target += "?" + query
	}
	return target
}

// serviceRun carries one call to a plain service.
type serviceRun struct {
	entry      *Entry
	call       *call
	service    protocol.Service
	method     string
	target     string
	header     http.Header
	repeatable bool
	tries      int
	sent       bool // a byte of the call may have reached an endpoint
}

// serve runs the call, under a claim when it has a key and may not be repeated.
func (s *serviceRun) serve(ctx context.Context, issued string) (serviceAnswer, error) {
	if s.repeatable || s.call.key == "" {
		return s.try(ctx)
	}
	return s.serveClaimed(ctx, issued)
}

// try calls endpoints until one answers or the outcome permits no further try.
func (s *serviceRun) try(ctx context.Context) (serviceAnswer, error) {
	s.entry.retries.first()
	draw := rand.New(rand.NewPCG(uint64(s.call.id), 1))
	for {
		s.tries++
		endpoint := s.endpoint()
		s.call.story.Add(time.Now(), trace.Path, endpoint.Name)
		answer, err := s.send(ctx, endpoint)
		if err == nil {
			return answer, nil
		}
		if err := s.mayRetry(ctx, err, endpoint, draw); err != nil {
			return serviceAnswer{}, err
		}
	}
}

// endpoint takes the service's endpoints in turn, so that a retry goes to
// another one. Those on leaving VMs are taken only when there is no other.
func (s *serviceRun) endpoint() protocol.ServiceEndpoint {
	all := s.service.Endpoints
	turn := s.entry.services.turn.Add(1)
	for i := range uint64(len(all)) {
		if x := all[(turn+i)%uint64(len(all))]; !s.entry.leaving.has(x.VM) {
			return x
		}
	}
	return all[turn%uint64(len(all))]
}

// send makes one try. The error says whether the call may have run.
func (s *serviceRun) send(ctx context.Context, endpoint protocol.ServiceEndpoint) (serviceAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, s.method, "http://"+endpoint.Address+s.target, bytes.NewReader(s.call.body))
	if err != nil {
		return serviceAnswer{}, protocol.Refuse(protocol.MalformedRequest, "the path is not valid").Because(err)
	}
	passOn(req.Header, s.header)
	req.Header.Set(headerRequest, s.call.id.String())
	res, err := s.entry.services.do(req, s.repeatable)
	if err != nil {
		return serviceAnswer{}, s.failed(err)
	}
	defer res.Body.Close()
	s.sent = true
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return serviceAnswer{}, protocol.Uncertain(protocol.ServiceFailed, "the service's answer was cut off or too long").Because(err)
	}
	return serviceAnswer{
		status: res.StatusCode, contentType: res.Header.Get("Content-Type"), header: res.Header, body: body,
	}, nil
}

func (s *serviceRun) failed(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return protocol.Refuse(protocol.ServiceUnreachable, "no connection to the service").Because(err).Again(time.Now().Add(time.Second))
	}
	s.sent = true
	if errors.Is(err, context.DeadlineExceeded) || !clock.Now().Before(s.call.deadline) {
		return protocol.Uncertain(protocol.DeadlinePassed, "the deadline passed before the service answered").Because(err)
	}
	return protocol.Uncertain(protocol.ServiceFailed, "the connection to the service broke").Because(err)
}

// mayRetry returns nil when another try is allowed, else the final answer.
func (s *serviceRun) mayRetry(ctx context.Context, err error, endpoint protocol.ServiceEndpoint, draw *rand.Rand) error {
	r := protocol.AsRefusal(err)
	if s.sent && !s.repeatable || ctx.Err() != nil {
		return s.final(r)
	}
	d := s.entry.retries.again(retry.Query{Now: time.Now(), Deadline: clock.Timer(s.call.deadline), Attempts: s.tries, Rand: draw})
	wait, ok := d.(retry.Wait)
	if !ok {
		return s.final(r)
	}
	reason := metric.NotSent
	if r.Outcome() != protocol.NotRun {
		reason = metric.StreamError
	}
	s.entry.counters.Retried(reason)
	s.call.story.Add(time.Now(), trace.Retried, string(reason)+" at "+endpoint.Name)
	event.RequestRetried.Log(s.entry.Logger, slog.String("request", s.call.id.String()), slog.String("reason", string(reason)))
	t := time.NewTimer(time.Until(wait.Until()))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return s.final(r)
	}
}

// final makes the outcome true for all tries together.
func (s *serviceRun) final(r *protocol.Refusal) error {
	if s.sent && r.Outcome() == protocol.NotRun {
		return protocol.Uncertain(r.Kind(), r.Message()).Because(r.Unwrap()).Again(r.RetryAt())
	}
	return r
}
