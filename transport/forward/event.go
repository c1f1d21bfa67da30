// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"unicode"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// maxDatalessBytes bounds what a stream may hold between two events with data. Comments that keep a
// connection alive take some bytes each.
const maxDatalessBytes = 256 << 10

// typicalEventBytes is the initial capacity of an event's buffer: growing it line by line takes
// three allocations.
const typicalEventBytes = 128

// errTruncatedEvent reports that a stream ended inside an event.
var errTruncatedEvent = errors.New("the stream ended inside an event")

// errEventTooLong reports that an event is longer than any endpoint sends.
var errEventTooLong = errors.New("an event of the stream is too long")

// errNoData reports that a stream goes on without data.
var errNoData = errors.New("the stream goes on without an event that has data")

// streamEvent is one whole event of a stream as received, with its blank line. The ID is "" if there is
// none, or none that a header can carry unchanged. Without data it is a comment, or sets fields alone.
type streamEvent struct {
	id      string
	hasData bool
	content []byte
}

// readEvent returns the next whole event. The error is io.EOF only if the stream ended between two
// events; with any other error, the content is the part of an event that was received. A line longer
// than the reader's buffer arrives in parts, so what it says is decided only once it is whole.
func readEvent(r *bufio.Reader) (streamEvent, error) {
	e := streamEvent{content: make([]byte, 0, typicalEventBytes)}
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		e.content = append(e.content, part...)
		if len(e.content) >= maxEventBytes {
			return e, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return e, streamError(&e, err)
		}
		line := bytes.TrimRight(e.content[lineStart:], "\r\n")
		lineStart = len(e.content)
		if len(line) == 0 {
			return e, nil
		}
		e.addField(line)
	}
}

// addField takes in what a line says.
func (e *streamEvent) addField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		value = bytes.Trim(value, " \t")
		if bytes.ContainsFunc(value, unicode.IsControl) {
			value = nil
		}
		e.id = string(value)
	case "data":
		e.hasData = true
	}
}

// datalessAfter returns the bytes since the last event with data, given those before this event.
func (e *streamEvent) datalessAfter(before int) int {
	if e.hasData {
		return 0
	}
	return before + len(e.content)
}

// streamError returns errTruncatedEvent for an EOF inside the event, and err otherwise.
func streamError(e *streamEvent, err error) error {
	if errors.Is(err, io.EOF) && len(e.content) > 0 {
		return errTruncatedEvent
	}
	return err
}
