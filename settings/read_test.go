// SPDX-License-Identifier: Apache-2.0

package settings_test

import (
	"testing"

	"pinerun.example/pinerun/settings"
)

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"entry": {"name": "e"}} // comment`))
	f.Add([]byte(`{"load": {"entries": ["x"],}}`))
	f.Add([]byte("{\"entry\": [,\n}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		file, mistakes := settings.Read(b)
		if len(mistakes) == 0 && file.Entry == nil && file.Standin == nil && file.Load == nil {
			t.Fatal("empty settings were taken")
		}
		for _, m := range mistakes {
			if m.Error() == "" || m.Line() < 0 {
				t.Fatalf("a mistake without words: %+v", m)
			}
		}
	})
}
