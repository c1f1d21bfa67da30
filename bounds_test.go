// SPDX-License-Identifier: Apache-2.0

package main

import (
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// unbounded is what reads responses of other processes with net/http's own bounds, or with none.
var unbounded = regexp.MustCompile(`http\.Default(Client|Transport)|http\.(Get|Head|Post|PostForm)\(|[^(]&http\.Transport\{|[^.]http\.Client\{\}|` +
	`io\.ReadAll\((res|resp|response)\.Body|io\.ReadAll\(io\.LimitReader\((res|resp|response)\.Body|json\.NewDecoder\((res|resp|response)\.Body|websocket\.Dial\(.*, nil\)`)

// TestResponsesOfOtherProcessesAreReadWithinBounds checks that every client is built on internal/limited.
func TestResponsesOfOtherProcessesAreReadWithinBounds(t *testing.T) {
	for _, file := range findFiles(t, ".go") {
		folder := filepath.ToSlash(filepath.Dir(file))
		isStandIn := folder == "standin" || folder == "soak" || strings.HasSuffix(folder, "test")
		if strings.HasSuffix(file, "_test.go") || isStandIn || folder == "internal/limited" || folder == "tools" {
			continue
		}
		for i, line := range strings.Split(readFile(t, file), "\n") {
			assert.False(t, unbounded.MatchString(line), "%s:%d: %s; use internal/limited", file, i+1, strings.TrimSpace(line))
		}
	}
}
