// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// PartKind tells the sorts of configuration parts apart.
type PartKind string

// The sorts of parts that a manifest may list.
const (
	TeamPart     PartKind = "team"
	ModelPart    PartKind = "model"
	ServicePart  PartKind = "service"
	FleetPart    PartKind = "fleet"
	OperatorPart PartKind = "operator"
)

// PartRef names one immutable part by the hash of its content.
type PartRef struct {
	Kind PartKind `json:"kind"`
	Name string   `json:"name"`
	Hash string   `json:"hash"`
}

// Manifest lists the parts that are in force together. Its version only rises;
// replacing it in the platform is what accepts a configuration.
type Manifest struct {
	Version uint64    `json:"version"`
	Plan    string    `json:"plan"`
	Author  string    `json:"author"`
	Parts   []PartRef `json:"parts"`
	// Accepted names the last plans that were accepted, the newest first.
	Accepted []AcceptedPlan `json:"accepted,omitempty"`
}

// AcceptedPlan is a plan and the version that accepted it.
type AcceptedPlan struct {
	Plan    string `json:"plan"`
	Version uint64 `json:"version"`
}

// Team is one of the operator's callers, with the hashes of its bearer keys.
// Share is its weight among teams; Open bounds its open requests at all entries
// together. Priority 0 is the most urgent.
type Team struct {
	Name      string   `json:"name" validate:"required"`
	KeyHashes []string `json:"key_hashes" validate:"required,dive,len=64,hexadecimal"`
	Share     float64  `json:"share" validate:"gt=0"`
	Priority  uint8    `json:"priority" validate:"max=9"`
	MaxOpen   int      `json:"open" validate:"gt=0"`
}

// Model is one served model version. Open bounds the requests of the model that
// all entries together run at once; Context bounds prompt plus answer tokens.
// GapMS is the mean gap between tokens, in milliseconds, that admission holds
// under load; 0 means DefaultGapMS.
type Model struct {
	Name            string `json:"name" validate:"required"`
	Version         string `json:"version" validate:"required"`
	Layers          int    `json:"layers" validate:"gt=0,max=256"`
	MaxOpen         int    `json:"open" validate:"gt=0"`
	Context         int    `json:"context" validate:"gt=0,max=16384"`
	TokenIntervalMS int    `json:"gap_ms" validate:"gte=0"`
}

// DefaultTokenIntervalMS is the gap between tokens that a model aims at.
const DefaultTokenIntervalMS = 60

// TokenInterval returns the gap between tokens that the model aims at.
func (m Model) TokenInterval() time.Duration {
	if m.TokenIntervalMS == 0 {
		return DefaultTokenIntervalMS * time.Millisecond
	}
	return time.Duration(m.TokenIntervalMS) * time.Millisecond
}

// Service is a plain service beside the engines. Repeatable says whether its
// calls may be tried twice when the caller does not say.
type Service struct {
	Name       string            `json:"name" validate:"required"`
	Repeatable bool              `json:"repeatable"`
	Endpoints  []ServiceEndpoint `json:"endpoints" validate:"required,dive"`
}

// ServiceEndpoint is one place where a plain service is reached, by IP number.
type ServiceEndpoint struct {
	Name       string `json:"name" validate:"required"`
	VM         string `json:"vm" validate:"required"`
	DataCenter string `json:"data_center" validate:"required"`
	Address    string `json:"address" validate:"required,hostname_port"`
}

// Runner is one engine that holds the layers [From, To) of a model. Speed is in
// layer passes a second: one layer run over one position.
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
	Drain       bool    `json:"drain,omitempty"` // takes no new work
	// StepSeconds is the seconds that a written token takes in one layer; 0 is unknown.
	StepSeconds float64 `json:"step,omitempty" validate:"gte=0"`
	// Capacity is how many tokens of requests fit beside the layers; 0 is unknown.
	Capacity float64 `json:"room,omitempty" validate:"gte=0"`
	// Restarts is how often the endpoint is known to have started again under its name. What
	// was measured of an earlier life says nothing of the present one.
	Restarts int `json:"-"`
}

// Fleet lists the runners of one data center.
type Fleet struct {
	Name    string   `json:"name" validate:"required"`
	Runners []Runner `json:"runners" validate:"dive"`
}

// Operator is a person who may state intents. Role is "viewer" or "editor".
type Operator struct {
	Name    string `json:"name" validate:"required"`
	KeyHash string `json:"key_hash" validate:"required,len=64,hexadecimal"`
	Role    string `json:"role" validate:"oneof=viewer editor"`
}

// HashPart returns the content hash that names a part.
func HashPart(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// HashKey returns the hash of a bearer key as the configuration holds it.
func HashKey(key string) string { return HashPart([]byte(key)) }
