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

// The headers between callers and an entry.
const (
	headerEntry      = "Pinerun-Entry"
	headerRequest    = "Pinerun-Request"
	headerOutcome    = "Pinerun-Outcome"
	headerDeadline   = "Pinerun-Deadline"
	headerRepeatable = "Pinerun-Repeatable"
	headerIssued     = "Pinerun-Issued"
	headerKey        = "Idempotency-Key"
)

// call is what every request of a caller has in common.
type call struct {
	id         protocol.RequestID
	config     *config.Config
	team       protocol.Team
	deadline   time.Time // of clock.Now, which goes on while the VM is suspended
	repeatable string    // "yes", "no" or "" when the caller does not say
	key        string
	body       []byte
	story      *trace.Trace
}

func (e *Entry) callerRoutes() http.Handler {
	r := echo.New()
	r.HideBanner = true
	r.HTTPErrorHandler = e.routeError
	r.GET("/health", e.serveHealth)
	r.GET("/ready", e.serveReady)
	r.POST("/v1/chat/completions", e.caller(e.serveChat))
	r.Any("/services/:service", e.caller(e.serveService))
	r.Any("/services/:service/*", e.caller(e.serveService))
	return r
}

// routeError answers a request that no route takes.
func (e *Entry) routeError(err error, c echo.Context) {
	var known *echo.HTTPError
	if errors.As(err, &known) && known.Code < http.StatusInternalServerError {
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

// callHandler serves one checked call. An error that is returned becomes the
// caller's answer unless the answer has begun.
type callHandler func(c echo.Context, call *call) error

// caller checks what all calls have in common, then serves the call.
func (e *Entry) caller(h callHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.requests.Add(1)
		defer e.requests.Done()
		e.counters.Add(metric.Requests, 1)
		id := protocol.NewRequestID()
		c.Response().Header().Set(headerEntry, e.Settings.Name)
		c.Response().Header().Set(headerRequest, id.String())
		open := e.open.Add(1)
		defer e.open.Add(-1)
		k := &call{id: id, story: e.stories.Start(id)}
		err := e.check(c, k, int(open))
		if err == nil {
			ctx, cancel := e.deadlines.begin(c.Request().Context(), k)
			defer cancel()
			defer e.deadlines.over(k)
			c.SetRequest(c.Request().WithContext(ctx))
			err = h(c, k)
		}
		return e.settle(c, k, err)
	}
}

// settle counts the call's end and answers a refusal.
func (e *Entry) settle(c echo.Context, k *call, err error) error {
	now := time.Now()
	if err == nil {
		k.story.Add(now, trace.Answered, "")
		name := metric.AnsweredInTime
		if clock.Now().After(k.deadline) {
			name = metric.AnsweredLate
		}
		e.counters.Add(name, 1)
		return nil
	}
	r := protocol.AsRefusal(err)
	k.story.Add(now, trace.Refused, r.Error())
	return e.refuse(c, r)
}

// refuse answers with a refusal, or ends an answer that has begun.
func (e *Entry) refuse(c echo.Context, r *protocol.Refusal) error {
	e.counters.Refused(r.Kind())
	event.RequestRefused.Log(e.Logger, slog.String("request", c.Response().Header().Get(headerRequest)),
		slog.String("kind", string(r.Kind())), slog.String("outcome", r.Outcome().String()), slog.Any("cause", r.Unwrap()))
	if c.Response().Committed {
		return nil // the stream has told the error already
	}
	h := c.Response().Header()
	h.Set(headerOutcome, r.Outcome().String())
	if at := r.RetryAt(); !at.IsZero() {
		seconds := max(1, int(time.Until(at).Seconds()+0.5))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	return c.JSON(r.Status(), errorBody(h.Get(headerRequest), r))
}

// errorDetail is what a caller reads of a refusal.
type errorDetail struct {
	Kind    protocol.Kind `json:"kind"`
	Outcome string        `json:"outcome"`
	Message string        `json:"message"`
	Remedy  string        `json:"remedy"`
	Request string        `json:"request"`
}

// errorAnswer is the body of every refusal.
type errorAnswer struct {
	Error errorDetail `json:"error"`
}

func errorBody(id string, r *protocol.Refusal) errorAnswer {
	return errorAnswer{Error: errorDetail{
		Kind: r.Kind(), Outcome: r.Outcome().String(), Message: r.Message(), Remedy: r.Remedy(), Request: id,
	}}
}

// check reads the headers and the body. Nothing has run when it fails.
func (e *Entry) check(c echo.Context, k *call, open int) error {
	now := time.Now()
	k.deadline = e.Settings.Limits.DefaultDeadline(clock.Now())
	k.story.Add(now, trace.Arrived, c.Request().Method+" "+c.Request().URL.Path)
	if e.stopping.Load() {
		return protocol.Refuse(protocol.Stopping, "this entry is stopping")
	}
	if open > e.Settings.Limits.OpenRequests {
		return protocol.Refuse(protocol.TooManyOpen, "this entry has all the open requests that it may").Again(now.Add(time.Second))
	}
	k.config = e.follower.Current()
	if k.config == nil {
		return protocol.Refuse(protocol.NoConfiguration, "no configuration yet").Again(now.Add(time.Second))
	}
	if err := k.readHeaders(c.Request(), e, now); err != nil {
		return err
	}
	return k.readBody(c, e, now)
}

func (k *call) readHeaders(q *http.Request, e *Entry, now time.Time) error {
	key, ok := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if ok {
		k.team, ok = k.config.TeamByKey(key)
	}
	if !ok {
		return protocol.Refuse(protocol.WrongKey, "the key is missing or not known")
	}
	k.key = q.Header.Get(headerKey)
	if len(k.key) > maxKeyBytes {
		return protocol.Refuse(protocol.MalformedRequest, headerKey+" is longer than "+itoa(maxKeyBytes)+" bytes")
	}
	k.repeatable = q.Header.Get(headerRepeatable)
	if k.repeatable != "" && k.repeatable != "yes" && k.repeatable != "no" {
		return protocol.Refuse(protocol.MalformedRequest, headerRepeatable+` must be "yes" or "no"`)
	}
	return k.readDeadline(q.Header.Get(headerDeadline), e, now)
}

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 256

func (k *call) readDeadline(text string, e *Entry, now time.Time) error {
	if text == "" {
		return nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return protocol.Refuse(protocol.MalformedRequest, headerDeadline+" must be a time like 2026-01-02T15:04:05Z")
	}
	if !at.After(now) {
		return protocol.Refuse(protocol.DeadlinePassed, "the deadline had passed when the request came")
	}
	if longest := e.Settings.Limits.LongestDeadline(now); at.After(longest) {
		at = longest
	}
	k.deadline = clock.Now().Add(at.Sub(now))
	return nil
}

func (k *call) readBody(c echo.Context, e *Entry, now time.Time) error {
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(e.Settings.Limits.SlowCaller(now))
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, e.Settings.Limits.BodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return protocol.Refuse(protocol.BodyTooLarge, "the body is longer than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if err != nil {
		return protocol.Refuse(protocol.MalformedRequest, "the body was cut off or came too slowly").Because(err)
	}
	k.body = body
	return nil
}
