// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"errors"
	"net/http"
	"time"
)

// Refusal is the error returned to a caller or operator. It has a kind, the outcome of the
// request and a remedy.
type Refusal struct {
	kind    Kind
	outcome Outcome
	message string
	retryAt time.Time
	cause   error
}

// Refuse returns a refusal with the outcome NotRun: no endpoint received a byte of the request.
func Refuse(k Kind, message string) *Refusal {
	return &Refusal{kind: k, outcome: NotRun, message: message}
}

// Uncertain returns a refusal of a request that may have run.
func Uncertain(k Kind, message string) *Refusal {
	return &Refusal{kind: k, outcome: MayHaveRun, message: message}
}

// WithCause sets the error that caused the refusal, for logs and errors.Is, and returns r.
func (r *Refusal) WithCause(err error) *Refusal {
	r.cause = err
	return r
}

// WithRetryAt sets the time from which a retry may succeed, and returns r.
func (r *Refusal) WithRetryAt(at time.Time) *Refusal {
	r.retryAt = at
	return r
}

// Error returns the kind, message, cause and remedy in one line.
func (r *Refusal) Error() string {
	text := string(r.kind) + ": " + r.message
	if r.cause != nil {
		text += " (" + r.cause.Error() + ")"
	}
	return text + "; " + r.Remedy()
}

// Unwrap returns the cause, or nil.
func (r *Refusal) Unwrap() error { return r.cause }

// Kind returns the kind of the refusal.
func (r *Refusal) Kind() Kind { return r.kind }

// Outcome returns what the caller may assume about the execution of the request.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Message returns the description of the failure, without the remedy.
func (r *Refusal) Message() string { return r.message }

// Remedy returns what the caller can do about the failure.
func (r *Refusal) Remedy() string {
	if r.breaksPromise() {
		return kinds[StageFailed].remedy
	}
	return kinds[r.kind].remedy
}

// RetryAt returns the time from which a retry may succeed, or zero if a retry does not help.
func (r *Refusal) RetryAt() time.Time { return r.retryAt }

// Status returns the HTTP status of the refusal. If the request may have run, it is none that
// PromisesNotRun.
func (r *Refusal) Status() int {
	info, ok := kinds[r.kind]
	switch {
	case !ok:
		return http.StatusInternalServerError
	case r.breaksPromise():
		return http.StatusBadGateway
	default:
		return info.status
	}
}

// breaksPromise reports whether the status of the kind says that the request did not run although it may
// have.
func (r *Refusal) breaksPromise() bool {
	return r.outcome == MayHaveRun && PromisesNotRun(kinds[r.kind].status)
}

// PromisesNotRun reports whether an HTTP status tells callers that the request did not run and will not.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// AsRefusal returns the refusal that err wraps. Any other error becomes a refusal of kind
// Internal with the outcome MayHaveRun, since it is unknown whether the request ran.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Uncertain(Internal, "unforeseen fault").WithCause(err)
}
