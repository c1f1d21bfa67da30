// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/config"
	"pinerun.example/pinerun/state/trace"
)

// HTTP headers of requests and responses between callers and an entry.
const (
	headerEntry          = "Pinerun-Entry"
	headerRequest        = "Pinerun-Request"
	headerOutcome        = "Pinerun-Outcome"
	headerDeadline       = "Pinerun-Deadline"
	headerRepeatable     = "Pinerun-Repeatable"
	headerIssued         = "Pinerun-Issued"
	headerIdempotencyKey = "Idempotency-Key"
)

// call holds what all requests of callers have in common.
type call struct {
	id             protocol.RequestID
	config         *config.Config
	team           protocol.Team
	deadline       time.Time // on the clock of clock.Now, which advances while the VM is suspended
	repeatable     string    // "yes", "no", or "" if the caller sets no header
	idempotencyKey string
	body           []byte
	trace          *trace.Trace
}

func (e *Entry) callerRoutes() http.Handler {
	r := echo.New()
	r.HideBanner = true
	r.HTTPErrorHandler = e.routeError
	r.GET("/health", e.serveHealth)
	r.GET("/ready", e.serveReady)
	r.POST("/v1/chat/completions", e.withCall(e.serveChat))
	r.Any("/services/:service", e.withCall(e.serveService))
	r.Any("/services/:service/*", e.withCall(e.serveService))
	return r
}

// routeError responds to a request that matches no route.
func (e *Entry) routeError(err error, c echo.Context) {
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) && httpErr.Code < http.StatusInternalServerError {
		_ = e.refuse(c, protocol.Refuse(protocol.MalformedRequest, c.Request().Method+" "+c.Request().URL.Path+" is not served"))
		return
	}
	_ = e.refuse(c, protocol.AsRefusal(err))
}

func (e *Entry) serveHealth(c echo.Context) error {
	if e.stopping.Load() {
		return e.refuse(c, protocol.Refuse(protocol.Stopping, "this entry is stopping"))
	}
	return c.String(http.StatusOK, "ok\n")
}

func (e *Entry) serveReady(c echo.Context) error {
	if !e.Ready() {
		return e.refuse(c, protocol.Refuse(protocol.NoConfiguration, "this entry is not ready"))
	}
	return c.String(http.StatusOK, "ready\n")
}

// callHandler serves one validated call. A returned error becomes the response,
// unless the response has already started.
type callHandler func(c echo.Context, call *call) error

// withCall wraps a handler with the validation, deadline and accounting that all
// calls share.
func (e *Entry) withCall(h callHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.requests.Add(1)
		defer e.requests.Done()
		e.counters.Add(metric.Requests, 1)
		id := protocol.NewRequestID()
		c.Response().Header().Set(headerEntry, e.Settings.Name)
		c.Response().Header().Set(headerRequest, id.String())
		openRequests := e.openRequests.Add(1)
		defer e.openRequests.Add(-1)
		k := &call{id: id, trace: e.traces.Start(id)}
		err := e.prepare(c, k, int(openRequests))
		if err == nil {
			ctx, cancel := e.deadlines.add(c.Request().Context(), k)
			defer cancel()
			defer e.deadlines.remove(k)
			c.SetRequest(c.Request().WithContext(ctx))
			err = h(c, k)
		}
		return e.finish(c, k, err)
	}
}

// finish records the outcome of the call and responds if it is refused.
func (e *Entry) finish(c echo.Context, k *call, err error) error {
	now := time.Now()
	if err == nil {
		k.trace.Add(now, trace.Answered, "")
		name := metric.AnsweredInTime
		if clock.Now().After(k.deadline) {
			name = metric.AnsweredLate
		}
		e.counters.Add(name, 1)
		return nil
	}
	r := protocol.AsRefusal(err)
	k.trace.Add(now, trace.Refused, r.Error())
	return e.refuse(c, r)
}

// refuse records a refusal and sends it as the response, unless a response has
// already started.
func (e *Entry) refuse(c echo.Context, r *protocol.Refusal) error {
	e.counters.CountRefusal(r.Kind())
	event.RequestRefused.Log(e.Logger, slog.String("request", c.Response().Header().Get(headerRequest)),
		slog.String("kind", string(r.Kind())), slog.String("outcome", r.Outcome().String()), slog.Any("cause", r.Unwrap()))
	if c.Response().Committed {
		return nil // the stream already contains the error event
	}
	h := c.Response().Header()
	h.Set(headerOutcome, r.Outcome().String())
	if at := r.RetryAt(); !at.IsZero() {
		seconds := max(1, int(time.Until(at).Seconds()+0.5))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	return c.JSON(r.Status(), errorBody(h.Get(headerRequest), r))
}

// errorDetail describes a refusal to the caller.
type errorDetail struct {
	Kind    protocol.Kind `json:"kind"`
	Outcome string        `json:"outcome"`
	Message string        `json:"message"`
	Remedy  string        `json:"remedy"`
	Request string        `json:"request"`
}

// errorResponse is the body of every refusal.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

func errorBody(id string, r *protocol.Refusal) errorResponse {
	return errorResponse{Error: errorDetail{
		Kind: r.Kind(), Outcome: r.Outcome().String(), Message: r.Message(), Remedy: r.Remedy(), Request: id,
	}}
}

// prepare validates the request and reads its headers and body into k. If it
// fails, no part of the request has run.
func (e *Entry) prepare(c echo.Context, k *call, openRequests int) error {
	now := time.Now()
	k.deadline = e.Settings.Limits.DefaultDeadline(clock.Now())
	k.trace.Add(now, trace.Arrived, c.Request().Method+" "+c.Request().URL.Path)
	if e.stopping.Load() {
		return protocol.Refuse(protocol.Stopping, "this entry is stopping")
	}
	if openRequests > e.Settings.Limits.OpenRequests {
		return protocol.Refuse(protocol.TooManyOpen, "this entry has all the open requests that it may").WithRetryAt(now.Add(time.Second))
	}
	k.config = e.follower.Current()
	if k.config == nil {
		return protocol.Refuse(protocol.NoConfiguration, "no configuration yet").WithRetryAt(now.Add(time.Second))
	}
	if err := k.readHeaders(c.Request(), e, now); err != nil {
		return err
	}
	return k.readBody(c, e, now)
}

// readHeaders authenticates the team and reads the headers that concern pinerun.
func (k *call) readHeaders(req *http.Request, e *Entry, now time.Time) error {
	key, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if ok {
		k.team, ok = k.config.TeamByKey(key)
	}
	if !ok {
		return protocol.Refuse(protocol.WrongKey, "the key is missing or not known")
	}
	k.idempotencyKey = req.Header.Get(headerIdempotencyKey)
	if len(k.idempotencyKey) > maxKeyBytes {
		return protocol.Refuse(protocol.MalformedRequest, headerIdempotencyKey+" is longer than "+itoa(maxKeyBytes)+" bytes")
	}
	k.repeatable = req.Header.Get(headerRepeatable)
	if k.repeatable != "" && k.repeatable != "yes" && k.repeatable != "no" {
		return protocol.Refuse(protocol.MalformedRequest, headerRepeatable+` must be "yes" or "no"`)
	}
	return k.readDeadline(req.Header.Get(headerDeadline), e, now)
}

// maxKeyBytes is the maximum length of an Idempotency-Key.
const maxKeyBytes = 256

// readDeadline sets the deadline from the request header. Deadlines beyond the
// configured maximum are shortened to it.
func (k *call) readDeadline(value string, e *Entry, now time.Time) error {
	if value == "" {
		return nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return protocol.Refuse(protocol.MalformedRequest, headerDeadline+" must be a time like 2026-01-02T15:04:05Z")
	}
	if !deadline.After(now) {
		return protocol.Refuse(protocol.DeadlinePassed, "the deadline had passed when the request came")
	}
	if latest := e.Settings.Limits.LongestDeadline(now); deadline.After(latest) {
		deadline = latest
	}
	k.deadline = clock.Now().Add(deadline.Sub(now))
	return nil
}

// readBody reads the body within the limits on its size and on slow callers.
func (k *call) readBody(c echo.Context, e *Entry, now time.Time) error {
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(e.Settings.Limits.WriteDeadline(now))
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, e.Settings.Limits.BodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return protocol.Refuse(protocol.BodyTooLarge, "the body is longer than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if err != nil {
		return protocol.Refuse(protocol.MalformedRequest, "the body was cut off or came too slowly").WithCause(err)
	}
	k.body = body
	return nil
}
