// SPDX-License-Identifier: Apache-2.0

package protocol_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/protocol"
)

func TestFingerprintDiffersByField(t *testing.T) {
	same := protocol.FingerprintOf("team", "POST", "host", "/a?x", []byte("body"))
	require.Equal(t, same, protocol.FingerprintOf("team", "POST", "host", "/a?x", []byte("body")))
	for what, other := range map[string]protocol.Fingerprint{
		"the team":           protocol.FingerprintOf("meat", "POST", "host", "/a?x", []byte("body")),
		"the method":         protocol.FingerprintOf("team", "PUT", "host", "/a?x", []byte("body")),
		"the host":           protocol.FingerprintOf("team", "POST", "tsoh", "/a?x", []byte("body")),
		"the target":         protocol.FingerprintOf("team", "POST", "host", "/a?y", []byte("body")),
		"the body":           protocol.FingerprintOf("team", "POST", "host", "/a?x", []byte("ydob")),
		"the field boundary": protocol.FingerprintOf("team", "POST", "hos", "t/a?x", []byte("body")),
	} {
		require.NotEqual(t, same, other, what)
	}
}

func TestFingerprintRoundTrip(t *testing.T) {
	f := protocol.FingerprintOf("", "GET", "host", "/", nil)
	back, ok := protocol.ParseFingerprint(f.String())
	require.True(t, ok)
	require.Equal(t, f, back)
	for _, bad := range []string{"", "12", f.String() + "00", "zz" + f.String()[2:], protocol.Fingerprint{}.String()} {
		_, ok := protocol.ParseFingerprint(bad)
		require.False(t, ok, bad)
	}
}
