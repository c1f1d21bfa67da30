// SPDX-License-Identifier: Apache-2.0

// Package metric holds the counters and latencies of an entry, in expvar's form. Each
// entry has its own Set, so that several entries can run in one process.
//
//	var s metric.Set
//	s.CountRefusal(protocol.QueueFull)
//	s.CountRetry("stream_error")
//	s.String() // {"refused.queue_full": 1, "retried.stream_error": 1}
package metric

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Reason is why a request was retried.
type Reason string

// The reasons for a retry, each with a counter "retried.REASON".
const (
	StreamError   Reason = "stream_error"
	Silence       Reason = "silence"
	CacheLost     Reason = "cache_lost"
	SpanMoved     Reason = "span_moved"
	RunnerLeaving Reason = "runner_leaving"
	Overloaded    Reason = "overloaded"
	BadReply      Reason = "bad_reply"
	NotSent       Reason = "not_sent"
	ClaimRace     Reason = "claim_race"
	ClaimLost     Reason = "claim_answer_lost"
)

// Reasons returns all retry reasons.
func Reasons() []Reason {
	return []Reason{
		StreamError, Silence, CacheLost, SpanMoved, RunnerLeaving, Overloaded,
		BadReply, NotSent, ClaimRace, ClaimLost,
	}
}

// Name is the name of a counter that counts neither refusals nor retries.
type Name string

// The other counters.
const (
	Requests        Name = "requests"
	AnsweredInTime  Name = "answered"
	AnsweredLate    Name = "late"
	TokensEmitted   Name = "tokens"
	StepsSent       Name = "steps_sent"
	FramesSent      Name = "frames_sent"
	RepliesDropped  Name = "replies_dropped"
	FramesBroken    Name = "frames_broken"
	ReportsIgnored  Name = "reports_ignored"
	PlatformCalls   Name = "platform_calls"
	PlatformFaults  Name = "platform_faults"
	ClaimsGranted   Name = "claims_granted"
	ClaimsReplayed  Name = "claims_replayed"
	ClaimWrites     Name = "claim_writes"
	ConfigAccepted  Name = "config_accepted"
	ConfigIgnored   Name = "config_ignored"
	RunnersEjected  Name = "runners_ejected"
	PeerConnections Name = "peer_connections"
	PeerFrames      Name = "peer_frames_sent"
	PeerBytes       Name = "peer_bytes_sent"

	EndpointConnections    Name = "endpoint_connections"
	ReportRequests         Name = "reports_asked"
	PlansComputed          Name = "plans_worked_out"
	OrdersGiven            Name = "orders_given"
	LinesDropped           Name = "log_lines_dropped"
	RequestsQueued         Name = "requests_held"
	RecordsSuperseded      Name = "records_superseded"
	RecordsDisproved       Name = "records_disproved"
	RestartsSeen           Name = "restarts_seen"
	EndpointsKept          Name = "endpoints_kept"
	HeldAnswerBytes        Name = "held_answer_bytes"
	HeldBodyBytes          Name = "held_body_bytes"
	PressureStopped        Name = "pressure_stopped"
	PressureDropped        Name = "pressure_dropped"
	PressureEnded          Name = "pressure_ended"
	ConnectionsClosed      Name = "connections_closed"
	RequestsUnreadable     Name = "requests_unreadable"
	RequestsFailed         Name = "requests_failed"
	EndpointsSlow          Name = "endpoints_slow"
	SlownessReports        Name = "slow_news"
	EndpointsLimited       Name = "endpoints_limited"
	LimitWaits             Name = "limit_waits"
	PathOrders             Name = "path_orders"
	IsolatedRuns           Name = "requests_tried_alone"
	WorkRefused            Name = "work_refused"
	ConfirmationWaits      Name = "confirmation_waits"
	ConfigPassedOver       Name = "config_passed_over"
	StoreRestores          Name = "store_restores"
	StoreConnectionsSilent Name = "store_connections_silent"
)

// Names returns all counters that count neither refusals nor retries.
func Names() []Name {
	return []Name{
		Requests, AnsweredInTime, AnsweredLate, TokensEmitted, StepsSent, FramesSent,
		RepliesDropped, FramesBroken, ReportsIgnored, PlatformCalls, PlatformFaults,
		ClaimsGranted, ClaimsReplayed, ClaimWrites, ConfigAccepted, ConfigIgnored,
		RunnersEjected, PeerConnections, PeerFrames, PeerBytes,
		EndpointConnections, ReportRequests, PlansComputed, OrdersGiven, LinesDropped, RequestsQueued,
		RecordsSuperseded, RecordsDisproved, RestartsSeen, EndpointsKept,
		HeldAnswerBytes, HeldBodyBytes, PressureStopped, PressureDropped, PressureEnded, ConnectionsClosed, RequestsUnreadable, RequestsFailed,
		EndpointsSlow, SlownessReports, EndpointsLimited, LimitWaits, PathOrders, IsolatedRuns, WorkRefused,
		ConfirmationWaits, ConfigPassedOver, StoreRestores, StoreConnectionsSilent,
	}
}

// Call is the kind of a call to the platform.
type Call string

// The kinds of calls, each with a counter "platform_calls_by.CALL KIND", where KIND is the
// kind of the objects.
const (
	Read      Call = "read"
	Write     Call = "write"
	List      Call = "list"
	ListStale Call = "list_lately" // may return a state that is some seconds old
	ReadStale Call = "read_lately" // may return a state that is some seconds old
	Watch     Call = "watch"
	Delete    Call = "delete"
)

// Set holds the counters and latencies of one entry. The zero value is empty and ready to use.
type Set struct {
	counters  expvar.Map
	latencies sync.Map // of *Histogram by Latency
}

// RecordDuration adds a duration to the histogram of a latency.
func (s *Set) RecordDuration(latency Latency, d time.Duration) { s.histogram(latency).Record(d) }

func (s *Set) histogram(latency Latency) *Histogram {
	t, ok := s.latencies.Load(latency)
	if !ok {
		t, _ = s.latencies.LoadOrStore(latency, &Histogram{})
	}
	return t.(*Histogram)
}

// CountRefusal counts a refusal of the kind.
func (s *Set) CountRefusal(k protocol.Kind) { s.counters.Add("refused."+string(k), 1) }

// CountConnectionClosed counts a caller's connection that this entry closed before it brought a request, in total and by
// reason.
func (s *Set) CountConnectionClosed(r CloseReason) {
	s.Add(ConnectionsClosed, 1)
	s.counters.Add(string(ConnectionsClosed)+"_by."+string(r), 1)
}

// CountRetry counts a retry for the reason.
func (s *Set) CountRetry(r Reason) { s.counters.Add("retried."+string(r), 1) }

// CountUnusableRecord counts a record that turned out not to describe a usable endpoint, for a
// fault that it did not have before.
func (s *Set) CountUnusableRecord(f protocol.RecordFault) {
	s.counters.Add("records_unusable."+string(f), 1)
}

// CountPlatformCall counts a call to the platform for objects of a kind.
func (s *Set) CountPlatformCall(call Call, kind string) {
	s.Add(PlatformCalls, 1)
	s.counters.Add("platform_calls_by."+string(call)+" "+kind, 1)
}

// CountTunnelAsked counts a request for a tunnel that this entry made, by what came of it.
func (s *Set) CountTunnelAsked(outcome string) { s.counters.Add("tunnels_asked_by."+outcome, 1) }

// CountTunnelServed counts a request for a tunnel that another entry made, by its outcome.
func (s *Set) CountTunnelServed(o protocol.TunnelOutcome) {
	s.counters.Add("tunnels_served_by."+o.String(), 1)
}

// CountPlatformStatus counts an answer of the platform with that HTTP status.
func (s *Set) CountPlatformStatus(status int) {
	s.counters.Add("platform_answers_by."+strconv.Itoa(status), 1)
}

// Add increases a counter by delta.
func (s *Set) Add(n Name, delta int64) { s.counters.Add(string(n), delta) }

// Value returns the value of the counter with that full name, zero if it was never increased.
func (s *Set) Value(name string) int64 {
	if v, ok := s.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as a JSON object.
func (s *Set) String() string { return s.counters.String() }
