// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"unicode/utf8"
)

// ChatRequest is the subset of the OpenAI-style chat completion request that
// pinerun uses. Other fields are ignored.
type ChatRequest struct {
	Model               string        `json:"model"`
	Messages            []ChatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

// ChatMessage is one turn of a conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// SharedParts returns the fingerprints of the first messages, which other requests may share. The last message is
// the request's own.
func (r *ChatRequest) SharedParts() []Fingerprint {
	var parts []Fingerprint
	for _, m := range r.Messages[:max(0, min(MaxReportParts, len(r.Messages)-1))] {
		if f := FingerprintOfPart(m.Role + "\x00" + m.Content); !slices.Contains(parts, f) {
			parts = append(parts, f)
		}
	}
	return parts
}

// DefaultMaxTokens is the maximum number of output tokens of a request that sets no limit.
const DefaultMaxTokens = 256

// ParseChat decodes and validates a chat request.
func ParseChat(body []byte) (ChatRequest, error) {
	var r ChatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, Refuse(MalformedRequest, describeDecodeError(err))
	}
	switch {
	case r.Model == "":
		return r, Refuse(MalformedRequest, `"model" is missing`)
	case len(r.Messages) == 0:
		return r, Refuse(MalformedRequest, `"messages" is missing or empty`)
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return r, Refuse(MalformedRequest, `"max_tokens" must not be negative`)
	}
	for _, m := range r.Messages {
		if m.Role == "" || !utf8.ValidString(m.Content) {
			return r, Refuse(MalformedRequest, `each message needs a "role" and a "content" of text`)
		}
	}
	return r, nil
}

// describeDecodeError returns the message for a body that does not decode.
func describeDecodeError(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return `"` + typeError.Field + `" holds a ` + typeError.Value + ` in place of a ` + typeError.Type.String()
	}
	return "the body is not JSON: " + err.Error()
}

// TokenLimit returns the maximum number of output tokens.
func (r *ChatRequest) TokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return DefaultMaxTokens
}

// Prompt returns the conversation as tokens. The tokenizer produces one token per
// byte, which all currently served models accept.
func (r *ChatRequest) Prompt() []int32 {
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteString("\n")
	}
	tokens := make([]int32, 0, text.Len())
	for _, b := range []byte(text.String()) {
		tokens = append(tokens, int32(b))
	}
	return tokens
}

// Text decodes tokens into text. It is the inverse of the tokenizer used by Prompt.
func Text(tokens []int32) string {
	b := make([]byte, len(tokens))
	for i, t := range tokens {
		b[i] = byte(t)
	}
	return string(b)
}
