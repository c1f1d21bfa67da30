// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"io"
	"sync"
)

// readBufferBytes is enough for one head or a few events of a stream.
const readBufferBytes = 2 << 10

// bufferPool reuses the buffers through which responses are read. Each stream takes one, and so
// does each connection. The zero value is empty.
type bufferPool struct{ free sync.Pool }

// get returns a buffer that reads from r.
func (p *bufferPool) get(r io.Reader) *bufio.Reader {
	if b, ok := p.free.Get().(*bufio.Reader); ok {
		b.Reset(r)
		return b
	}
	return bufio.NewReaderSize(r, readBufferBytes)
}

// put returns a buffer that is no longer in use.
func (p *bufferPool) put(b *bufio.Reader) {
	b.Reset(nil)
	p.free.Put(b)
}
