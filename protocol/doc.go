// SPDX-License-Identifier: Apache-2.0

// Package protocol holds the typed messages of pinerun and the words that
// every layer shares: outcomes, error kinds, spans of layers and identifiers.
//
// Messages that cross the network have exported fields, because the codecs
// need them; everything else in the project hides its fields. A refusal always
// says three things, and a caller can act on each of them:
//
//	r := protocol.Refuse(protocol.UnknownModel, "model \"fares\" is not configured")
//	r.Outcome() // protocol.NotRun: it is safe to send the request again
//	r.Remedy()  // "ask the operator which models exist"
package protocol
