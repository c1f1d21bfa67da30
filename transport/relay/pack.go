// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"pinerun.example/pinerun/protocol"
)

const (
	// packFrom is the length from which values are compressed. A routing table is sent
	// to every follower at once, over a link of 20 Mbit/s at the smallest VMs.
	packFrom = 2 << 10
	// unpackMost bounds what a packed value may hold: the platform's longest object
	// several times over, since its encoding there may be denser.
	unpackMost = 8 * protocol.MaxObjectBytes
)

// packer compresses values, each once for all followers.
type packer struct {
	mutex  sync.Mutex
	latest protocol.Object // that was packed last
	packed []byte
}

// encode returns a change as it is sent.
func (p *packer) encode(c protocol.Change) (protocol.RelayChange, error) {
	out := protocol.RelayChange{Name: c.Object.Name, Version: c.Object.Version, Gone: c.Gone}
	if c.Gone {
		return out, nil
	}
	out.Value = c.Object.Value
	if len(out.Value) < packFrom {
		return out, nil
	}
	packed, err := p.pack(c.Object)
	if err != nil {
		return out, err
	}
	out.Packed = true
	out.Value = packed
	return out, nil
}

func (p *packer) pack(o protocol.Object) ([]byte, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.latest.Kind == o.Kind && p.latest.Name == o.Name && p.latest.Version == o.Version {
		return p.packed, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(o.Value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	p.latest, p.packed = o, b.Bytes()
	return p.packed, nil
}

// errTooLong says that a packed value holds more than any object.
var errTooLong = errors.New("a packed value is longer than any object of the platform")

// decode returns the change that was sent.
func decode(kind string, c *protocol.RelayChange) (protocol.Change, error) {
	o := protocol.Object{Kind: kind, Name: c.Name, Version: c.Version, Value: c.Value}
	if c.Packed {
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Value)), unpackMost+1))
		if err != nil {
			return protocol.Change{}, err
		}
		if len(value) > unpackMost {
			return protocol.Change{}, errTooLong
		}
		o.Value = value
	}
	return protocol.Change{Object: o, Gone: c.Gone}, nil
}
