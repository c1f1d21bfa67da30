// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/internal/event"
	"pinerun.example/pinerun/internal/metric"
	"pinerun.example/pinerun/protocol"
)

func read(t *testing.T, file string) string {
	t.Helper()
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	return string(b)
}

// TestEventsAgreeWithTheirCatalogue compares the events in the code with
// docs/EVENTS.md, both ways.
func TestEventsAgreeWithTheirCatalogue(t *testing.T) {
	rows := regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z ]+) \| ([A-Z]+) \|`).FindAllStringSubmatch(read(t, "docs/EVENTS.md"), -1)
	all := event.All()
	require.Len(t, rows, len(all))
	for i, e := range all {
		require.Equal(t, []string{strconv.Itoa(e.Number()), e.Name(), e.Level().String()}, rows[i][1:])
	}
	declared := regexp.MustCompile(`= Event\{\d+`).FindAllString(read(t, "internal/event/event.go"), -1)
	require.Len(t, declared, len(all), "an event is missing from All")
}

// TestEveryCounterIsOnTheOperatorsPage looks each counter, refusal kind and
// retry reason up in docs/operators/watching.md.
func TestEveryCounterIsOnTheOperatorsPage(t *testing.T) {
	page := read(t, "docs/operators/watching.md")
	for _, n := range metric.Names() {
		require.Contains(t, page, "`"+string(n)+"`")
	}
	for _, r := range metric.Reasons() {
		require.Contains(t, page, "`retried."+string(r)+"`")
	}
	for _, k := range protocol.Kinds() {
		require.Contains(t, page, "`refused."+string(k)+"`")
	}
}

// TestEveryLinkInTheDocsLeadsSomewhere checks the relative links of all pages.
func TestEveryLinkInTheDocsLeadsSomewhere(t *testing.T) {
	link := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for _, page := range pages(t) {
		for _, m := range link.FindAllStringSubmatch(read(t, page), -1) {
			require.FileExists(t, filepath.Join(filepath.Dir(page), m[1]), page)
		}
	}
}

// TestEveryFileNamesItsLicence looks for the SPDX line.
func TestEveryFileNamesItsLicence(t *testing.T) {
	for _, file := range walk(t, ".go") {
		require.True(t, strings.HasPrefix(read(t, file), "// SPDX-License-Identifier: Apache-2.0\n"), file)
	}
}

func pages(t *testing.T) []string { return walk(t, ".md") }

func walk(t *testing.T, suffix string) []string {
	t.Helper()
	var found []string
	require.NoError(t, filepath.WalkDir(".", func(path string, d os.DirEntry, err error) error {
		if err == nil && d.IsDir() && d.Name() == ".git" {
			return filepath.SkipDir
		}
		if err == nil && strings.HasSuffix(path, suffix) {
			found = append(found, path)
		}
		return err
	}))
	return found
}
