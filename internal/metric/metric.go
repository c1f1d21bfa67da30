// SPDX-License-Identifier: Apache-2.0

// Package metric counts what an entry did, in expvar's form. Each entry has a
// Set of its own, so that several entries can live in one process.
//
//	var s metric.Set
//	s.Refused(protocol.QueueFull)
//	s.Retried("stream_error")
//	s.String() // {"refused.queue_full": 1, "retried.stream_error": 1}
package metric

import (
	"expvar"
	"sync"
	"time"

	"pinerun.example/pinerun/protocol"
)

// Reason says why a request was tried again.
type Reason string

// The reasons for which an entry tries again, each with a counter
// "retried.REASON".
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

// Reasons returns every retry reason.
func Reasons() []Reason {
	return []Reason{
		StreamError, Silence, CacheLost, SpanMoved, RunnerLeaving, Overloaded,
		BadReply, NotSent, ClaimRace, ClaimLost,
	}
}

// Name is a counter that is neither a refusal nor a retry.
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

	EndpointConnections Name = "endpoint_connections"
	ReportRequests      Name = "reports_asked"
	PlansComputed       Name = "plans_worked_out"
	OrdersGiven         Name = "orders_given"
	LinesDropped        Name = "log_lines_dropped"
	RequestsQueued      Name = "requests_held"
	RecordsSuperseded   Name = "records_superseded"
	RecordsDisproved    Name = "records_disproved"
	RestartsSeen        Name = "restarts_seen"
	HeldAnswerBytes     Name = "held_answer_bytes"
	HeldBodyBytes       Name = "held_body_bytes"
	PressureStopped     Name = "pressure_stopped"
	PressureDropped     Name = "pressure_dropped"
	PressureEnded       Name = "pressure_ended"
	ConnectionsClosed   Name = "connections_closed"
	EndpointsSlow       Name = "endpoints_slow"
	SlownessReports     Name = "slow_news"
	PathOrders          Name = "path_orders"
	IsolatedRuns        Name = "requests_tried_alone"
	WorkRefused         Name = "work_refused"
)

// Names returns every counter that is neither a refusal nor a retry.
func Names() []Name {
	return []Name{
		Requests, AnsweredInTime, AnsweredLate, TokensEmitted, StepsSent, FramesSent,
		RepliesDropped, FramesBroken, ReportsIgnored, PlatformCalls, PlatformFaults,
		ClaimsGranted, ClaimsReplayed, ClaimWrites, ConfigAccepted, ConfigIgnored,
		RunnersEjected, PeerConnections, PeerFrames, PeerBytes,
		EndpointConnections, ReportRequests, PlansComputed, OrdersGiven, LinesDropped, RequestsQueued,
		RecordsSuperseded, RecordsDisproved, RestartsSeen,
		HeldAnswerBytes, HeldBodyBytes, PressureStopped, PressureDropped, PressureEnded, ConnectionsClosed,
		EndpointsSlow, SlownessReports, PathOrders, IsolatedRuns, WorkRefused,
	}
}

// Call is what a call to the platform asks for.
type Call string

// The calls, each with a counter "platform_calls_by.CALL KIND", where KIND is that of the
// objects.
const (
	Read      Call = "read"
	Write     Call = "write"
	List      Call = "list"
	ListStale Call = "list_lately" // as the platform held it some seconds ago
	ReadStale Call = "read_lately" // likewise
	Watch     Call = "watch"
	Delete    Call = "delete"
)

// Set is one entry's counters and latencies. The zero value counts from nothing.
type Set struct {
	counters expvar.Map
	times    sync.Map // of *Times by Timed
}

// RecordDuration records how long something took.
func (s *Set) RecordDuration(what Latency, d time.Duration) { s.timesOf(what).Record(d) }

func (s *Set) timesOf(what Latency) *Histogram {
	t, ok := s.times.Load(what)
	if !ok {
		t, _ = s.times.LoadOrStore(what, &Histogram{})
	}
	return t.(*Histogram)
}

// CountRefusal counts a refusal of that kind.
func (s *Set) CountRefusal(k protocol.Kind) { s.counters.Add("refused."+string(k), 1) }

// CountRetry counts a further try for that reason.
func (s *Set) CountRetry(r Reason) { s.counters.Add("retried."+string(r), 1) }

// CountUnusableRecord counts a record that was found to name no endpoint to use, for a reason that
// it did not have before.
func (s *Set) CountUnusableRecord(f protocol.RecordFault) {
	s.counters.Add("records_unusable."+string(f), 1)
}

// CountPlatformCall counts a call to the platform for objects of a kind.
func (s *Set) CountPlatformCall(what Call, kind string) {
	s.Add(PlatformCalls, 1)
	s.counters.Add("platform_calls_by."+string(what)+" "+kind, 1)
}

// Add raises a counter by n.
func (s *Set) Add(n Name, delta int64) { s.counters.Add(string(n), delta) }

// Value returns a counter by its full name, zero when it was never raised.
func (s *Set) Value(name string) int64 {
	if v, ok := s.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as a JSON object.
func (s *Set) String() string { return s.counters.String() }
