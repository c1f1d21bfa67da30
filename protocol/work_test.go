// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

// workWithParts is two reports, one of them with parts.
func workWithParts() []protocol.WorkReport {
	whole := protocol.WorkReport{Work: protocol.Fingerprint{1}, Endpoint: "e", Incarnation: 7, Observer: "w", Observation: protocol.WorkBroke, AgoMS: 2}
	shared := whole
	shared.Work, shared.Parts = protocol.Fingerprint{2}, []protocol.Fingerprint{{3}, {4}}
	return []protocol.WorkReport{whole, shared}
}

func TestReportsKeepTheirParts(t *testing.T) {
	b, err := protocol.RelayMaps.Encode(&protocol.RelayFrame{FailedMS: -1, Work: workWithParts()})
	require.NoError(t, err)
	frame, err := protocol.RelayMaps.DecodeFrame(b)
	require.NoError(t, err)
	require.Equal(t, protocol.RelayFrame{FailedMS: -1, Work: workWithParts()}, frame)

	b, err = protocol.RelayMaps.Encode(&protocol.RelayRequest{Work: workWithParts()})
	require.NoError(t, err)
	request, err := protocol.RelayMaps.DecodeRequest(b)
	require.NoError(t, err)
	require.Equal(t, protocol.RelayRequest{Work: workWithParts()}, request)
}

func TestPeerFramesKeepPartsOfReports(t *testing.T) {
	frame := protocol.PeerFrame{Members: []protocol.Member{{Name: "e1", Address: "127.0.0.1:1"}}, Work: workWithParts()}
	b, err := protocol.EncodePeer(frame)
	require.NoError(t, err)
	read, err := protocol.DecodePeer(b)
	require.NoError(t, err)
	require.Equal(t, frame.Work, read.Work)
	require.Equal(t, frame.Members, read.Members)
}

// frameBeforeParts is a RelayFrame as the version before parts of prompts reads it.
type frameBeforeParts struct {
	FailedMS int64                 `cbor:"3,keyasint"`
	Work     []protocol.WorkReport `cbor:"6,keyasint,omitempty"`
}

func TestEntriesOfEarlierVersionReadReportsWithParts(t *testing.T) {
	b, err := protocol.RelayMaps.Encode(&protocol.RelayFrame{FailedMS: -1, Work: workWithParts()})
	require.NoError(t, err)
	var read frameBeforeParts
	require.NoError(t, cbor.Unmarshal(b, &read))
	want := workWithParts()
	want[1].Parts = nil
	require.Equal(t, frameBeforeParts{FailedMS: -1, Work: want}, read)

	b, err = cbor.Marshal(&read)
	require.NoError(t, err)
	frame, err := protocol.RelayMaps.DecodeFrame(b)
	require.NoError(t, err)
	require.Equal(t, protocol.RelayFrame{FailedMS: -1, Work: want}, frame)
}

// TestInvalidPartsOfReportsAreRejected changes one thing at a time.
func TestInvalidPartsOfReportsAreRejected(t *testing.T) {
	for name, parts := range map[string]protocol.ReportParts{
		"of no report":     {Report: 2, Parts: []protocol.Fingerprint{{1}}},
		"before the first": {Report: -1, Parts: []protocol.Fingerprint{{1}}},
		"zero part":        {Report: 0, Parts: []protocol.Fingerprint{{}}},
		"too many":         {Report: 0, Parts: make([]protocol.Fingerprint, protocol.MaxReportParts+1)},
	} {
		type frame struct {
			FailedMS  int64                  `cbor:"3,keyasint"`
			Work      []protocol.WorkReport  `cbor:"6,keyasint,omitempty"`
			WorkParts []protocol.ReportParts `cbor:"9,keyasint,omitempty"`
		}
		b, err := cbor.Marshal(&frame{FailedMS: -1, Work: workWithParts(), WorkParts: []protocol.ReportParts{parts}})
		require.NoError(t, err)
		_, err = protocol.RelayMaps.DecodeFrame(b)
		require.Error(t, err, name)
	}
}

func FuzzReportParts(f *testing.F) {
	b, err := protocol.RelayMaps.Encode(&protocol.RelayFrame{FailedMS: -1, Work: workWithParts()})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := protocol.RelayMaps.DecodeFrame(b)
		if err != nil {
			return
		}
		for _, r := range frame.Work {
			require.LessOrEqual(t, len(r.Parts), protocol.MaxReportParts)
			require.NotContains(t, r.Parts, protocol.Fingerprint{})
		}
		again, err := protocol.RelayMaps.Encode(&frame)
		require.NoError(t, err)
		read, err := protocol.RelayMaps.DecodeFrame(again)
		require.NoError(t, err)
		require.Equal(t, frame.Work, read.Work)
	})
}
