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
	wholes map[string]protocol.RelayRun // the whole one of each kind
	writer *flate.Writer                // used again, since a new one is large
}

// whole returns a whole kind for who knows it up to a revision. The one that was sent last serves
// as long as the changes since are remembered, which come after it: hundreds of followers may
// begin at once while the kind changes all the time.
func (p *packer) whole(m *mirror.Mirror, kind string, known uint64) (protocol.RelayRun, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if last, ok := p.wholes[kind]; ok && last.At > known {
		if _, remembered := m.Since(kind, last.At); remembered {
			return last, nil
		}
	}
	out, bytes := unpacked(kind, m.Snapshot(kind))
	if bytes >= packFrom {
		if err := p.compress(&out); err != nil {
			return out, err
		}
	}
	if p.wholes == nil {
		p.wholes = make(map[string]protocol.RelayRun)
	}
	p.wholes[kind] = out
	return out, nil
}

// encode returns a run as it is sent.
func (p *packer) encode(kind string, r mirror.Delta) (protocol.RelayRun, error) {
	out, bytes := unpacked(kind, r)
	if bytes < packFrom {
		return out, nil
	}
	return p.pack(out)
}

// unpacked returns a run as it is sent if it is short, and the length of its values.
func unpacked(kind string, r mirror.Delta) (out protocol.RelayRun, bytes int) {
	out = protocol.RelayRun{Kind: kind, After: r.After, At: r.To, Difference: r.ListDiff, Whole: r.Snapshot}
	for _, c := range r.Changes {
		change := protocol.RelayChange{Name: c.Object.Name, Version: c.Object.Version, Gone: c.Gone}
		if !c.Gone {
			change.Value = c.Object.Value
			bytes += len(change.Value)
		}
		out.Changes = append(out.Changes, change)
	}
	return out, bytes
}

// pack returns a run with its changes compressed.
func (p *packer) pack(r protocol.RelayRun) (protocol.RelayRun, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if l, ok := p.latest[r.Kind]; ok && l.After == r.After && l.At == r.At && l.Difference == r.Difference && l.Whole == r.Whole {
		return l, nil
	}
	if err := p.compress(&r); err != nil {
		return r, err
	}
	if p.latest == nil {
		p.latest = make(map[string]protocol.RelayRun)
	}
	p.latest[r.Kind] = r
	return r, nil
}

// compress replaces the changes of a run by their compressed form. The mutex is held.
func (p *packer) compress(r *protocol.RelayRun) error {
	encoded, err := protocol.EncodeRelay(r.Changes)
	if err != nil {
		return err
	}
	if r.Packed, err = p.deflate(encoded); err != nil {
		return err
	}
	r.Changes = nil
	return nil
}

func (p *packer) deflate(content []byte) ([]byte, error) {
	var b bytes.Buffer
	if p.writer == nil {
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			return nil, err
		}
		p.writer = w
	}
	p.writer.Reset(&b)
	if _, err := p.writer.Write(content); err != nil {
		return nil, err
	}
	if err := p.writer.Close(); err != nil {
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
func decode(r *protocol.RelayRun) (mirror.Delta, error) {
	run := mirror.Delta{After: r.After, To: r.At, ListDiff: r.Difference, Snapshot: r.Whole}
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
