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

	"pinerun.example/pinerun/internal/limited"
)

const (
	operatorKeyEnv      = "PINERUN_OPERATOR_KEY"
	operatorCallTimeout = 30 * time.Second
	maxResponseBytes    = 16 << 20
)

// operatorClient calls the operator API of an entry. It reads the operator's key from the
// environment, since command-line arguments are visible in process lists.
type operatorClient struct{ entryURL string }

// addFlags adds the flag for the entry's URL to a subcommand.
func (c *operatorClient) addFlags(s *flaggy.Subcommand) {
	c.entryURL = "http://127.0.0.1:7201"
	s.String(&c.entryURL, "e", "entry", "URL of an entry's operator address; the key is read from "+operatorKeyEnv)
}

// do makes a call and returns the response body. A status of 400 or above becomes an error
// whose text is the response body.
func (c *operatorClient) do(ctx context.Context, method, path string, body io.Reader) ([]byte, error) {
	key := os.Getenv(operatorKeyEnv)
	if key == "" {
		return nil, errors.New("no operator key; set " + operatorKeyEnv)
	}
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.entryURL+path, body)
	if err != nil {
		return nil, fmt.Errorf("%w; give -entry a URL", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	status, response, err := callEntry(req)
	if err != nil {
		return nil, err
	}
	if status >= http.StatusBadRequest {
		return nil, errors.New(string(response))
	}
	return response, nil
}

// callEntry sends a request to an entry and returns the status and the body of the response,
// of which it reads at most maxResponseBytes.
func callEntry(req *http.Request) (status int, body []byte, err error) {
	res, err := limited.Client.Do(req)
	if err != nil {
		return 0, nil, fmt.Errorf("the entry does not answer: %w; check -entry", err)
	}
	defer res.Body.Close()
	body, err = limited.Read(res.Body, maxResponseBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("the answer did not come whole: %w; ask again", err)
	}
	return res.StatusCode, body, nil
}

// statusCommand prints the state of an entry, or the trace of one request.
type statusCommand struct {
	client  operatorClient
	request string
}

func (c *statusCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("status")
	s.Description = "Print an entry's view, or one request's story with -request ID"
	c.client.addFlags(s)
	s.String(&c.request, "r", "request", "id of a request, from the answer's Pinerun-Request header")
	return s
}

func (c *statusCommand) run(ctx context.Context, o *output) int {
	path := "/admin/v1/status"
	if c.request != "" {
		path = "/admin/v1/requests/" + c.request
	}
	response, err := c.client.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return o.fail(exitFailed, err)
	}
	fmt.Fprint(o.out, string(response))
	return exitOK
}
