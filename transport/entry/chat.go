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

// serveChat answers POST /v1/chat/completions, whole or streamed.
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
	if len(prompt)+r.Limit() > m.Context {
		return protocol.Refuse(protocol.MalformedRequest, "prompt and answer together exceed the model's "+itoa(m.Context)+" tokens")
	}
	k.story.Add(time.Now(), trace.Queued, "")
	place, err := e.gate.enter(c.Request().Context(), m, e.shareOf(m.Open), admit.Request{
		Team: k.team.Name, Share: k.team.Share, Priority: k.team.Priority,
		Deadline: clock.Timer(k.deadline), OpenLimit: e.shareOf(k.team.Open),
	})
	if err != nil {
		return err
	}
	defer place.leave()
	k.story.Add(time.Now(), trace.Admitted, "")
	answer := newAnswer(c, e, k, r)
	run := &modelRun{
		entry: e, id: k.id, model: m, repeatable: k.repeatable != "no",
		deadline: k.deadline, story: k.story, sink: answer, place: place, call: k,
	}
	err = run.serve(c.Request().Context(), prompt, r.Limit(), k.team.Priority)
	return answer.end(len(prompt), run.machine.Emitted(), r.Limit(), err)
}

// shareOf returns this entry's part of a bound that holds over all entries.
func (e *Entry) shareOf(bound int) int {
	n := e.liveEntries()
	return max(1, (bound+n-1)/n)
}

// answer is the answer to one chat request: the tokens as they come, then an
// end that is unmistakable.
type answer interface {
	tokenSink
	end(prompt int, tokens []int32, limit int, failure error) error
}

func newAnswer(c echo.Context, e *Entry, k *call, r protocol.ChatRequest) answer {
	if r.Stream {
		return &streamedAnswer{context: c, entry: e, call: k, model: r.Model}
	}
	return &wholeAnswer{context: c, call: k, model: r.Model}
}

// usage counts tokens as the chat form does.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func countUsage(prompt, completion int) usage {
	return usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

func finishReason(tokens, limit int) string {
	if tokens >= limit {
		return "length"
	}
	return "stop"
}

// wholeAnswer sends everything at the end.
type wholeAnswer struct {
	context echo.Context
	call    *call
	model   string
}

func (w *wholeAnswer) token(int32) error { return nil }

// chatChoice is one choice of a whole answer.
type chatChoice struct {
	Index        int                  `json:"index"`
	Message      protocol.ChatMessage `json:"message"`
	FinishReason string               `json:"finish_reason"`
}

func (w *wholeAnswer) end(prompt int, tokens []int32, limit int, failure error) error {
	if failure != nil {
		return failure
	}
	w.context.Response().Header().Set(headerOutcome, protocol.Answered.String())
	return w.context.JSON(http.StatusOK, struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   usage        `json:"usage"`
	}{
		ID: w.call.id.String(), Object: "chat.completion", Created: time.Now().Unix(), Model: w.model,
		Choices: []chatChoice{{
			Message:      protocol.ChatMessage{Role: "assistant", Content: protocol.Text(tokens)},
			FinishReason: finishReason(len(tokens), limit),
		}},
		Usage: countUsage(prompt, len(tokens)),
	})
}

// streamedAnswer sends server-sent events. Only a whole answer ends with the
// end marker; a failed one ends with an error event.
type streamedAnswer struct {
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

// chunkDelta is the text that a chunk adds.
type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

func (s *streamedAnswer) token(t int32) error {
	return s.chunk(chunkDelta{Content: protocol.Text([]int32{t})}, nil, nil)
}

func (s *streamedAnswer) chunk(d chunkDelta, finish *string, count *usage) error {
	if !s.context.Response().Committed {
		d.Role = "assistant"
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
		Choices: []chunkChoice{{Delta: d, FinishReason: finish}}, Usage: count,
	})
	if err != nil {
		return err
	}
	return s.write("data: " + string(body) + "\n\n")
}

// write sends an event at once; a caller who reads too slowly gets an error.
func (s *streamedAnswer) write(text string) error {
	control := http.NewResponseController(s.context.Response())
	_ = control.SetWriteDeadline(s.entry.Settings.Limits.SlowCaller(time.Now()))
	if _, err := s.context.Response().Write([]byte(text)); err != nil {
		return err
	}
	return control.Flush()
}

func (s *streamedAnswer) end(prompt int, tokens []int32, limit int, failure error) error {
	if failure != nil {
		return s.fail(failure)
	}
	reason := finishReason(len(tokens), limit)
	count := countUsage(prompt, len(tokens))
	if err := s.chunk(chunkDelta{}, &reason, &count); err != nil {
		return protocol.Uncertain(protocol.CallerGone, "the caller stopped reading").Because(err)
	}
	if err := s.write("data: [DONE]\n\n"); err != nil {
		return protocol.Uncertain(protocol.CallerGone, "the caller stopped reading").Because(err)
	}
	return nil
}

// fail tells the error inside a stream that has begun.
func (s *streamedAnswer) fail(failure error) error {
	if !s.context.Response().Committed {
		return failure
	}
	body, err := json.Marshal(errorBody(s.call.id.String(), protocol.AsRefusal(failure)))
	if err == nil {
		_ = s.write("event: error\ndata: " + string(body) + "\n\n")
	}
	return failure
}
