// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"errors"
	"net/http"
	"time"
)

// Refusal is the error that a caller or operator gets: a kind, what it may rely
// on (the outcome) and what to do next. A refusal made by Refuse says "not run".
type Refusal struct {
	kind    Kind
	outcome Outcome
	message string
	again   time.Time
	cause   error
}

// Refuse returns a refusal of a request that no endpoint got a byte of.
func Refuse(k Kind, message string) *Refusal {
	return &Refusal{kind: k, outcome: NotRun, message: message}
}

// Uncertain returns a refusal of a request that may have run.
func Uncertain(k Kind, message string) *Refusal {
	return &Refusal{kind: k, outcome: MayHaveRun, message: message}
}

// WithCause returns r with the error that caused it, for logs and errors.Is.
func (r *Refusal) WithCause(err error) *Refusal {
	r.cause = err
	return r
}

// WithRetryAt returns r with the time from which it is worth asking again.
func (r *Refusal) WithRetryAt(at time.Time) *Refusal {
	r.again = at
	return r
}

// Error returns the message, its cause and its remedy in one line.
func (r *Refusal) Error() string {
	text := string(r.kind) + ": " + r.message
	if r.cause != nil {
		text += " (" + r.cause.Error() + ")"
	}
	return text + "; " + r.Remedy()
}

// Unwrap returns the cause, or nil.
func (r *Refusal) Unwrap() error { return r.cause }

// Kind returns the sort of refusal.
func (r *Refusal) Kind() Kind { return r.kind }

// Outcome returns what the caller may rely on.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Message returns what went wrong, without the remedy.
func (r *Refusal) Message() string { return r.message }

// Remedy returns what the caller can do about it.
func (r *Refusal) Remedy() string { return kinds[r.kind].remedy }

// RetryAt returns the time from which to ask again; zero when that is no help.
func (r *Refusal) RetryAt() time.Time { return r.again }

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	info, ok := kinds[r.kind]
	if !ok {
		return http.StatusInternalServerError
	}
	return info.status
}

// AsRefusal returns the refusal inside err. Any other error becomes one of kind
// Internal that may have run, so that an unforeseen fault never claims safety.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Uncertain(Internal, "unforeseen fault").WithCause(err)
}
