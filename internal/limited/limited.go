// SPDX-License-Identifier: Apache-2.0

// Package limited bounds what is read of the HTTP responses of other processes.
//
//	client := http.Client{Transport: limited.Transport(&http.Transport{...})}
//	res, err := client.Do(req)
//	content, err := limited.Read(res.Body, maxReportBytes)
package limited

import (
	"fmt"
	"io"
	"net/http"
)

// HeadBytes bounds the head of a response, interim responses included.
const HeadBytes = 64 << 10

// Client is http.DefaultClient with bounded heads.
var Client = newClient()

func newClient() *http.Client {
	t, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		return &http.Client{Transport: Transport(&http.Transport{})}
	}
	return &http.Client{Transport: Transport(t.Clone())}
}

// Transport returns the transport with bounded heads.
func Transport(t *http.Transport) *http.Transport {
	t.MaxResponseHeaderBytes = HeadBytes
	return t
}

// TooLong is the error for a body that is longer than its bound.
type TooLong struct{ limit int64 }

// Error names the bound and the remedy.
func (t *TooLong) Error() string {
	return fmt.Sprintf("the answer is longer than %d bytes; check which process answers there", t.limit)
}

// Read reads a body. The error is a *TooLong if it is longer than the limit.
func Read(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, &TooLong{limit: limit}
	}
	return content, nil
}
