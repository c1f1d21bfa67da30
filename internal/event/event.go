// SPDX-License-Identifier: Apache-2.0

// Package event is the catalogue of log events. The number of an event never changes. Each
// event is documented in docs/EVENTS.md; a test compares the two.
//
//	event.EntryReady.Log(logger, slog.String("entry", "e1"))
package event

import (
	"context"
	"log/slog"
)

// Event is a kind of log event.
type Event struct {
	number int
	name   string
	level  slog.Level
}

// The events of an entry.
var (
	EntryReady            = Event{1001, "entry ready", slog.LevelInfo}
	EntryStopping         = Event{1002, "entry stopping", slog.LevelInfo}
	EntryStopped          = Event{1003, "entry stopped", slog.LevelInfo}
	RequestRefused        = Event{2001, "request refused", slog.LevelInfo}
	RequestRetried        = Event{2002, "request retried", slog.LevelWarn}
	RequestSent           = Event{2003, "request sent", slog.LevelInfo}
	RequestAnswered       = Event{2004, "request answered", slog.LevelInfo}
	SilenceSuspected      = Event{2005, "silence suspected", slog.LevelWarn}
	AttemptBroken         = Event{2006, "attempt broken", slog.LevelWarn}
	StreamCut             = Event{2007, "stream cut", slog.LevelWarn}
	CallerLeft            = Event{2008, "caller left", slog.LevelInfo}
	AttemptNotRun         = Event{2010, "attempt not run", slog.LevelInfo}
	CallerUnbounded       = Event{2009, "caller unbounded", slog.LevelWarn}
	QueueWaitFailed       = Event{2011, "waited in vain", slog.LevelInfo}
	QueueWaitStarted      = Event{2012, "waits for room", slog.LevelInfo}
	AnswerStopped         = Event{2013, "caller reads slowly", slog.LevelInfo}
	AnswerAborted         = Event{2014, "answer ended for room", slog.LevelWarn}
	PathOrdered           = Event{2015, "change of path ordered", slog.LevelInfo}
	PathAnswered          = Event{2016, "change of path answered", slog.LevelInfo}
	WorkRefused           = Event{2017, "work refused", slog.LevelWarn}
	WorkReleased          = Event{2018, "work released", slog.LevelInfo}
	RefusalIgnored        = Event{2019, "refusal ignored", slog.LevelWarn}
	CrashUnresolved       = Event{2020, "end in doubt", slog.LevelWarn}
	IsolatedRunAwaited    = Event{2021, "waits to run alone", slog.LevelInfo}
	StageLost             = Event{2022, "waits for a lost stage", slog.LevelWarn}
	QuarantineApplied     = Event{2023, "kept from endpoints", slog.LevelInfo}
	ConnectionClosed      = Event{2024, "connection closed", slog.LevelInfo}
	RequestUnreadable     = Event{2025, "request unreadable", slog.LevelInfo}
	RequestFailed         = Event{2026, "request handler failed", slog.LevelError}
	RunnerConnected       = Event{3001, "runner connected", slog.LevelInfo}
	RunnerLost            = Event{3002, "runner lost", slog.LevelWarn}
	RunnerEjected         = Event{3003, "runner ejected", slog.LevelWarn}
	FrameBroken           = Event{3004, "frame broken", slog.LevelWarn}
	ReportIgnored         = Event{3005, "load report ignored", slog.LevelWarn}
	EndpointJoined        = Event{3006, "endpoint joined", slog.LevelInfo}
	EndpointLeaving       = Event{3007, "endpoint leaving", slog.LevelInfo}
	EndpointGone          = Event{3008, "endpoint gone", slog.LevelInfo}
	LayersChanged         = Event{3010, "layers changed", slog.LevelInfo}
	LossReported          = Event{3011, "loss told", slog.LevelWarn}
	RecordSuperseded      = Event{3012, "record superseded", slog.LevelWarn}
	RecordDisproved       = Event{3013, "record disproved", slog.LevelWarn}
	RecordUnusable        = Event{3014, "record unusable", slog.LevelWarn}
	RecordUsable          = Event{3015, "record usable", slog.LevelInfo}
	EndpointSlow          = Event{3016, "endpoint slow", slog.LevelWarn}
	EndpointRecovered     = Event{3017, "endpoint fast again", slog.LevelInfo}
	EndpointRestarted     = Event{3018, "endpoint restarted", slog.LevelInfo}
	RateLimitChanged      = Event{3019, "endpoint limits requests", slog.LevelWarn}
	BackoffAsked          = Event{3020, "endpoint asks for backoff", slog.LevelInfo}
	LeavingTold           = Event{3021, "endpoint tells that it leaves", slog.LevelInfo}
	LossObserved          = Event{3022, "loss observed", slog.LevelWarn}
	PathBlocked           = Event{3023, "path to endpoint cut", slog.LevelWarn}
	PathRestored          = Event{3024, "path to endpoint works", slog.LevelInfo}
	EntryCutOff           = Event{3025, "cut off from endpoints", slog.LevelWarn}
	EntryReconnected      = Event{3026, "reaches endpoints again", slog.LevelInfo}
	TunnelFailed          = Event{3027, "tunnel failed", slog.LevelWarn}
	EndpointKept          = Event{3028, "endpoint kept without a record", slog.LevelWarn}
	ConfigInForce         = Event{4001, "configuration in force", slog.LevelInfo}
	ConfigIgnored         = Event{4002, "configuration ignored", slog.LevelWarn}
	KeysUnconfirmed       = Event{4003, "keys unconfirmed", slog.LevelWarn}
	KeysConfirmed         = Event{4004, "keys confirmed again", slog.LevelInfo}
	ConfigPassedOver      = Event{4005, "configuration passed over", slog.LevelWarn}
	PlatformUnreached     = Event{5001, "platform unreached", slog.LevelWarn}
	PlatformBack          = Event{5002, "platform back", slog.LevelInfo}
	PlatformCalled        = Event{5003, "platform called", slog.LevelDebug}
	StoreRestored         = Event{5004, "store restored", slog.LevelWarn}
	StoreConnectionSilent = Event{5005, "store connection silent", slog.LevelWarn}
	TableChecked          = Event{5006, "routing table checked", slog.LevelInfo}
	ClaimShardLoaded      = Event{6001, "claim shard loaded", slog.LevelInfo}
	ClaimWriteRaced       = Event{6002, "claim write raced", slog.LevelInfo}
	ClaimAnswerLost       = Event{6003, "claim write answer lost", slog.LevelWarn}
	ClaimOutcomeUnkept    = Event{6004, "claim outcome not kept", slog.LevelError}
	PeerConnected         = Event{7001, "peer connected", slog.LevelInfo}
	PeerLost              = Event{7002, "peer lost", slog.LevelWarn}
	EntriesCounted        = Event{7003, "entries counted", slog.LevelInfo}
	PeerFollowed          = Event{7004, "peer followed", slog.LevelInfo}
	PeerLeft              = Event{7005, "peer left", slog.LevelInfo}
	FollowerGone          = Event{7006, "follower gone", slog.LevelInfo}
	EntryIgnored          = Event{7007, "entry ignored", slog.LevelWarn}
	LeaseTaken            = Event{8001, "lease taken", slog.LevelInfo}
	LeaseLost             = Event{8002, "lease lost", slog.LevelWarn}
	OrderGiven            = Event{8003, "order given", slog.LevelInfo}
	OrderFailed           = Event{8004, "order failed", slog.LevelWarn}
	LeaseReleased         = Event{8005, "lease given up", slog.LevelInfo}
	LeaseWriteUncertain   = Event{8006, "lease write unsure", slog.LevelWarn}
	LinesDropped          = Event{9101, "lines dropped", slog.LevelWarn}
	VMSuspended           = Event{1006, "suspension noticed", slog.LevelWarn}
	EntryRanLate          = Event{1007, "entry ran late", slog.LevelWarn}
	SettingsRead          = Event{1004, "settings read", slog.LevelInfo}
	SettingsIgnored       = Event{1005, "settings ignored", slog.LevelWarn}
	PlanConfirmed         = Event{9001, "plan confirmed", slog.LevelInfo}
)

// All returns all events in order of their numbers.
func All() []Event {
	return []Event{
		EntryReady, EntryStopping, EntryStopped, SettingsRead, SettingsIgnored, VMSuspended, EntryRanLate,
		RequestRefused, RequestRetried, RequestSent, RequestAnswered, SilenceSuspected, AttemptBroken,
		StreamCut, CallerLeft, CallerUnbounded, AttemptNotRun, QueueWaitFailed, QueueWaitStarted, AnswerStopped, AnswerAborted,
		PathOrdered, PathAnswered, WorkRefused, WorkReleased, RefusalIgnored, CrashUnresolved, IsolatedRunAwaited, StageLost, QuarantineApplied,
		ConnectionClosed, RequestUnreadable, RequestFailed,
		RunnerConnected, RunnerLost, RunnerEjected, FrameBroken, ReportIgnored,
		EndpointJoined, EndpointLeaving, EndpointGone, LayersChanged, LossReported,
		RecordSuperseded, RecordDisproved, RecordUnusable, RecordUsable, EndpointSlow, EndpointRecovered, EndpointRestarted, RateLimitChanged, BackoffAsked, LeavingTold, LossObserved,
		PathBlocked, PathRestored, EntryCutOff, EntryReconnected, TunnelFailed, EndpointKept,
		ConfigInForce, ConfigIgnored, KeysUnconfirmed, KeysConfirmed, ConfigPassedOver,
		PlatformUnreached, PlatformBack, PlatformCalled, StoreRestored, StoreConnectionSilent, TableChecked,
		ClaimShardLoaded, ClaimWriteRaced, ClaimAnswerLost, ClaimOutcomeUnkept,
		PeerConnected, PeerLost,
		EntriesCounted, PeerFollowed, PeerLeft, FollowerGone, EntryIgnored,
		LeaseTaken, LeaseLost, OrderGiven, OrderFailed, LeaseReleased, LeaseWriteUncertain,
		PlanConfirmed, LinesDropped,
	}
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Name returns the event's name, which is also the message of its log lines.
func (e Event) Name() string { return e.name }

// Level returns the level at which the event is logged.
func (e Event) Level() slog.Level { return e.level }

// Log writes the event with its number and the attributes. A nil logger writes nothing.
func (e Event) Log(l *slog.Logger, attrs ...slog.Attr) {
	if l == nil {
		return
	}
	attrs = append([]slog.Attr{slog.Int("event", e.number)}, attrs...)
	l.LogAttrs(context.Background(), e.level, e.name, attrs...)
}
