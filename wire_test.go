// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/lease"
	"pinerun.example/pinerun/coordination/plan"
	"pinerun.example/pinerun/protocol"
	"pinerun.example/pinerun/settings"
	"pinerun.example/pinerun/state/trace"
)

// updateWire writes the files under testdata/wire instead of comparing with them. Entries of two
// versions meet in one fleet during an upgrade, so a changed file means an incompatible message.
var updateWire = flag.Bool("wire.update", false, "write testdata/wire")

// TestMessageEncodingIsStable encodes each message between processes and each stored record with
// distinct values and compares the result with testdata/wire. It fails if a field is renamed on the
// wire, moved, or encoded differently.
func TestMessageEncodingIsStable(t *testing.T) {
	binary := []struct {
		name   string
		filled any
		encode func(any) ([]byte, error)
	}{
		{"steps", &protocol.StepFrame{}, func(m any) ([]byte, error) { return protocol.EncodeSteps(*m.(*protocol.StepFrame)) }},
		{"replies", &protocol.ReplyFrame{}, func(m any) ([]byte, error) { return protocol.EncodeReplies(*m.(*protocol.ReplyFrame)) }},
		{"peer", &protocol.PeerFrame{}, func(m any) ([]byte, error) { return protocol.EncodePeer(*m.(*protocol.PeerFrame)) }},
		{"peer-with-parts", &protocol.PeerFrame{}, encodePeerWithParts},
		{"claims", &protocol.ClaimBatch{}, func(m any) ([]byte, error) { return protocol.EncodeClaims(*m.(*protocol.ClaimBatch)) }},
		{"relay-hello", &protocol.RelayHelloArray{}, encodeArray},
		{"relay-ask", &protocol.RelayRequestArray{}, encodeArray},
		{"relay-frame", &protocol.RelayFrameArray{}, encodeArray},
		{"relay-ask-without-rates", &protocol.RelayRequestArray{}, encodeWithoutRates},
		{"relay-frame-without-rates", &protocol.RelayFrameArray{}, encodeWithoutRates},
		{"relay-hello-map", &protocol.RelayHello{}, encodeMap},
		{"relay-ask-map", &protocol.RelayRequest{}, encodeMap},
		{"relay-frame-map", &protocol.RelayFrame{}, encodeMap},
		{"relay-ask-map-with-parts", &protocol.RelayRequest{}, encodeWithParts},
		{"relay-frame-map-with-parts", &protocol.RelayFrame{}, encodeWithParts},
		{"tunnel-request", &protocol.TunnelRequest{}, func(m any) ([]byte, error) { return protocol.EncodeTunnelRequest(m.(*protocol.TunnelRequest)) }},
		{"tunnel-answer", &protocol.TunnelAnswer{}, func(m any) ([]byte, error) { return protocol.EncodeTunnelAnswer(m.(*protocol.TunnelAnswer)) }},
		{"relay-changes", &[]protocol.RelayChange{}, func(m any) ([]byte, error) { return protocol.EncodeRelayChanges(*m.(*[]protocol.RelayChange)) }},
	}
	for _, m := range binary {
		t.Run(m.name, func(t *testing.T) {
			fillDistinct(m.filled)
			b, err := m.encode(m.filled)
			require.NoError(t, err)
			compareWire(t, m.name+".cbor.hex", hex.EncodeToString(b))
		})
	}
	text := []struct {
		name   string
		filled any
	}{
		{"member", &protocol.Member{}},
		{"entry-record", &protocol.EntryRecord{}},
		{"first-entries", &protocol.SeedEntries{}},
		{"refused-work", &protocol.RefusedWork{}},
		{"order", &protocol.Order{}},
		{"holding", &protocol.LayerLoad{}},
		{"object", &protocol.Object{}},
		{"vm", &protocol.VM{}},
		{"manifest", &protocol.Manifest{}},
		{"team", &protocol.Team{}},
		{"model", &protocol.Model{}},
		{"service", &protocol.Service{}},
		{"runner", &protocol.Runner{}},
		{"fleet", &protocol.Fleet{}},
		{"operator", &protocol.Operator{}},
		{"load-report", &protocol.LoadReport{}},
		{"chat-request", &protocol.ChatRequest{}},
		{"fleet-status", &protocol.FleetStatus{}},
		{"lease", &lease.Record{}},
		{"plan", &plan.Plan{}},
		{"story-line", &trace.Event{}},
	}
	for _, m := range text {
		t.Run(m.name, func(t *testing.T) {
			fillDistinct(m.filled)
			b, err := json.MarshalIndent(m.filled, "", "  ")
			require.NoError(t, err)
			compareWire(t, m.name+".json", string(b))

			read := reflect.New(reflect.TypeOf(m.filled).Elem()).Interface()
			require.NoError(t, json.Unmarshal(b, read))
			again, err := json.MarshalIndent(read, "", "  ")
			require.NoError(t, err)
			require.Equal(t, string(b), string(again))
		})
	}
}

// TestExampleSettingsAreReadCompletely reads each settings file under examples and compares what was
// read, defaults included, with testdata/wire. It fails if a key is renamed or no longer read.
func TestExampleSettingsAreReadCompletely(t *testing.T) {
	files, err := filepath.Glob("examples/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		name := filepath.Base(f)
		t.Run(name, func(t *testing.T) {
			decoded, mistakes := settings.Read([]byte(readFile(t, f)))
			require.Empty(t, mistakes)
			b, err := json.MarshalIndent(decoded, "", "  ")
			require.NoError(t, err)
			compareWire(t, "settings-"+name+".json", string(b))
		})
	}
}

// encodeWithoutRates encodes a message between entries that has no reports of rate limits, as entries
// of earlier versions read and write it.
func encodeWithoutRates(message any) ([]byte, error) {
	switch m := message.(type) {
	case *protocol.RelayRequestArray:
		m.Rates = nil
	case *protocol.RelayFrameArray:
		m.Rates = nil
	}
	return encodeArray(message)
}

// encodeArray encodes a message between entries as an array.
func encodeArray(message any) ([]byte, error) {
	return protocol.RelayArrays.Encode(message.(protocol.RelayMessage))
}

// encodeMap encodes a message between entries as a map.
func encodeMap(message any) ([]byte, error) {
	return protocol.RelayMaps.Encode(message.(protocol.RelayMessage))
}

// encodePeerWithParts encodes a message between entries of pinerun's own interface, whose second report has parts.
func encodePeerWithParts(message any) ([]byte, error) {
	f := message.(*protocol.PeerFrame)
	f.Work[1].Parts = []protocol.Fingerprint{{1, 2, 3}, {4, 5, 6}}
	return protocol.EncodePeer(*f)
}

// encodeWithParts encodes a message between entries as a map. Its second report has parts of a prompt.
func encodeWithParts(message any) ([]byte, error) {
	parts := []protocol.Fingerprint{{1, 2, 3}, {4, 5, 6}}
	switch m := message.(type) {
	case *protocol.RelayRequest:
		m.Work[1].Parts = parts
	case *protocol.RelayFrame:
		m.Work[1].Parts = parts
	}
	return encodeMap(message)
}

// TestRefusalOfWholeWorkIsStoredAsBefore compares a refusal of a whole work with that of earlier versions.
func TestRefusalOfWholeWorkIsStoredAsBefore(t *testing.T) {
	var refused protocol.RefusedWork
	require.NoError(t, json.Unmarshal([]byte(readFile(t, filepath.Join("testdata", "wire", "refused-work-whole.json"))), &refused))
	b, err := json.MarshalIndent(&refused, "", "  ")
	require.NoError(t, err)
	compareWire(t, "refused-work-whole.json", string(b))
}

func compareWire(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", "wire", name)
	if *updateWire {
		require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
		require.NoError(t, os.WriteFile(file, []byte(got+"\n"), 0o644))
		return
	}
	require.Equal(t, readFile(t, file), got+"\n")
}

// fillDistinct sets each field below the pointer to a value that no other field has, in the order
// of the fields.
func fillDistinct(pointer any) {
	next := uint64(0)
	fillValue(reflect.ValueOf(pointer).Elem(), &next)
}

func fillValue(v reflect.Value, next *uint64) {
	*next++
	if v.CanAddr() && v.Type() == reflect.TypeFor[protocol.Object]() {
		fillObject(v.Addr().Interface().(*protocol.Object), next)
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*next))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(*next)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", *next))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillValue(v.Elem(), next)
	case reflect.Slice:
		if v.Type() == reflect.TypeFor[json.RawMessage]() {
			v.SetBytes(fmt.Appendf(nil, "%d", *next))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fillValue(v.Index(i), next)
		}
	case reflect.Array:
		for i := range v.Len() {
			fillValue(v.Index(i), next)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillValue(key, next)
		fillValue(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && field.Tag.Get("cbor") != "-" {
				fillValue(v.Field(i), next)
			}
		}
	default:
		panic("no value for the kind " + v.Kind().String())
	}
}

// fillObject fills an object in the order of its fields. The era of its version is not in its encoding.
func fillObject(o *protocol.Object, next *uint64) {
	for _, field := range []reflect.Value{
		reflect.ValueOf(&o.Kind).Elem(), reflect.ValueOf(&o.Name).Elem(), reflect.ValueOf(&o.Version.Number).Elem(), reflect.ValueOf(&o.Value).Elem(),
	} {
		fillValue(field, next)
	}
}
