// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// usualEvent is the size in bytes for which an event's memory is taken at once: growing line
// by line takes it three times.
const usualEvent = 128

// errCutEvent says that a stream ended inside an event.
var errCutEvent = errors.New("the stream ended inside an event")

// errLongEvent says that an event is longer than any endpoint sends.
var errLongEvent = errors.New("an event of the stream is too long")

// streamEvent is one whole event of a stream as it came, with its blank line.
type streamEvent struct {
	id      string
	content []byte
}

// readEvent returns the next whole event. The error is io.EOF only between two
// events.
func readEvent(r *bufio.Reader) (streamEvent, error) {
	e := streamEvent{content: make([]byte, 0, usualEvent)}
	for {
		line, err := r.ReadSlice('\n')
		e.content = append(e.content, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.content) < maxEventBytes {
			continue
		}
		if err != nil {
			return streamEvent{}, cutAt(&e, err)
		}
		if len(e.content) >= maxEventBytes {
			return streamEvent{}, errLongEvent
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = string(bytes.TrimSpace(id))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return e, nil
		}
	}
}

func cutAt(e *streamEvent, err error) error {
	if errors.Is(err, io.EOF) && len(e.content) > 0 {
		return errCutEvent
	}
	return err
}
