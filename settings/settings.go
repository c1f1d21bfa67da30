// SPDX-License-Identifier: Apache-2.0

// Package settings reads the settings files of pinerun: JSON with comments and
// trailing commas. Unknown fields are rejected, and every error is reported with
// its line and remedy.
//
//	file, mistakes := settings.Read(content)
//	for _, m := range mistakes { fmt.Println(m) } // "line 7: entry.listen.callers ..."
package settings

import (
	"time"

	"pinerun.example/pinerun/protocol"
)

// File is a complete settings file. Each process uses the section that it needs.
type File struct {
	Entry   *Entry   `json:"entry"`
	Standin *Standin `json:"standin"`
	Load    *Load    `json:"load"`
	Front   *Front   `json:"front"`
	Fleet   *Fleet   `json:"fleet"`
}

// Entry holds the settings of one entry process. All addresses are IP:port.
type Entry struct {
	Name        string `json:"name" validate:"required,hostname_rfc1123"`
	DataCenter  string `json:"data_center" validate:"required"`
	Region      string `json:"region" validate:"required"`
	Listen      Listen `json:"listen"`
	Platform    string `json:"platform" validate:"required,http_url"`
	Limits      Limits `json:"limits"`
	CallerTLS   TLS    `json:"caller_tls"`
	OperatorTLS TLS    `json:"operator_tls"`
	PeerTLS     TLS    `json:"peer_tls"`
	// Seeds are the peer addresses to contact if the platform is down at startup.
	Seeds        []string `json:"seeds" validate:"dive,hostname_port"`
	PeerKey      string   `json:"peer_key" validate:"required,min=16"`
	LogLevel     string   `json:"log_level" validate:"omitempty,oneof=debug info warn error"`
	PathPolicy   string   `json:"path_policy" validate:"omitempty,oneof=cost report turn chance chain"`
	ClaimShards  int      `json:"claim_shards" validate:"gte=0,lte=64"`
	StopWithinMS int      `json:"stop_within_ms" validate:"gte=0"`
}

// Listen holds the addresses on which an entry serves callers, operators and peers.
type Listen struct {
	Callers   string `json:"callers" validate:"required,hostname_port"`
	Operators string `json:"operators" validate:"required,hostname_port"`
	Peers     string `json:"peers" validate:"required,hostname_port"`
}

// TLS names the files of a certificate, its key, and the authority that signs the
// peer's certificates. Empty means plain TCP.
type TLS struct {
	Certificate string `json:"certificate" validate:"required_with=Key,omitempty,file"`
	Key         string `json:"key" validate:"required_with=Certificate,omitempty,file"`
	Authority   string `json:"authority" validate:"omitempty,file"`
}

// Limits limits the requests of callers to an entry. Zero means the default.
type Limits struct {
	BodyBytes         int64 `json:"body_bytes" validate:"gte=0"`
	HeaderBytes       int   `json:"header_bytes" validate:"gte=0"`
	OpenRequests      int   `json:"open_requests" validate:"gte=0"`
	SlowCallerMS      int   `json:"slow_caller_ms" validate:"gte=0"`
	DefaultDeadlineMS int   `json:"default_deadline_ms" validate:"gte=0"`
	LongestDeadlineMS int   `json:"longest_deadline_ms" validate:"gte=0"`
	KeyRetentionMS    int   `json:"key_retention_ms" validate:"gte=0"`
}

// The defaults of an entry's limits.
const (
	defaultBodyBytes      = 1 << 20
	defaultHeaderBytes    = 16 << 10
	defaultOpenRequests   = 4096
	defaultSlowCallerMS   = 10_000
	defaultDeadlineMS     = 30_000
	defaultLongestMS      = 600_000
	defaultKeyRetentionMS = 600_000
	defaultStopWithinMS   = 30_000
	defaultClaimShards    = 4
)

// WithDefaults returns a copy of the entry with each zero limit set to its default.
func (e Entry) WithDefaults() Entry {
	l := &e.Limits
	setDefault64(&l.BodyBytes, defaultBodyBytes)
	setDefault(&l.HeaderBytes, defaultHeaderBytes)
	setDefault(&l.OpenRequests, defaultOpenRequests)
	setDefault(&l.SlowCallerMS, defaultSlowCallerMS)
	setDefault(&l.DefaultDeadlineMS, defaultDeadlineMS)
	setDefault(&l.LongestDeadlineMS, defaultLongestMS)
	setDefault(&l.KeyRetentionMS, defaultKeyRetentionMS)
	setDefault(&e.StopWithinMS, defaultStopWithinMS)
	setDefault(&e.ClaimShards, defaultClaimShards)
	return e
}

func setDefault(field *int, value int) {
	if *field == 0 {
		*field = value
	}
}

func setDefault64(field *int64, value int64) {
	if *field == 0 {
		*field = value
	}
}

// WriteDeadline returns the time by which a caller must have received data written now.
func (l *Limits) WriteDeadline(now time.Time) time.Time { return now.Add(milliseconds(l.SlowCallerMS)) }

// DefaultDeadline returns the deadline of a request that sets none.
func (l *Limits) DefaultDeadline(now time.Time) time.Time {
	return now.Add(milliseconds(l.DefaultDeadlineMS))
}

// LongestDeadline returns the latest deadline that a request may set.
func (l *Limits) LongestDeadline(now time.Time) time.Time {
	return now.Add(milliseconds(l.LongestDeadlineMS))
}

// KeyExpiry returns how long an idempotency key issued then is remembered.
func (l *Limits) KeyExpiry(issued time.Time) time.Time {
	return issued.Add(milliseconds(l.KeyRetentionMS))
}

// StopBy returns when an entry that is told to stop now must have exited.
func (e *Entry) StopBy(now time.Time) time.Time { return now.Add(milliseconds(e.StopWithinMS)) }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Standin holds the settings of a process that simulates the platform, the engines and the
// services around the entries.
type Standin struct {
	Platform string             `json:"platform" validate:"required,hostname_port"`
	Weights  string             `json:"weights" validate:"omitempty,hostname_port"`
	Models   []protocol.Model   `json:"models" validate:"required,dive"`
	Runners  []RunnerGroup      `json:"runners" validate:"required,dive"`
	Services []protocol.Service `json:"services" validate:"dive"`
	// ExternalServices are services that already run; they are configured but not started.
	ExternalServices []protocol.Service `json:"elsewhere" validate:"dive"`
	Teams            []Team             `json:"teams" validate:"required,dive"`
	Operator         OperatorKey        `json:"operator"`
	OtherOperators   []OperatorKey      `json:"other_operators" validate:"dive"`
}

// RunnerGroup is a group of Count identical stand-in engines on consecutive ports.
type RunnerGroup struct {
	Name        string  `json:"name" validate:"required"`
	Count       int     `json:"count" validate:"gt=0,lte=200"`
	DataCenter  string  `json:"data_center" validate:"required"`
	Accelerator string  `json:"accelerator" validate:"required"`
	FirstPort   int     `json:"first_port" validate:"gt=0,lte=65000"`
	Model       string  `json:"model" validate:"required"`
	From        int     `json:"from" validate:"gte=0"`
	To          int     `json:"to" validate:"gtfield=From"`
	Speed       float64 `json:"speed" validate:"gt=0"`
	Link        string  `json:"link" validate:"omitempty,oneof=near far slow"`
}

// Team is a team of a stand-in deployment with its key in plain text.
type Team struct {
	Name     string  `json:"name" validate:"required"`
	Key      string  `json:"key" validate:"required,min=8"`
	Share    float64 `json:"share" validate:"gt=0"`
	Priority uint8   `json:"priority" validate:"max=9"`
	MaxOpen  int     `json:"open" validate:"gt=0"`
}

// OperatorKey is an operator of a stand-in deployment with the key in plain text.
type OperatorKey struct {
	Name string `json:"name" validate:"required"`
	Key  string `json:"key" validate:"required,min=8"`
	Role string `json:"role" validate:"omitempty,oneof=viewer editor"` // editor if empty
}

// Load holds the settings of the load generator.
type Load struct {
	Entries   []string `json:"entries" validate:"required,dive,http_url"`
	Model     string   `json:"model" validate:"required"`
	Service   string   `json:"service"`
	Keys      []string `json:"keys" validate:"required"`
	MaxTokens int      `json:"max_tokens" validate:"gt=0"`
	// Layers lets the load generator check the answers of stand-in engines. The bounds, in
	// positions per second, are printed next to the throughput.
	Layers     int     `json:"layers" validate:"gte=0"`
	FlowBound  float64 `json:"flow_bound" validate:"gte=0"`
	FleetBound float64 `json:"fleet_bound" validate:"gte=0"`
}
