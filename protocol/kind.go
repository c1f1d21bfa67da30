// SPDX-License-Identifier: Apache-2.0

package protocol

import "net/http"

// Kind is the kind of a refusal. Each kind has an HTTP status, a counter and a
// remedy for the caller.
type Kind string

// The kinds of refusals, as sent in the field "kind" of an error.
const (
	MalformedRequest    Kind = "malformed_request"
	RequestLate         Kind = "request_late"
	BodyTooLarge        Kind = "body_too_large"
	HeadTooLarge        Kind = "head_too_large"
	WrongKey            Kind = "wrong_key"
	WrongRole           Kind = "wrong_role"
	UnknownModel        Kind = "unknown_model"
	UnknownService      Kind = "unknown_service"
	UnknownRequest      Kind = "unknown_request"
	DeadlinePassed      Kind = "deadline_passed"
	DeadlineUnreachable Kind = "deadline_unreachable"
	TooManyOpen         Kind = "too_many_open"
	TeamLimit           Kind = "team_limit"
	QueueFull           Kind = "queue_full"
	NoPath              Kind = "no_path"
	StageFailed         Kind = "stage_failed"
	EngineBroken        Kind = "engine_broken"
	RetriesSpent        Kind = "retries_spent"
	ServiceFailed       Kind = "service_failed"
	ServiceUnreachable  Kind = "service_unreachable"
	NoConfiguration     Kind = "no_configuration"
	Stopping            Kind = "stopping"
	ClaimUnavailable    Kind = "claim_unavailable"
	ClaimHeld           Kind = "claim_held"
	ClaimsFull          Kind = "claims_full"
	KeyReused           Kind = "key_reused"
	KeyExpired          Kind = "key_expired"
	CallerGone          Kind = "caller_gone"
	StalePlan           Kind = "stale_plan"
	UnknownPlan         Kind = "unknown_plan"
	UnknownIntent       Kind = "unknown_intent"
	PlatformDown        Kind = "platform_down"
	CrashesEndpoints    Kind = "ends_endpoints"
	Internal            Kind = "internal"
)

type kindInfo struct {
	status int
	remedy string
}

var kinds = map[Kind]kindInfo{
	MalformedRequest:    {http.StatusBadRequest, "mend the request as the message says and send it again"},
	RequestLate:         {http.StatusRequestTimeout, "send the request again; its body did not come in time, so it has not run"},
	BodyTooLarge:        {http.StatusRequestEntityTooLarge, "send a shorter body; the limit is in the message"},
	HeadTooLarge:        {http.StatusRequestHeaderFieldsTooLarge, "send fewer or shorter headers; the limit is in the message"},
	WrongKey:            {http.StatusUnauthorized, "send a valid key as 'Authorization: Bearer KEY'"},
	WrongRole:           {http.StatusForbidden, "use an operator key whose role allows this"},
	UnknownModel:        {http.StatusNotFound, "ask the operator which models exist"},
	UnknownService:      {http.StatusNotFound, "ask the operator which services exist"},
	UnknownRequest:      {http.StatusNotFound, "ask the entry named in the answer's Pinerun-Entry header"},
	DeadlinePassed:      {http.StatusGatewayTimeout, "send the request with a later Pinerun-Deadline"},
	DeadlineUnreachable: {http.StatusServiceUnavailable, "come back after Retry-After, or allow a later deadline"},
	TooManyOpen:         {http.StatusServiceUnavailable, "come back after Retry-After"},
	TeamLimit:           {http.StatusTooManyRequests, "wait for your team's open requests, or ask for a higher limit"},
	QueueFull:           {http.StatusServiceUnavailable, "come back after Retry-After"},
	NoPath:              {http.StatusServiceUnavailable, "come back after Retry-After; the operator can see the missing layers with 'pinerun status'"},
	StageFailed:         {http.StatusBadGateway, "send the request again if running it twice does no harm"},
	EngineBroken:        {http.StatusBadGateway, "send the request again if running it twice does no harm"},
	RetriesSpent:        {http.StatusServiceUnavailable, "come back after Retry-After"},
	ServiceFailed:       {http.StatusBadGateway, "ask the service whether the call ran before you send it again"},
	ServiceUnreachable:  {http.StatusServiceUnavailable, "come back after Retry-After"},
	NoConfiguration:     {http.StatusServiceUnavailable, "come back after Retry-After; this entry has not read its configuration yet"},
	Stopping:            {http.StatusServiceUnavailable, "send the request again; another entry takes it"},
	ClaimUnavailable:    {http.StatusServiceUnavailable, "send the request again later with the same Idempotency-Key"},
	ClaimHeld:           {http.StatusConflict, "repeat with the same Idempotency-Key to get the answer once it is known"},
	ClaimsFull:          {http.StatusServiceUnavailable, "come back after Retry-After with the same Idempotency-Key"},
	KeyReused:           {http.StatusUnprocessableEntity, "use a new Idempotency-Key for a different request"},
	KeyExpired:          {http.StatusConflict, "ask the service whether the call ran; then issue it anew with a new Idempotency-Key"},
	CallerGone:          {499, "send the request again if running it twice does no harm"},
	StalePlan:           {http.StatusConflict, "state the intent again to get a plan made from the configuration in force"},
	UnknownPlan:         {http.StatusNotFound, "list the plans with 'pinerun plans'"},
	UnknownIntent:       {http.StatusBadRequest, "see the intents with 'pinerun intent --help'"},
	PlatformDown:        {http.StatusServiceUnavailable, "send it again when the platform answers; nothing changed"},
	CrashesEndpoints:    {http.StatusServiceUnavailable, "change the request: endpoints end when they run it. The same one is tried again after Retry-After, sooner if the operator releases it"},
	Internal:            {http.StatusInternalServerError, "report the request's id to the operator"},
}

// Kinds returns every kind of refusal, in no particular order.
func Kinds() []Kind {
	all := make([]Kind, 0, len(kinds))
	for k := range kinds {
		all = append(all, k)
	}
	return all
}
