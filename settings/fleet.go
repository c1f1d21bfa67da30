// SPDX-License-Identifier: Apache-2.0

package settings

// Fleet describes the engines and the load of a deployment, for `pinerun bound`.
type Fleet struct {
	Layers  int     `json:"layers" validate:"gt=0,lte=512"`
	LayerMB float64 `json:"layer_mb" validate:"gt=0"`
	// TokenKB is the size of the KV cache of one token in all layers, in kB.
	TokenKB float64 `json:"token_kb" validate:"gt=0"`
	// StepMS is the time for one token through all layers on the fastest accelerator, and
	// SequenceMS the additional time for each open request.
	StepMS           float64 `json:"step_ms" validate:"gt=0"`
	SequenceMS       float64 `json:"sequence_ms" validate:"gte=0"`
	PrefillPerSecond float64 `json:"read_per_second" validate:"gt=0"`
	// Prompt and Answer are the typical token counts of a request.
	Prompt int `json:"prompt" validate:"gt=0"`
	Answer int `json:"answer" validate:"gt=0"`
	// RequestsPerSecond is the request rate of callers across all data centers.
	RequestsPerSecond float64            `json:"requests_per_second" validate:"gt=0"`
	Accelerators      []FleetAccelerator `json:"accelerators" validate:"min=1,dive"`
	Engines           []FleetEngines     `json:"engines" validate:"min=1,dive"`
}

// FleetAccelerator is a kind of accelerator. StepFactor and ReadFactor are the durations
// of a step and of prefill relative to the fastest kind.
type FleetAccelerator struct {
	Name       string  `json:"name" validate:"required"`
	MemoryMB   float64 `json:"memory_mb" validate:"gt=0"`
	StepFactor float64 `json:"step_factor" validate:"gt=0"`
	ReadFactor float64 `json:"read_factor" validate:"gt=0"`
}

// FleetEngines is a group of identical engines.
type FleetEngines struct {
	DataCenter  string `json:"data_center" validate:"required"`
	Accelerator string `json:"accelerator" validate:"required"`
	Count       int    `json:"count" validate:"gt=0,lte=10000"`
}
