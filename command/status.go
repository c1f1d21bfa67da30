// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"
)

const (
	operatorKeyVariable = "PINERUN_OPERATOR_KEY"
	operatorCallLimit   = 30 * time.Second
	maxOperatorAnswer   = 16 << 20
)

// operatorCall is a call to an entry's operator address. The key comes from the
// environment, so that it shows in no list of processes.
type operatorCall struct{ entry string }

func (c *operatorCall) attach(s *flaggy.Subcommand) {
	c.entry = "http://127.0.0.1:7201"
	s.String(&c.entry, "e", "entry", "URL of an entry's operator address; the key is read from "+operatorKeyVariable)
}

// do returns the answer's body, or the refusal that came back.
func (c *operatorCall) do(ctx context.Context, method, path string, body io.Reader) ([]byte, error) {
	key := os.Getenv(operatorKeyVariable)
	if key == "" {
		return nil, errors.New("no operator key; set " + operatorKeyVariable)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.entry+path, body)
	if err != nil {
		return nil, fmt.Errorf("%w; give -entry a URL", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	status, answer, err := callEntry(req)
	if err != nil {
		return nil, err
	}
	if status >= http.StatusBadRequest {
		return nil, errors.New(string(answer))
	}
	return answer, nil
}

// callEntry makes a call to an entry, and returns the status and the whole body of the answer.
func callEntry(req *http.Request) (status int, content []byte, err error) {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("the entry does not answer: %w; check -entry", err)
	}
	defer res.Body.Close()
	content, err = io.ReadAll(io.LimitReader(res.Body, maxOperatorAnswer))
	if err != nil {
		return 0, nil, fmt.Errorf("the answer was cut off: %w; ask again", err)
	}
	return res.StatusCode, content, nil
}

// statusVerb prints what an entry believes, or one request's story.
type statusVerb struct {
	call    operatorCall
	request string
}

func (v *statusVerb) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("status")
	s.Description = "Print an entry's view, or one request's story with -request ID"
	v.call.attach(s)
	s.String(&v.request, "r", "request", "id of a request, from the answer's Pinerun-Request header")
	return s
}

func (v *statusVerb) run(ctx context.Context, o *output) int {
	path := "/admin/v1/status"
	if v.request != "" {
		path = "/admin/v1/requests/" + v.request
	}
	answer, err := v.call.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return o.fail(exitFailed, err)
	}
	fmt.Fprint(o.out, string(answer))
	return exitGood
}
