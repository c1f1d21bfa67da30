// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"sync"

	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/state/mirror"
)

const (
	// packFrom is the length of values from which a run is compressed. A routing table
	// and whole kinds are sent to every follower at once, over a link of 20 Mbit/s at the
	// smallest VMs.
	packFrom = 2 << 10
	// unpackMost bounds what a packed run may hold: the platform's longest object
	// several times over.
	unpackMost = 8 * protocol.MaxObjectBytes
)

// packer encodes runs, each long one once for all followers.
type packer struct {
	mutex  sync.Mutex
	latest map[string]protocol.RelayRun // the packed one of each kind
}

// encode returns a run as it is sent.
func (p *packer) encode(kind string, r mirror.Run) (protocol.RelayRun, error) {
	out := protocol.RelayRun{Kind: kind, After: r.After, At: r.At, Difference: r.Difference, Whole: r.Whole}
	bytes := 0
	for _, c := range r.Changes {
		change := protocol.RelayChange{Name: c.Object.Name, Version: c.Object.Version, Gone: c.Gone}
		if !c.Gone {
			change.Value = c.Object.Value
			bytes += len(change.Value)
		}
		out.Changes = append(out.Changes, change)
	}
	if bytes < packFrom {
		return out, nil
	}
	return p.pack(out)
}

// pack returns a run with its changes compressed.
func (p *packer) pack(r protocol.RelayRun) (protocol.RelayRun, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if l, ok := p.latest[r.Kind]; ok && l.After == r.After && l.At == r.At && l.Difference == r.Difference && l.Whole == r.Whole {
		return l, nil
	}
	encoded, err := protocol.EncodeRelay(r.Changes)
	if err != nil {
		return r, err
	}
	if r.Packed, err = deflate(encoded); err != nil {
		return r, err
	}
	r.Changes = nil
	if p.latest == nil {
		p.latest = make(map[string]protocol.RelayRun)
	}
	p.latest[r.Kind] = r
	return r, nil
}

func deflate(content []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// length returns about how many bytes a run takes in a frame.
func length(r *protocol.RelayRun) int {
	n := len(r.Packed)
	for i := range r.Changes {
		n += len(r.Changes[i].Value)
	}
	return n
}

// errTooLong says that a packed run holds more than it may.
var errTooLong = errors.New("a packed run holds more than several of the platform's longest objects")

// decode returns the run that was sent.
func decode(r *protocol.RelayRun) (mirror.Run, error) {
	run := mirror.Run{After: r.After, At: r.At, Difference: r.Difference, Whole: r.Whole}
	changes := r.Changes
	if len(r.Packed) > 0 {
		unpacked, err := unpack(r.Packed)
		if err != nil {
			return run, err
		}
		changes = unpacked
	}
	for _, c := range changes {
		o := protocol.Object{Kind: r.Kind, Name: c.Name, Version: c.Version, Value: c.Value}
		run.Changes = append(run.Changes, protocol.Change{Object: o, Gone: c.Gone})
	}
	return run, nil
}

func unpack(packed []byte) ([]protocol.RelayChange, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackMost+1))
	if err != nil {
		return nil, err
	}
	if len(content) > unpackMost {
		return nil, errTooLong
	}
	return protocol.DecodeRelayChanges(content)
}
