// SPDX-License-Identifier: Apache-2.0

package settings

// Fleet describes a deployment's engines and its load, for `pinerun bound`.
type Fleet struct {
	Layers  int     `json:"layers" validate:"gt=0,lte=512"`
	LayerMB float64 `json:"layer_mb" validate:"gt=0"`
	// TokenKB is the cache of one token in all layers, in kB.
	TokenKB float64 `json:"token_kb" validate:"gt=0"`
	// StepMS is how long one token takes in all layers of the fastest accelerator, and
	// SequenceMS how much longer for each request that is open.
	StepMS           float64 `json:"step_ms" validate:"gt=0"`
	SequenceMS       float64 `json:"sequence_ms" validate:"gte=0"`
	PrefillPerSecond float64 `json:"read_per_second" validate:"gt=0"`
	// Prompt and Answer are the usual tokens of a request.
	Prompt int `json:"prompt" validate:"gt=0"`
	Answer int `json:"answer" validate:"gt=0"`
	// RequestsPerSecond is what callers ask of all data centers together.
	RequestsPerSecond float64            `json:"requests_per_second" validate:"gt=0"`
	Accelerators      []FleetAccelerator `json:"accelerators" validate:"min=1,dive"`
	Engines           []FleetEngines     `json:"engines" validate:"min=1,dive"`
}

// FleetAccelerator is a kind of accelerator. StepFactor and ReadFactor say how many
// times longer than on the fastest a step and reading a prompt take.
type FleetAccelerator struct {
	Name       string  `json:"name" validate:"required"`
	MemoryMB   float64 `json:"memory_mb" validate:"gt=0"`
	StepFactor float64 `json:"step_factor" validate:"gt=0"`
	ReadFactor float64 `json:"read_factor" validate:"gt=0"`
}

// FleetEngines are engines that are alike.
type FleetEngines struct {
	DataCenter  string `json:"data_center" validate:"required"`
	Accelerator string `json:"accelerator" validate:"required"`
	Count       int    `json:"count" validate:"gt=0,lte=10000"`
}
