// SPDX-License-Identifier: Apache-2.0

package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinerun.example/pinerun/protocol"
)

// attempt is one request of a run, sent once.
type attempt struct {
	load     *Run
	entry    string
	key      string
	text     string
	limit    int
	stream   bool
	service  bool
	unique   uint64
	deadline time.Time

	began  time.Time
	tokens []byte
	times  []time.Time
}

// patience is how long after the deadline a final answer may still come before
// the request counts as missing.
const patience = 10 * time.Second

// run sends the request and counts what became of it.
func (a *attempt) run(ctx context.Context) {
	defer a.load.idle.Done()
	a.count(a.send(ctx))
}

// send returns the outcome, and false when no final answer came.
func (a *attempt) send(ctx context.Context) (protocol.Outcome, bool) {
	a.began = time.Now()
	ctx, cancel := context.WithDeadline(ctx, a.deadline.Add(patience))
	defer cancel()
	res, err := a.load.client.Do(a.request(ctx))
	if err != nil {
		return protocol.MayHaveRun, false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return refused(res)
	}
	switch {
	case a.service:
		_, err := io.ReadAll(res.Body)
		return protocol.Answered, err == nil
	case a.stream:
		return a.readStream(res.Body)
	default:
		return a.readWhole(res.Body)
	}
}

func refused(res *http.Response) (protocol.Outcome, bool) {
	var body struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.NewDecoder(res.Body).Decode(&body) != nil {
		return protocol.MayHaveRun, false
	}
	if body.Error.Outcome == protocol.NotRun.String() {
		return protocol.NotRun, true
	}
	return protocol.MayHaveRun, body.Error.Outcome == protocol.MayHaveRun.String()
}

func (a *attempt) request(ctx context.Context) *http.Request {
	url, body := a.entry+"/v1/chat/completions", a.chatBody()
	if a.service {
		url, body = a.entry+"/services/"+a.load.Service+"/block", []byte(`{"card":`+strconv.FormatUint(a.unique, 10)+`}`)
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Pinerun-Deadline", a.deadline.UTC().Format(time.RFC3339Nano))
	if a.service {
		req.Header.Set("Pinerun-Repeatable", "no")
		req.Header.Set("Pinerun-Issued", a.began.UTC().Format(time.RFC3339Nano))
		req.Header.Set("Idempotency-Key", "load-"+strconv.FormatUint(a.unique, 16))
	}
	return req
}

func (a *attempt) chatBody() []byte {
	body, _ := json.Marshal(protocol.ChatRequest{
		Model: a.load.Model, Stream: a.stream, MaxTokens: a.limit,
		Messages: []protocol.ChatMessage{{Role: "user", Content: a.text}},
	})
	return body
}

func (a *attempt) readWhole(r io.Reader) (protocol.Outcome, bool) {
	var body struct {
		Choices []struct {
			Message protocol.ChatMessage `json:"message"`
		} `json:"choices"`
	}
	if json.NewDecoder(r).Decode(&body) != nil || len(body.Choices) != 1 {
		return protocol.MayHaveRun, false
	}
	a.tokens = []byte(body.Choices[0].Message.Content)
	return protocol.Answered, true
}

// readStream reads events up to the end marker or an error event.
func (a *attempt) readStream(r io.Reader) (protocol.Outcome, bool) {
	lines := bufio.NewScanner(r)
	failed := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == "event: error":
			failed = true
		case failed && ok:
			return protocol.MayHaveRun, true
		case ok && data == "[DONE]":
			return protocol.Answered, true
		case ok:
			a.readChunk(data)
		}
	}
	return protocol.MayHaveRun, false
}

func (a *attempt) readChunk(data string) {
	var chunk struct {
		Choices []struct {
			Delta protocol.ChatMessage `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) != 1 {
		return
	}
	if text := chunk.Choices[0].Delta.Content; text != "" {
		a.tokens = append(a.tokens, text...)
		a.times = append(a.times, time.Now())
	}
}

func (a *attempt) count(o protocol.Outcome, final bool) {
	now := time.Now()
	a.load.timed(a.latencies())
	wrong := o == protocol.Answered && !a.service && a.isWrong()
	a.load.ended(o, now.After(a.deadline), !final, wrong, a.marks(now))
}

func (a *attempt) prompt() []int32 {
	r := protocol.ChatRequest{Messages: []protocol.ChatMessage{{Role: "user", Content: a.text}}}
	return r.Prompt()
}

// isWrong compares the answer with what an undisturbed model says.
func (a *attempt) isWrong() bool {
	if a.load.Expect == nil {
		return false
	}
	want := protocol.Text(a.load.Expect(a.prompt(), a.limit))
	return want != string(a.tokens)
}

func (a *attempt) latencies() (first, between []time.Duration) {
	if len(a.times) == 0 {
		return nil, nil
	}
	first = []time.Duration{a.times[0].Sub(a.began)}
	for i := range len(a.times) - 1 {
		between = append(between, a.times[i+1].Sub(a.times[i]))
	}
	return first, between
}

// marks spreads a streamed answer's work over its tokens; a whole answer's work
// counts when it ends.
func (a *attempt) marks(now time.Time) []mark {
	if a.service {
		return nil
	}
	prompt := len(a.prompt())
	if !a.stream || len(a.times) == 0 {
		return []mark{{at: now, positions: prompt + max(0, len(a.tokens)-1), tokens: len(a.tokens)}}
	}
	ms := []mark{{at: a.times[0], positions: prompt, tokens: 1}}
	for _, at := range a.times[1:] {
		ms = append(ms, mark{at: at, positions: 1, tokens: 1})
	}
	return ms
}
