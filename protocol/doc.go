// SPDX-License-Identifier: Apache-2.0

// Package protocol defines the messages of pinerun and the types that all its
// packages share: request outcomes, kinds of refusals, layer ranges and
// identifiers.
//
// Message types have exported fields because the codecs need them. Other types
// of the project keep their fields unexported. A refusal carries its kind, the
// outcome of the request and a remedy:
//
//	r := protocol.Refuse(protocol.UnknownModel, "model \"fares\" is not configured")
//	r.Outcome() // protocol.NotRun: it is safe to send the request again
//	r.Remedy()  // "ask the operator which models exist"
package protocol
