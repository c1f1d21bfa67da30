// SPDX-License-Identifier: Apache-2.0

package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// ChangeSince returns the change from an older configuration to c, or everything when
// older is nil.
func (c *Config) ChangeSince(older *Config) protocol.ConfigChange {
	change := protocol.ConfigChange{
		Version: c.manifest.Version, Plan: c.manifest.Plan, Author: c.manifest.Author,
		Sum: sumOf(c.manifest), Contents: map[string][]byte{},
	}
	var before []protocol.PartRef
	if older != nil {
		change.Base = older.Version()
		before = older.manifest.Parts
	}
	held := refSet(before)
	for _, ref := range c.manifest.Parts {
		if !held[ref] {
			change.Set = append(change.Set, ref)
			change.Contents[ref.Hash] = c.contents[ref.Hash]
		}
	}
	stays := refSet(c.manifest.Parts)
	for _, ref := range before {
		if !stays[ref] {
			change.Removed = append(change.Removed, ref)
		}
	}
	return change
}

func refSet(refs []protocol.PartRef) map[protocol.PartRef]bool {
	set := make(map[protocol.PartRef]bool, len(refs))
	for _, r := range refs {
		set[r] = true
	}
	return set
}

// sumOf names a manifest by its content, whatever the order of its parts.
func sumOf(m protocol.Manifest) string {
	sorted := m
	sorted.Accepted = nil // of use to who confirms, not to who follows
	sorted.Parts = slices.Clone(m.Parts)
	slices.SortFunc(sorted.Parts, comparePart)
	content, err := json.Marshal(sorted)
	if err != nil {
		return "" // a manifest always has a JSON form
	}
	return protocol.HashPart(content)
}

// BaseMismatchError is the error for a change that does not fit what is held: the whole
// configuration must be asked for.
type BaseMismatchError struct{ held, base uint64 }

// Error names both versions and the remedy.
func (n *BaseMismatchError) Error() string {
	return fmt.Sprintf("the change is from version %d and version %d is held; ask for the whole configuration", n.base, n.held)
}

// Apply returns the configuration that a change leads to from c, which may be
// nil for a whole one.
func (c *Config) Apply(change protocol.ConfigChange) (*Config, error) {
	m := protocol.Manifest{Version: change.Version, Plan: change.Plan, Author: change.Author}
	contents := map[string][]byte{}
	if change.Base != 0 {
		if c == nil || c.Version() != change.Base {
			return nil, &BaseMismatchError{held: c.version(), base: change.Base}
		}
		gone := refSet(change.Removed)
		for _, ref := range c.manifest.Parts {
			if !gone[ref] {
				m.Parts = append(m.Parts, ref)
				contents[ref.Hash] = c.contents[ref.Hash]
			}
		}
	}
	m.Parts = append(m.Parts, change.Set...)
	for hash, content := range change.Contents {
		contents[hash] = content
	}
	if sumOf(m) != change.Sum {
		return nil, &BaseMismatchError{held: c.version(), base: change.Base}
	}
	return Build(m, contents)
}

func (c *Config) version() uint64 {
	if c == nil {
		return 0
	}
	return c.Version()
}
