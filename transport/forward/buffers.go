// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"io"
	"sync"
)

// readBufferBytes holds one head, or a few events of a stream, in bytes.
const readBufferBytes = 2 << 10

// bufferPool keeps the buffers that endpoints' answers are read through and uses them again:
// each stream takes one, and each connection. The zero value has none.
type bufferPool struct{ free sync.Pool }

// get returns a buffer that reads from r.
func (p *bufferPool) get(r io.Reader) *bufio.Reader {
	if b, ok := p.free.Get().(*bufio.Reader); ok {
		b.Reset(r)
		return b
	}
	return bufio.NewReaderSize(r, readBufferBytes)
}

// put takes back a buffer that nobody reads through any more.
func (p *bufferPool) put(b *bufio.Reader) {
	b.Reset(nil)
	p.free.Put(b)
}
