// SPDX-License-Identifier: Apache-2.0

package entry

import "sync"

// partCache holds the contents of the parts in force, by hash.
type partCache struct {
	mutex    sync.Mutex
	contents map[string][]byte
}

func (p *partCache) get(hash string) []byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.contents[hash]
}

// keep replaces what is held.
func (p *partCache) keep(contents map[string][]byte) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.contents = contents
}
