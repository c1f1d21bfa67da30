// SPDX-License-Identifier: Apache-2.0

package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/settings"
)

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"entry": {"name": "e"}} // comment`))
	f.Add([]byte(`{"load": {"entries": ["x"],}}`))
	f.Add([]byte("{\"entry\": [,\n}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		file, mistakes := settings.Read(b)
		if len(mistakes) == 0 && file.Entry == nil && file.Standin == nil && file.Load == nil {
			t.Fatal("empty settings were accepted")
		}
		for _, m := range mistakes {
			if m.Error() == "" || m.Line() < 0 {
				t.Fatalf("a mistake without a message: %+v", m)
			}
		}
	})
}

// TestDataCentersAreUniqueNonEmptyNames checks that empty, duplicate and non-string names of
// data centers are reported.
func TestDataCentersAreUniqueNonEmptyNames(t *testing.T) {
	for list, mistakes := range map[string]int{`[]`: 0, `["a","b"]`: 0, `["a","a"]`: 1, `["a",""]`: 1, `[7]`: 1} {
		_, found := settings.Read([]byte(`{"front":{"name":"f","data_center":"a","data_centers":` + list + `,"listen":{"callers":"127.0.0.1:1",
"readiness":"127.0.0.1:2","metrics":"127.0.0.1:3"},"store":"127.0.0.1:4","stop_within_ms":1,"key_withdrawn_ms":1}}`))
		require.Len(t, found, mistakes, "%s: %v", list, found)
	}
}
