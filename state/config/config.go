// SPDX-License-Identifier: Apache-2.0

// Package config holds the configuration as an entry knows it.
//
// A Config is immutable. It is built from a manifest and its parts, after checking every
// hash. A Store holds the highest version seen and never goes back to a lower one:
//
//	c, err := config.Build(manifest, parts)
//	if err == nil && store.Offer(c) { ... } // c is now in force
package config

import (
	"cmp"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/go-playground/validator/v10"

	"pinerun.example/pinerun/protocol"
)

// Config is one accepted configuration. It is immutable.
type Config struct {
	manifest  protocol.Manifest
	contents  map[string][]byte // of the parts, by hash
	teams     []protocol.Team
	models    map[string]protocol.Model
	services  map[string]protocol.Service
	fleets    []protocol.Fleet
	runners   []protocol.Runner
	operators []protocol.Operator
}

// InvalidPartError is the error for an invalid manifest or part.
type InvalidPartError struct {
	part  protocol.PartRef
	cause error
}

// Error names the part and the remedy.
func (e *InvalidPartError) Error() string {
	return fmt.Sprintf("part %s/%s is not valid: %v; write the part again and accept a higher manifest version",
		e.part.Kind, e.part.Name, e.cause)
}

// Unwrap returns what is wrong with the part.
func (e *InvalidPartError) Unwrap() error { return e.cause }

var validate = validator.New(validator.WithRequiredStructEnabled())

// Build checks the hash and the content of every part and returns the configuration. Parts
// are keyed by hash.
func Build(m protocol.Manifest, parts map[string][]byte) (*Config, error) {
	c := &Config{
		manifest: m,
		contents: make(map[string][]byte, len(m.Parts)),
		models:   map[string]protocol.Model{},
		services: map[string]protocol.Service{},
	}
	for _, ref := range m.Parts {
		if err := c.addPart(ref, parts[ref.Hash]); err != nil {
			return nil, &InvalidPartError{part: ref, cause: err}
		}
	}
	return c, c.checkRunners()
}

func (c *Config) addPart(ref protocol.PartRef, content []byte) error {
	if content == nil {
		return fmt.Errorf("its content %.12s is missing", ref.Hash)
	}
	if protocol.HashPart(content) != ref.Hash {
		return fmt.Errorf("its content does not have the hash %.12s", ref.Hash)
	}
	c.contents[ref.Hash] = content
	switch ref.Kind {
	case protocol.TeamPart:
		var t protocol.Team
		err := decodePart(content, &t)
		c.teams = append(c.teams, t)
		return err
	case protocol.ModelPart:
		var m protocol.Model
		err := decodePart(content, &m)
		c.models[m.Name] = m
		return err
	case protocol.ServicePart:
		var s protocol.Service
		err := decodePart(content, &s)
		c.services[s.Name] = s
		return err
	case protocol.FleetPart:
		var f protocol.Fleet
		err := decodePart(content, &f)
		c.fleets = append(c.fleets, f)
		c.runners = append(c.runners, f.Runners...)
		return err
	case protocol.OperatorPart:
		var o protocol.Operator
		err := decodePart(content, &o)
		c.operators = append(c.operators, o)
		return err
	default:
		return fmt.Errorf("kind %q is unknown", ref.Kind)
	}
}

func decodePart(content []byte, into any) error {
	if err := json.Unmarshal(content, into); err != nil {
		return err
	}
	return validate.Struct(into)
}

func (c *Config) checkRunners() error {
	for _, r := range c.runners {
		m, ok := c.models[r.Model]
		ref := protocol.PartRef{Kind: protocol.FleetPart, Name: r.DataCenter}
		if !ok {
			return &InvalidPartError{part: ref, cause: fmt.Errorf("runner %s serves the unknown model %q", r.Name, r.Model)}
		}
		if r.To > m.Layers {
			return &InvalidPartError{part: ref, cause: fmt.Errorf("runner %s holds layers beyond the %d of %q", r.Name, m.Layers, r.Model)}
		}
	}
	return nil
}

// Version returns the manifest's version.
func (c *Config) Version() uint64 { return c.manifest.Version }

// Manifest returns the manifest that the configuration was built from.
func (c *Config) Manifest() protocol.Manifest { return c.manifest }

// Content returns a part's content by its hash, or nil.
func (c *Config) Content(hash string) []byte {
	if c == nil {
		return nil
	}
	return c.contents[hash]
}

// Model returns a model by name.
func (c *Config) Model(name string) (protocol.Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

// ModelList returns all models, ordered by name.
func (c *Config) ModelList() []protocol.Model {
	list := slices.Collect(maps.Values(c.models))
	slices.SortFunc(list, func(a, b protocol.Model) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Service returns a plain service by name.
func (c *Config) Service(name string) (protocol.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Teams returns all teams. The caller must not change the slice.
func (c *Config) Teams() []protocol.Team { return c.teams }

// Runners returns all runners. The caller must not change the slice.
func (c *Config) Runners() []protocol.Runner { return c.runners }

// Fleets returns the runners of each data center. The caller must not change
// the slice.
func (c *Config) Fleets() []protocol.Fleet { return c.fleets }

// TeamByKey returns the team with the API key. It compares the key in constant time with
// every known hash.
func (c *Config) TeamByKey(key string) (protocol.Team, bool) {
	hash := []byte(protocol.HashKey(key))
	found := -1
	for i := range c.teams {
		for _, h := range c.teams[i].KeyHashes {
			if subtle.ConstantTimeCompare(hash, []byte(h)) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return protocol.Team{}, false
	}
	return c.teams[found], true
}

// OperatorByKey returns the operator with the key.
func (c *Config) OperatorByKey(key string) (protocol.Operator, bool) {
	hash := []byte(protocol.HashKey(key))
	found := -1
	for i := range c.operators {
		if subtle.ConstantTimeCompare(hash, []byte(c.operators[i].KeyHash)) == 1 {
			found = i
		}
	}
	if found < 0 {
		return protocol.Operator{}, false
	}
	return c.operators[found], true
}

// Store holds the configuration in force. The zero value holds none.
type Store struct{ current atomic.Pointer[Config] }

// Offer puts c in force if its version is higher than the current one, and reports whether
// it did.
func (s *Store) Offer(c *Config) bool {
	for {
		current := s.current.Load()
		if current != nil && current.Version() >= c.Version() {
			return false
		}
		if s.current.CompareAndSwap(current, c) {
			return true
		}
	}
}

// Current returns the configuration in force, or nil before the first.
func (s *Store) Current() *Config { return s.current.Load() }

// NewFromModels builds a configuration of models and fleets only, for tests and benchmarks
// without a platform.
func NewFromModels(version uint64, models []protocol.Model, fleets ...protocol.Fleet) (*Config, error) {
	m := protocol.Manifest{Version: version}
	parts := map[string][]byte{}
	add := func(kind protocol.PartKind, name string, part any) error {
		content, err := json.Marshal(part)
		hash := protocol.HashPart(content)
		parts[hash] = content
		m.Parts = append(m.Parts, protocol.PartRef{Kind: kind, Name: name, Hash: hash})
		return err
	}
	for _, model := range models {
		if err := add(protocol.ModelPart, model.Name, model); err != nil {
			return nil, err
		}
	}
	for _, f := range fleets {
		if err := add(protocol.FleetPart, f.Name, f); err != nil {
			return nil, err
		}
	}
	return Build(m, parts)
}

func comparePart(a, b protocol.PartRef) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Hash, b.Hash))
}
