// SPDX-License-Identifier: Apache-2.0

// Package platform speaks the platform's object API over HTTP.
//
// Every write is conditional on the version that the writer has seen. A write
// ends in one of four ways, told apart by type: done (nil), Conflict (another
// version is there), Unavailable (it had no effect) or Uncertain (it may have
// taken effect: read the object to find out).
//
//	version, err := client.Put(ctx, "claim", "0-17", 0, value)
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

const (
	// callLimit bounds one call; a watch may take watchLimit.
	callLimit  = 2 * time.Second
	watchLimit = 40 * time.Second
	// maxListBytes bounds the answer to a list call.
	maxListBytes = 64 << 20
)

// Conflict says that the object has another version than the write named.
type Conflict struct{ held uint64 }

// Error tells the version held and the remedy.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the object is at version %d; read it and decide again", c.held)
}

// Held returns the version in the platform, 0 when the object does not exist.
func (c *Conflict) Held() uint64 { return c.held }

// Unavailable says that a call had no effect because the platform refused it or
// could not be reached.
type Unavailable struct{ cause error }

// Error tells the cause and the remedy.
func (u *Unavailable) Error() string {
	return "the platform does not answer: " + u.cause.Error() + "; try again later, nothing changed"
}

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.cause }

// Uncertain says that a write may have taken effect.
type Uncertain struct{ cause error }

// Error tells the cause and the remedy.
func (u *Uncertain) Error() string {
	return "the platform's answer was lost: " + u.cause.Error() + "; read the object to see whether the write took effect"
}

// Unwrap returns the cause.
func (u *Uncertain) Unwrap() error { return u.cause }

// NotFound says that the object does not exist.
type NotFound struct{ kind, name string }

// Error names the object and the remedy.
func (n *NotFound) Error() string {
	return "the platform has no " + n.kind + "/" + n.name + "; check the name"
}

// Client calls the platform at one base URL such as "http://127.0.0.1:7000".
// Set the fields before the first call.
type Client struct {
	Base     string
	Counters *metric.Set
	HTTP     http.Client
}

// Get returns an object, or NotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (protocol.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return c.read(ctx, kind, name, "")
}

// Watch returns the object once its version differs from known, or unchanged
// when the platform ended the wait.
func (c *Client) Watch(ctx context.Context, kind, name string, known uint64) (protocol.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	o, err := c.read(ctx, kind, name, "?watch="+strconv.FormatUint(known, 10))
	if o.Version == 0 && err == nil {
		o.Version = known
	}
	return o, err
}

func (c *Client) read(ctx context.Context, kind, name, query string) (protocol.Object, error) {
	res, err := c.call(ctx, http.MethodGet, "/objects/"+kind+"/"+name+query, nil, "", "")
	if err != nil {
		return protocol.Object{}, &Unavailable{cause: err}
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		value, err := io.ReadAll(io.LimitReader(res.Body, protocol.MaxObjectBytes))
		if err != nil {
			return protocol.Object{}, &Unavailable{cause: err}
		}
		return protocol.Object{Kind: kind, Name: name, Version: versionOf(res), Value: value}, nil
	case http.StatusNotModified:
		return protocol.Object{Kind: kind, Name: name}, nil
	case http.StatusNotFound:
		return protocol.Object{}, &NotFound{kind: kind, name: name}
	default:
		return protocol.Object{}, &Unavailable{cause: errors.New(res.Status)}
	}
}

// Put writes an object whose version is still known, 0 to create it, and
// returns the new version.
func (c *Client) Put(ctx context.Context, kind, name string, known uint64, value []byte) (uint64, error) {
	return c.write(ctx, http.MethodPut, kind, name, known, value)
}

// Delete removes an object whose version is still known.
func (c *Client) Delete(ctx context.Context, kind, name string, known uint64) error {
	_, err := c.write(ctx, http.MethodDelete, kind, name, known, nil)
	return err
}

func (c *Client) write(ctx context.Context, method, kind, name string, known uint64, value []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	header, tag := "If-Match", `"`+strconv.FormatUint(known, 10)+`"`
	if known == 0 {
		header, tag = "If-None-Match", "*"
	}
	res, err := c.call(ctx, method, "/objects/"+kind+"/"+name, value, header, tag)
	if neverSent(err) {
		return 0, &Unavailable{cause: err}
	}
	if err != nil {
		return 0, &Uncertain{cause: err}
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return versionOf(res), nil
	case http.StatusPreconditionFailed:
		return 0, &Conflict{held: versionOf(res)}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return 0, &Unavailable{cause: errors.New(res.Status)}
	default:
		return 0, &Uncertain{cause: errors.New(res.Status)}
	}
}

// List returns every object of a kind.
func (c *Client) List(ctx context.Context, kind string) ([]protocol.Object, error) {
	var list []protocol.Object
	err := c.readJSON(ctx, "/objects/"+kind, &list)
	return list, err
}

// VMs returns the platform's list of VMs, which lags behind the truth.
func (c *Client) VMs(ctx context.Context) ([]protocol.VM, error) {
	var list []protocol.VM
	err := c.readJSON(ctx, "/vms", &list)
	return list, err
}

func (c *Client) readJSON(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	res, err := c.call(ctx, http.MethodGet, path, nil, "", "")
	if err != nil {
		return &Unavailable{cause: err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &Unavailable{cause: errors.New(res.Status)}
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(into); err != nil {
		return &Unavailable{cause: err}
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, value []byte, header, tag string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	if header != "" {
		req.Header.Set(header, tag)
	}
	// A write whose answer is lost must come back as an error, so the client's
	// own replay on a fresh connection has to stay off.
	req.GetBody = nil
	if c.Counters != nil {
		c.Counters.Add(metric.PlatformCalls, 1)
	}
	res, err := c.HTTP.Do(req)
	if err != nil && c.Counters != nil {
		c.Counters.Add(metric.PlatformFaults, 1)
	}
	return res, err
}

func versionOf(res *http.Response) uint64 {
	v, _ := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	return v
}

// neverSent reports whether no connection was made, so that nothing can have
// taken effect.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
