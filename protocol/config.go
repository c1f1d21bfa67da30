// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// PartKind is the kind of a configuration part.
type PartKind string

// The kinds of parts that a manifest may list.
const (
	TeamPart     PartKind = "team"
	ModelPart    PartKind = "model"
	ServicePart  PartKind = "service"
	FleetPart    PartKind = "fleet"
	OperatorPart PartKind = "operator"
)

// PartRef refers to an immutable part by the hash of its content.
type PartRef struct {
	Kind PartKind `json:"kind"`
	Name string   `json:"name"`
	Hash string   `json:"hash"`
}

// Manifest lists the parts that are in force together. Its version only increases.
// Replacing the manifest in the platform puts a new configuration in force.
type Manifest struct {
	Version uint64    `json:"version"`
	Plan    string    `json:"plan"`
	Author  string    `json:"author"`
	Parts   []PartRef `json:"parts"`
	// Accepted lists the most recently accepted plans, newest first.
	Accepted []AcceptedPlan `json:"accepted,omitempty"`
}

// AcceptedPlan is a plan and the manifest version that put it in force.
type AcceptedPlan struct {
	Plan    string `json:"plan"`
	Version uint64 `json:"version"`
}

// Team is a team of callers, with the hashes of its bearer keys. Share is its
// weight among teams. MaxOpen limits its open requests at all entries together.
// Priority 0 is the most urgent.
type Team struct {
	Name      string   `json:"name" validate:"required"`
	KeyHashes []string `json:"key_hashes" validate:"required,dive,len=64,hexadecimal"`
	Share     float64  `json:"share" validate:"gt=0"`
	Priority  uint8    `json:"priority" validate:"max=9"`
	MaxOpen   int      `json:"open" validate:"gt=0"`
}

// Model is a served model version. MaxOpen limits the requests of the model that
// all entries together run concurrently. Context limits the sum of prompt and
// output tokens. TokenIntervalMS is the mean time between output tokens, in
// milliseconds, that admission maintains under load; 0 means DefaultTokenIntervalMS.
type Model struct {
	Name            string `json:"name" validate:"required"`
	Version         string `json:"version" validate:"required"`
	Layers          int    `json:"layers" validate:"gt=0,max=256"`
	MaxOpen         int    `json:"open" validate:"gt=0"`
	Context         int    `json:"context" validate:"gt=0,max=16384"`
	TokenIntervalMS int    `json:"gap_ms" validate:"gte=0"`
}

// DefaultTokenIntervalMS is the default target time between output tokens.
const DefaultTokenIntervalMS = 60

// TokenInterval returns the target time between output tokens.
func (m Model) TokenInterval() time.Duration {
	if m.TokenIntervalMS == 0 {
		return DefaultTokenIntervalMS * time.Millisecond
	}
	return time.Duration(m.TokenIntervalMS) * time.Millisecond
}

// Service is an HTTP service that is not a model engine. Repeatable is whether its
// calls may be retried if the caller does not specify it.
type Service struct {
	Name       string            `json:"name" validate:"required"`
	Repeatable bool              `json:"repeatable"`
	Endpoints  []ServiceEndpoint `json:"endpoints" validate:"required,dive"`
}

// ServiceEndpoint is an address of a service. The host is an IP address.
type ServiceEndpoint struct {
	Name       string `json:"name" validate:"required"`
	VM         string `json:"vm" validate:"required"`
	DataCenter string `json:"data_center" validate:"required"`
	Address    string `json:"address" validate:"required,hostname_port"`
}

// Runner is an engine that holds the layers [From, To) of a model. Speed is in layer
// passes per second; a layer pass runs one layer over one position.
type Runner struct {
	Name        string  `json:"name" validate:"required"`
	VM          string  `json:"vm" validate:"required"`
	DataCenter  string  `json:"data_center" validate:"required"`
	Accelerator string  `json:"accelerator" validate:"required"`
	Address     string  `json:"address" validate:"required,hostname_port"`
	Model       string  `json:"model" validate:"required"`
	From        int     `json:"from" validate:"gte=0"`
	To          int     `json:"to" validate:"gtfield=From"`
	Epoch       uint64  `json:"epoch"`
	Speed       float64 `json:"speed" validate:"gt=0"`
	Link        string  `json:"link" validate:"omitempty,oneof=near far slow"`
	Drain       bool    `json:"drain,omitempty"` // accepts no new work
	// StepSeconds is the time one output token takes in one layer, in seconds; 0 is unknown.
	StepSeconds float64 `json:"step,omitempty" validate:"gte=0"`
	// Capacity is the number of request tokens that fit into memory beside the layers; 0 is unknown.
	Capacity float64 `json:"room,omitempty" validate:"gte=0"`
	// Restarts is how often the endpoint is known to have restarted under its name.
	// Measurements of an earlier incarnation do not apply to the current one.
	Restarts int `json:"-"`
}

// Fleet lists the runners of one data center.
type Fleet struct {
	Name    string   `json:"name" validate:"required"`
	Runners []Runner `json:"runners" validate:"dive"`
}

// Operator is a person who may submit intents. Role is "viewer" or "editor".
type Operator struct {
	Name    string `json:"name" validate:"required"`
	KeyHash string `json:"key_hash" validate:"required,len=64,hexadecimal"`
	Role    string `json:"role" validate:"oneof=viewer editor"`
}

// HashPart returns the content hash that identifies a part.
func HashPart(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// HashKey returns the hash of a bearer key as it is stored in the configuration.
func HashKey(key string) string { return HashPart([]byte(key)) }
