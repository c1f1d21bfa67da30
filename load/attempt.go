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

	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/protocol"
)

// attempt is one request of a run, sent once.
type attempt struct {
	run       *Run
	entry     string
	key       string
	message   string
	maxTokens int
	stream    bool
	service   bool
	id        uint64
	deadline  time.Time

	startTime  time.Time
	tokens     []byte
	tokenTimes []time.Time
}

// responseGrace is how long after its deadline a request may still get a final answer before
// it counts as missing.
const responseGrace = 10 * time.Second

// maxResponseBytes bounds a response. A longer one counts as missing.
const maxResponseBytes = 16 << 20

// execute sends the request and records its outcome.
func (a *attempt) execute(ctx context.Context) {
	defer a.run.inFlight.Done()
	a.record(a.send(ctx))
}

// send sends the request and returns its outcome. It returns false if no final answer came.
func (a *attempt) send(ctx context.Context) (protocol.Outcome, bool) {
	a.startTime = time.Now()
	ctx, cancel := context.WithDeadline(ctx, a.deadline.Add(responseGrace))
	defer cancel()
	res, err := a.run.client.Do(a.newRequest(ctx))
	if err != nil {
		return protocol.MayHaveRun, false
	}
	defer res.Body.Close()
	body := io.LimitReader(res.Body, maxResponseBytes)
	if res.StatusCode != http.StatusOK {
		return parseRefusal(body)
	}
	switch {
	case a.service:
		_, err := limited.Read(res.Body, maxResponseBytes)
		return protocol.Answered, err == nil
	case a.stream:
		return a.readStream(body)
	default:
		return a.readResponse(body)
	}
}

// parseRefusal returns the outcome that an error response states, and false if it states
// none.
func parseRefusal(r io.Reader) (protocol.Outcome, bool) {
	var body struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.NewDecoder(r).Decode(&body) != nil {
		return protocol.MayHaveRun, false
	}
	if body.Error.Outcome == protocol.NotRun.String() {
		return protocol.NotRun, true
	}
	return protocol.MayHaveRun, body.Error.Outcome == protocol.MayHaveRun.String()
}

// newRequest returns the HTTP request: a chat completion or a call to the service.
func (a *attempt) newRequest(ctx context.Context) *http.Request {
	url, body := a.entry+"/v1/chat/completions", a.chatBody()
	if a.service {
		url, body = a.entry+"/services/"+a.run.Service+"/block", []byte(`{"card":`+strconv.FormatUint(a.id, 10)+`}`)
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Pinerun-Deadline", a.deadline.UTC().Format(time.RFC3339Nano))
	if a.service {
		req.Header.Set("Pinerun-Repeatable", "no")
		req.Header.Set("Pinerun-Issued", a.startTime.UTC().Format(time.RFC3339Nano))
		req.Header.Set("Idempotency-Key", "load-"+strconv.FormatUint(a.id, 16))
	}
	return req
}

// chatBody returns the JSON body of a chat completion.
func (a *attempt) chatBody() []byte {
	body, _ := json.Marshal(protocol.ChatRequest{
		Model: a.run.Model, Stream: a.stream, MaxTokens: a.maxTokens,
		Messages: []protocol.ChatMessage{{Role: "user", Content: a.message}},
	})
	return body
}

// readResponse reads an answer that is not streamed.
func (a *attempt) readResponse(r io.Reader) (protocol.Outcome, bool) {
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

// readStream reads server-sent events up to the end marker or an error event.
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

// readChunk stores the tokens of one event and the time of its arrival.
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
		a.tokenTimes = append(a.tokenTimes, time.Now())
	}
}

// record adds the outcome, the latencies and the work of the request to the run.
func (a *attempt) record(outcome protocol.Outcome, final bool) {
	now := time.Now()
	a.run.recordLatencies(a.latencies())
	wrong := outcome == protocol.Answered && !a.service && a.isWrong()
	a.run.recordOutcome(outcome, now.After(a.deadline), !final, wrong, a.workSamples(now))
}

// prompt returns the tokens of the prompt.
func (a *attempt) prompt() []int32 {
	r := protocol.ChatRequest{Messages: []protocol.ChatMessage{{Role: "user", Content: a.message}}}
	return r.Prompt()
}

// isWrong reports whether the answer differs from that of a model without faults.
func (a *attempt) isWrong() bool {
	if a.run.Expect == nil {
		return false
	}
	want := protocol.Text(a.run.Expect(a.prompt(), a.maxTokens))
	return want != string(a.tokens)
}

// latencies returns the time to the first token and the times between tokens. Both are empty
// if the answer was not streamed.
func (a *attempt) latencies() (firstToken, betweenTokens []time.Duration) {
	if len(a.tokenTimes) == 0 {
		return nil, nil
	}
	firstToken = []time.Duration{a.tokenTimes[0].Sub(a.startTime)}
	for i := range len(a.tokenTimes) - 1 {
		betweenTokens = append(betweenTokens, a.tokenTimes[i+1].Sub(a.tokenTimes[i]))
	}
	return firstToken, betweenTokens
}

// workSamples returns the work of the answer. The work of a streamed answer is spread over
// the arrivals of its tokens. The work of any other answer counts at its end.
func (a *attempt) workSamples(now time.Time) []workSample {
	if a.service {
		return nil
	}
	prompt := len(a.prompt())
	if !a.stream || len(a.tokenTimes) == 0 {
		return []workSample{{when: now, positions: prompt + max(0, len(a.tokens)-1), tokens: len(a.tokens)}}
	}
	samples := []workSample{{when: a.tokenTimes[0], positions: prompt, tokens: 1}}
	for _, at := range a.tokenTimes[1:] {
		samples = append(samples, workSample{when: at, positions: 1, tokens: 1})
	}
	return samples
}
