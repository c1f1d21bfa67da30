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

// RequestID names one request over all entries. It is random, never zero.
type RequestID uint64

// NewRequestID returns an id from the system's random source.
func NewRequestID() RequestID {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails, says crypto/rand
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return RequestID(id)
		}
	}
}

// String returns the id as callers see it, like "r-00c0ffee00c0ffee".
func (r RequestID) String() string { return fmt.Sprintf("%s%016x", requestPrefix, uint64(r)) }

// ParseRequestID reads what String wrote.
func ParseRequestID(s string) (RequestID, error) {
	digits, ok := strings.CutPrefix(s, requestPrefix)
	n, err := strconv.ParseUint(digits, 16, 64)
	if !ok || err != nil || n == 0 {
		return 0, Refuse(MalformedRequest, "a request id looks like r-00c0ffee00c0ffee")
	}
	return RequestID(n), nil
}
