// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"encoding/json"
	"errors"
	"strings"
	"unicode/utf8"
)

// ChatRequest is the part of the widely used chat completion form that pinerun
// acts on. Other fields are ignored.
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

// DefaultMaxTokens is the longest answer to a request that names no limit.
const DefaultMaxTokens = 256

// ParseChat reads and checks a chat request.
func ParseChat(body []byte) (ChatRequest, error) {
	var r ChatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return r, Refuse(MalformedRequest, chatMistake(err))
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

func chatMistake(err error) string {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return `"` + wrong.Field + `" holds a ` + wrong.Value + ` in place of a ` + wrong.Type.String()
	}
	return "the body is not JSON: " + err.Error()
}

// TokenLimit returns the most tokens to answer with.
func (r *ChatRequest) TokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return DefaultMaxTokens
}

// Prompt returns the conversation as tokens. The tokenizer is bytes: one token
// for each byte, as every model that pinerun has met so far takes.
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

// Text returns tokens as text.
func Text(tokens []int32) string {
	b := make([]byte, len(tokens))
	for i, t := range tokens {
		b[i] = byte(t)
	}
	return string(b)
}
