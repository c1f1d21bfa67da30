// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

const requestPrefix = "r-"

// RequestID identifies a request across all entries. It is random and never zero.
type RequestID uint64

// NewRequestID returns a random request ID.
func NewRequestID() RequestID {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // documented never to fail
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return RequestID(id)
		}
	}
}

// String returns the ID as callers see it, like "r-00c0ffee00c0ffee".
func (r RequestID) String() string { return fmt.Sprintf("%s%016x", requestPrefix, uint64(r)) }

// ParseRequestID parses the output of String.
func ParseRequestID(s string) (RequestID, error) {
	digits, ok := strings.CutPrefix(s, requestPrefix)
	n, err := strconv.ParseUint(digits, 16, 64)
	if !ok || err != nil || n == 0 {
		return 0, Refuse(MalformedRequest, "a request id looks like r-00c0ffee00c0ffee")
	}
	return RequestID(n), nil
}
