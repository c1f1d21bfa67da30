// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"pinerun.example/pinerun/coordination/admit"
	"pinerun.example/pinerun/internal/clock"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/trace"
)

// serveChat serves POST /v1/chat/completions, buffered or streamed.
func (e *Entry) serveChat(c echo.Context, k *call) error {
	r, err := protocol.ParseChat(k.body)
	if err != nil {
		return err
	}
	m, ok := k.config.Model(r.Model)
	if !ok {
		return protocol.Refuse(protocol.UnknownModel, "model "+r.Model+" is not configured")
	}
	prompt := r.Prompt()
	if len(prompt)+r.TokenLimit() > m.Context {
		return protocol.Refuse(protocol.MalformedRequest, "prompt and answer together exceed the model's "+itoa(m.Context)+" tokens")
	}
	k.trace.Add(time.Now(), trace.Queued, "")
	slot, err := e.admission.acquire(c.Request().Context(), m, e.localShare(m.MaxOpen), admit.Request{
		Team: k.team.Name, Share: k.team.Share, Priority: k.team.Priority,
		Deadline: clock.TimerDeadline(k.deadline), OpenLimit: e.localShare(k.team.MaxOpen),
	})
	if err != nil {
		return err
	}
	defer slot.release()
	k.trace.Add(time.Now(), trace.Admitted, "")
	response := newChatResponse(c, e, k, r)
	run := &modelRun{
		entry: e, id: k.id, model: m, repeatable: k.repeatable != "no",
		deadline: k.deadline, trace: k.trace, sink: response, slot: slot, call: k, messages: &r,
	}
	err = run.serve(c.Request().Context(), prompt, r.TokenLimit(), k.team.Priority)
	return response.finish(len(prompt), run.machine.Emitted(), r.TokenLimit(), err)
}

// localShare returns this entry's share of a limit that applies to all entries
// together, rounded up and at least 1.
func (e *Entry) localShare(limit int) int {
	n := e.liveEntries()
	return max(1, (limit+n-1)/n)
}

// chatResponse writes the response to one chat request: the tokens as they
// arrive, then an end that a caller can tell from a broken connection.
type chatResponse interface {
	tokenSink
	finish(prompt int, tokens []int32, limit int, failure error) error
}

func newChatResponse(c echo.Context, e *Entry, k *call, r protocol.ChatRequest) chatResponse {
	if r.Stream {
		return &streamedResponse{context: c, entry: e, call: k, model: r.Model}
	}
	return &bufferedResponse{context: c, call: k, model: r.Model}
}

// usage holds the token counts in the format of the chat API.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsage(prompt, completion int) usage {
	return usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

func finishReason(tokens, limit int) string {
	if tokens >= limit {
		return "length"
	}
	return "stop"
}

// bufferedResponse sends the whole response once the last token is known.
type bufferedResponse struct {
	context echo.Context
	call    *call
	model   string
}

func (b *bufferedResponse) writeToken(int32) error { return nil }

// chatChoice is one choice of a buffered response.
type chatChoice struct {
	Index        int                  `json:"index"`
	Message      protocol.ChatMessage `json:"message"`
	FinishReason string               `json:"finish_reason"`
}

func (b *bufferedResponse) finish(prompt int, tokens []int32, limit int, failure error) error {
	if failure != nil {
		return failure
	}
	b.context.Response().Header().Set(headerOutcome, protocol.Answered.String())
	return b.context.JSON(http.StatusOK, struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   usage        `json:"usage"`
	}{
		ID: b.call.id.String(), Object: "chat.completion", Created: time.Now().Unix(), Model: b.model,
		Choices: []chatChoice{{
			Message:      protocol.ChatMessage{Role: "assistant", Content: protocol.Text(tokens)},
			FinishReason: finishReason(len(tokens), limit),
		}},
		Usage: newUsage(prompt, len(tokens)),
	})
}

// streamedResponse sends server-sent events. Only a complete response ends with
// the [DONE] marker; a failed one ends with an error event.
type streamedResponse struct {
	context echo.Context
	entry   *Entry
	call    *call
	model   string
}

// chunkChoice is one choice of a streamed chunk.
type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

// chunkDelta is the text that a chunk appends.
type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func (s *streamedResponse) writeToken(t int32) error {
	return s.writeChunk(chunkDelta{Content: protocol.Text([]int32{t})}, nil, nil)
}

// writeChunk sends one chunk. The first one also sends the response headers and
// the role.
func (s *streamedResponse) writeChunk(delta chunkDelta, reason *string, counts *usage) error {
	if !s.context.Response().Committed {
		delta.Role = "assistant"
		h := s.context.Response().Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		s.context.Response().WriteHeader(http.StatusOK)
	}
	body, err := json.Marshal(struct {
		ID      string        `json:"id"`
		Object  string        `json:"object"`
		Created int64         `json:"created"`
		Model   string        `json:"model"`
		Choices []chunkChoice `json:"choices"`
		Usage   *usage        `json:"usage,omitempty"`
	}{
		ID: s.call.id.String(), Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: s.model,
		Choices: []chunkChoice{{Delta: delta, FinishReason: reason}}, Usage: counts,
	})
	if err != nil {
		return err
	}
	return s.writeEvent("data: " + string(body) + "\n\n")
}

// writeEvent sends an event and flushes it. It fails if the caller reads too
// slowly.
func (s *streamedResponse) writeEvent(event string) error {
	control := http.NewResponseController(s.context.Response())
	_ = control.SetWriteDeadline(s.entry.Settings.Limits.WriteDeadline(time.Now()))
	if _, err := s.context.Response().Write([]byte(event)); err != nil {
		return err
	}
	return control.Flush()
}

func (s *streamedResponse) finish(prompt int, tokens []int32, limit int, failure error) error {
	if failure != nil {
		return s.writeError(failure)
	}
	reason := finishReason(len(tokens), limit)
	counts := newUsage(prompt, len(tokens))
	if err := s.writeChunk(chunkDelta{}, &reason, &counts); err != nil {
		return protocol.Uncertain(protocol.CallerGone, "the caller stopped reading").WithCause(err)
	}
	if err := s.writeEvent("data: [DONE]\n\n"); err != nil {
		return protocol.Uncertain(protocol.CallerGone, "the caller stopped reading").WithCause(err)
	}
	return nil
}

// writeError sends an error event if the stream has started, and returns the
// failure.
func (s *streamedResponse) writeError(failure error) error {
	if !s.context.Response().Committed {
		return failure
	}
	body, err := json.Marshal(errorBody(s.call.id.String(), protocol.AsRefusal(failure)))
	if err == nil {
		_ = s.writeEvent("event: error\ndata: " + string(body) + "\n\n")
	}
	return failure
}
