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
	// minCompressSize is the total length of values from which a delta is compressed. A routing
	// table and snapshots go to every follower at once, over a link of 20 Mbit/s on the smallest
	// VMs.
	minCompressSize = 2 << 10
	// maxUnpackedSize bounds the decompressed size of a delta, at several times the platform's
	// longest object.
	maxUnpackedSize = 8 * protocol.MaxObjectBytes
)

// deltaEncoder encodes deltas. It compresses each long one once for all followers.
type deltaEncoder struct {
	mutex      sync.Mutex
	compressed map[string]protocol.RelayDelta // latest compressed delta by kind
	snapshots  map[string]protocol.RelayDelta // latest snapshot by kind
	writer     *flate.Writer                  // reused, since a new one allocates much memory
}

// snapshot returns a snapshot of a kind for a follower that knows it up to a revision. It reuses
// the last one as long as the mirror still has the changes since, which the follower gets next:
// hundreds of followers may connect at once while the kind changes all the time.
func (e *deltaEncoder) snapshot(m *mirror.Mirror, kind string, known protocol.Revision) (protocol.RelayDelta, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if last, ok := e.snapshots[kind]; ok && known.Before(last.Revision) {
		if _, inHistory := m.Since(kind, last.Revision); inHistory {
			return last, nil
		}
	}
	encoded, bytes := uncompressed(kind, m.Snapshot(kind))
	if bytes >= minCompressSize {
		if err := e.compress(&encoded); err != nil {
			return encoded, err
		}
	}
	if e.snapshots == nil {
		e.snapshots = make(map[string]protocol.RelayDelta)
	}
	e.snapshots[kind] = encoded
	return encoded, nil
}

// encode returns a delta in wire form, compressed if it is long.
func (e *deltaEncoder) encode(kind string, d mirror.Delta) (protocol.RelayDelta, error) {
	encoded, bytes := uncompressed(kind, d)
	if bytes < minCompressSize {
		return encoded, nil
	}
	return e.compressCached(encoded)
}

// uncompressed returns a delta in wire form without compression, and the total length of its
// values.
func uncompressed(kind string, d mirror.Delta) (encoded protocol.RelayDelta, bytes int) {
	encoded = protocol.RelayDelta{Kind: kind, After: d.After, Revision: d.To, ListDiff: d.ListDiff, Snapshot: d.Snapshot}
	for _, c := range d.Changes {
		change := protocol.RelayChange{Name: c.Object.Name, Version: c.Object.Version.Number, Deleted: c.Deleted}
		if !c.Deleted {
			change.Value = c.Object.Value
			bytes += len(change.Value)
		}
		encoded.Changes = append(encoded.Changes, change)
	}
	return encoded, bytes
}

// compressCached returns a delta with its changes compressed. It reuses the result if the last
// delta of the kind was the same.
func (e *deltaEncoder) compressCached(d protocol.RelayDelta) (protocol.RelayDelta, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if latest, ok := e.compressed[d.Kind]; ok && latest.After == d.After && latest.Revision == d.Revision && latest.ListDiff == d.ListDiff && latest.Snapshot == d.Snapshot {
		return latest, nil
	}
	if err := e.compress(&d); err != nil {
		return d, err
	}
	if e.compressed == nil {
		e.compressed = make(map[string]protocol.RelayDelta)
	}
	e.compressed[d.Kind] = d
	return d, nil
}

// compress replaces the changes of a delta by their compressed form. The caller holds the mutex.
func (e *deltaEncoder) compress(d *protocol.RelayDelta) error {
	changes, err := protocol.EncodeRelayChanges(d.Changes)
	if err != nil {
		return err
	}
	if d.Packed, err = e.deflate(changes); err != nil {
		return err
	}
	d.Changes = nil
	return nil
}

func (e *deltaEncoder) deflate(content []byte) ([]byte, error) {
	var b bytes.Buffer
	if e.writer == nil {
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			return nil, err
		}
		e.writer = w
	}
	e.writer.Reset(&b)
	if _, err := e.writer.Write(content); err != nil {
		return nil, err
	}
	if err := e.writer.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// valueBytes returns about how many bytes a delta takes in a frame.
func valueBytes(d *protocol.RelayDelta) int {
	n := len(d.Packed)
	for i := range d.Changes {
		n += len(d.Changes[i].Value)
	}
	return n
}

// errTooLarge says that a compressed delta exceeds maxUnpackedSize.
var errTooLarge = errors.New("compressed delta exceeds the size limit after decompression")

// decode returns the delta that a peer sent.
func decode(encoded *protocol.RelayDelta) (mirror.Delta, error) {
	delta := mirror.Delta{After: encoded.After, To: encoded.Revision, ListDiff: encoded.ListDiff, Snapshot: encoded.Snapshot}
	changes := encoded.Changes
	if len(encoded.Packed) > 0 {
		content, err := decompress(encoded.Packed)
		if err != nil {
			return delta, err
		}
		if changes, err = protocol.DecodeRelayChanges(content); err != nil {
			return delta, err
		}
	}
	for _, c := range changes {
		object := protocol.Object{Kind: encoded.Kind, Name: c.Name, Version: protocol.Revision{Era: encoded.Revision.Era, Number: c.Version}, Value: c.Value}
		delta.Changes = append(delta.Changes, protocol.Change{Object: object, Deleted: c.Deleted})
	}
	return delta, nil
}

func decompress(packed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedSize+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxUnpackedSize {
		return nil, errTooLarge
	}
	return content, nil
}
