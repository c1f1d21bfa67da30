// SPDX-License-Identifier: Apache-2.0

// Package platform is a client of the platform's object API over HTTP.
//
// Every write is conditional on the version that the writer has seen. A write has one of four
// results, distinguished by type: success (nil), Conflict (the object has another version),
// Unavailable (the write had no effect) or Uncertain (it may have taken effect; read the object to
// find out).
//
//	version, err := client.Put(ctx, "claim", "0-17", 0, value)
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pinerun.example/pinerun/internal/limited"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

const (
	// callTimeout bounds one call, and watchTimeout bounds a watch.
	callTimeout  = 2 * time.Second
	watchTimeout = 40 * time.Second
	// maxListBytes bounds the response to a list call.
	maxListBytes = 64 << 20
)

// Conflict reports that an object has another version than the write expected.
type Conflict struct{ version protocol.Revision }

// Error names the current version and the remedy.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the object is at version %s; read it and decide again", c.version)
}

// Version returns the version in the platform, the zero one if the object does not exist.
func (c *Conflict) Version() protocol.Revision { return c.version }

// Unavailable reports that a call had no effect because the platform refused it or could not be
// reached.
type Unavailable struct{ cause error }

// Error names the cause and the remedy.
func (u *Unavailable) Error() string {
	return "the platform does not answer: " + u.cause.Error() + "; try again later, nothing changed"
}

// Unwrap returns the cause.
func (u *Unavailable) Unwrap() error { return u.cause }

// Uncertain reports that a write may have taken effect.
type Uncertain struct{ cause error }

// Error names the cause and the remedy.
func (u *Uncertain) Error() string {
	return "the platform's answer was lost: " + u.cause.Error() + "; read the object to see whether the write took effect"
}

// Unwrap returns the cause.
func (u *Uncertain) Unwrap() error { return u.cause }

// NotFound reports that an object does not exist.
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
}

// Get returns an object, or *NotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (protocol.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, kind, name, "")
}

// Watch returns the object once its version differs from known, or without a value if the platform
// ended the wait first.
func (c *Client) Watch(ctx context.Context, kind, name string, known protocol.Revision) (protocol.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	o, err := c.read(ctx, kind, name, "?watch="+strconv.FormatUint(known.Number, 10))
	if o.Version.IsZero() && err == nil {
		o.Version = known
	}
	return o, err
}

// read gets one object and maps the response to an error type.
func (c *Client) read(ctx context.Context, kind, name, query string) (protocol.Object, error) {
	res, err := c.call(ctx, http.MethodGet, "/objects/"+kind+"/"+name+query, nil, "", "")
	if err != nil {
		return protocol.Object{}, &Unavailable{cause: err}
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		value, err := limited.Read(res.Body, protocol.MaxObjectBytes)
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

// Put writes an object if its version is still known, or creates it if known is zero, and returns
// the new version.
func (c *Client) Put(ctx context.Context, kind, name string, known protocol.Revision, value []byte) (protocol.Revision, error) {
	return c.write(ctx, http.MethodPut, kind, name, known, value)
}

// Delete removes an object if its version is still known.
func (c *Client) Delete(ctx context.Context, kind, name string, known protocol.Revision) error {
	_, err := c.write(ctx, http.MethodDelete, kind, name, known, nil)
	return err
}

// write makes a conditional write and maps the response to an error type.
func (c *Client) write(ctx context.Context, method, kind, name string, known protocol.Revision, value []byte) (protocol.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header, condition := "If-Match", `"`+strconv.FormatUint(known.Number, 10)+`"`
	if known.IsZero() {
		header, condition = "If-None-Match", "*"
	}
	res, err := c.call(ctx, method, "/objects/"+kind+"/"+name, value, header, condition)
	if neverSent(err) {
		return protocol.Revision{}, &Unavailable{cause: err}
	}
	if err != nil {
		return protocol.Revision{}, &Uncertain{cause: err}
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return versionOf(res), nil
	case http.StatusPreconditionFailed:
		return protocol.Revision{}, &Conflict{version: versionOf(res)}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusBadRequest:
		return protocol.Revision{}, &Unavailable{cause: errors.New(res.Status)}
	default:
		return protocol.Revision{}, &Uncertain{cause: errors.New(res.Status)}
	}
}

// List returns every object of a kind.
func (c *Client) List(ctx context.Context, kind string) ([]protocol.Object, error) {
	var list []protocol.Object
	err := c.readJSON(ctx, "/objects/"+kind, &list)
	return list, err
}

// VMs returns the platform's list of VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) ([]protocol.VM, error) {
	var list []protocol.VM
	err := c.readJSON(ctx, "/vms", &list)
	return list, err
}

// readJSON gets a path and decodes the response.
func (c *Client) readJSON(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.call(ctx, http.MethodGet, path, nil, "", "")
	if err != nil {
		return &Unavailable{cause: err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return &Unavailable{cause: errors.New(res.Status)}
	}
	content, err := limited.Read(res.Body, maxListBytes)
	if err == nil {
		err = json.Unmarshal(content, into)
	}
	if err != nil {
		return &Unavailable{cause: err}
	}
	return nil
}

// call sends one request, with a conditional header unless header is empty, and counts it.
func (c *Client) call(ctx context.Context, method, path string, value []byte, header, condition string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	if header != "" {
		req.Header.Set(header, condition)
	}
	// A write whose response was lost must return an error. Without GetBody, the HTTP client does
	// not replay the request on a new connection.
	req.GetBody = nil
	if c.Counters != nil {
		c.Counters.Add(metric.PlatformCalls, 1)
	}
	res, err := limited.Client.Do(req)
	if err != nil && c.Counters != nil {
		c.Counters.Add(metric.PlatformFaults, 1)
	}
	return res, err
}

// versionOf returns the object version in the ETag header, the zero one if there is none.
func versionOf(res *http.Response) protocol.Revision {
	v, _ := strconv.ParseUint(strings.Trim(res.Header.Get("ETag"), `"`), 10, 64)
	return protocol.Revision{Number: v}
}

// neverSent reports whether no connection was made, in which case the write has no effect.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
