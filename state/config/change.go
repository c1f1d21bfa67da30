// SPDX-License-Identifier: Apache-2.0

package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"pinerun.example/pinerun/protocol"
)

// ChangeSince returns the change from an older configuration to c, or all of c if older is
// nil.
func (c *Config) ChangeSince(older *Config) protocol.ConfigChange {
	change := protocol.ConfigChange{
		Version: c.manifest.Version, Plan: c.manifest.Plan, Author: c.manifest.Author,
		Sum: manifestHash(c.manifest), Contents: map[string][]byte{},
	}
	var before []protocol.PartRef
	if older != nil {
		change.Base = older.Version()
		before = older.manifest.Parts
	}
	known := refSet(before)
	for _, ref := range c.manifest.Parts {
		if !known[ref] {
			change.Set = append(change.Set, ref)
			change.Contents[ref.Hash] = c.contents[ref.Hash]
		}
	}
	kept := refSet(c.manifest.Parts)
	for _, ref := range before {
		if !kept[ref] {
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

// manifestHash returns a hash of a manifest's content, independent of the order of its parts.
func manifestHash(m protocol.Manifest) string {
	sorted := m
	sorted.Accepted = nil // only the confirming entry uses it, the followers do not
	sorted.Parts = slices.Clone(m.Parts)
	slices.SortFunc(sorted.Parts, comparePart)
	content, err := json.Marshal(sorted)
	if err != nil {
		return "" // a manifest can always be marshaled
	}
	return protocol.HashPart(content)
}

// BaseMismatchError is the error for a change that does not apply to the current
// configuration, or leads to one with another hash than the change names. The caller has to
// request the whole configuration.
type BaseMismatchError struct{ current, base uint64 }

// Error names both versions and the remedy.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("the change is based on version %d, but version %d is current; request the whole configuration", e.base, e.current)
}

// Apply returns the configuration that results from applying a change to c. If the change
// holds a whole configuration, c may be nil.
func (c *Config) Apply(change protocol.ConfigChange) (*Config, error) {
	m := protocol.Manifest{Version: change.Version, Plan: change.Plan, Author: change.Author}
	contents := map[string][]byte{}
	if change.Base != 0 {
		if c == nil || c.Version() != change.Base {
			return nil, &BaseMismatchError{current: c.version(), base: change.Base}
		}
		removed := refSet(change.Removed)
		for _, ref := range c.manifest.Parts {
			if !removed[ref] {
				m.Parts = append(m.Parts, ref)
				contents[ref.Hash] = c.contents[ref.Hash]
			}
		}
	}
	m.Parts = append(m.Parts, change.Set...)
	for hash, content := range change.Contents {
		contents[hash] = content
	}
	if manifestHash(m) != change.Sum {
		return nil, &BaseMismatchError{current: c.version(), base: change.Base}
	}
	return Build(m, contents)
}

func (c *Config) version() uint64 {
	if c == nil {
		return 0
	}
	return c.Version()
}
