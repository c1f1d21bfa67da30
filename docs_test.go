// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pinerun.example/pinerun/coordination/placement"
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
	for _, what := range metric.Latencies() {
		require.Contains(t, page, "`"+string(what)+"_seconds`")
	}
	for _, r := range metric.Reasons() {
		require.Contains(t, page, "`retried."+string(r)+"`")
	}
	for _, k := range protocol.Kinds() {
		require.Contains(t, page, "`refused."+string(k)+"`")
	}
	for _, e := range metric.Ejections() {
		require.Contains(t, page, "`runners_ejected_by."+string(e)+"`")
	}
	for _, r := range placement.Reasons() {
		require.Contains(t, page, "`orders_given_by."+string(r)+"`")
	}
	for _, f := range protocol.RecordFaults() {
		require.Contains(t, page, "`records_unusable."+string(f)+"`")
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

// TestCommandsOnThePagesAreRunByScenarios looks for each pinerun command of the
// pages in the scenarios, which run the binary: the same verb with the same flags.
func TestCommandsOnThePagesAreRunByScenarios(t *testing.T) {
	ran := scenarioCommands(t)
	shown := regexp.MustCompile("(?m)(?:^ {4}|`)(?:\\./)?pinerun ([a-z]+)([^`\\n]*)")
	for _, page := range pages(t) {
		for _, m := range shown.FindAllStringSubmatch(read(t, page), -1) {
			require.True(t, covered(ran, m[1], flags(m[2])), "%s: no scenario runs pinerun %s%s", page, m[1], m[2])
		}
	}
}

// commandLine is a verb and the names of its flags.
type commandLine struct {
	verb  string
	flags []string
}

func scenarioCommands(t *testing.T) []commandLine {
	var ran []commandLine
	line := regexp.MustCompile(`(?m)^!? ?exec pinerun ([a-z]+)(.*)$`)
	for _, file := range walk(t, ".txtar") {
		for _, m := range line.FindAllStringSubmatch(read(t, file), -1) {
			ran = append(ran, commandLine{verb: m[1], flags: flags(m[2])})
		}
	}
	return ran
}

func flags(arguments string) []string {
	return regexp.MustCompile(` -[a-z-]+`).FindAllString(arguments, -1)
}

func covered(ran []commandLine, verb string, wanted []string) bool {
	return slices.ContainsFunc(ran, func(c commandLine) bool {
		return c.verb == verb && !slices.ContainsFunc(wanted, func(f string) bool { return !slices.Contains(c.flags, f) })
	})
}

// TestImportsPointOneWay checks the layers: each may import only those below.
func TestImportsPointOneWay(t *testing.T) {
	above := map[string][]string{
		"protocol":     {"state", "coordination", "transport", "standin", "load", "command"},
		"state":        {"coordination", "transport", "standin", "load", "command"},
		"coordination": {"transport", "standin", "load", "command"},
		"transport":    {"standin", "load", "command"},
	}
	imported := regexp.MustCompile(`"pinerun\.example/pinerun/([a-z]+)`)
	for _, file := range walk(t, ".go") {
		layer, _, _ := strings.Cut(file, string(filepath.Separator))
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, m := range imported.FindAllStringSubmatch(read(t, file), -1) {
			require.NotContains(t, above[layer], m[1], file)
		}
	}
}

// TestEveryPackageHasItsRow looks each folder with Go files up in docs/design/packages.md.
func TestEveryPackageHasItsRow(t *testing.T) {
	page := read(t, "docs/design/packages.md")
	for _, file := range walk(t, ".go") {
		if folder := filepath.ToSlash(filepath.Dir(file)); folder != "." && folder != "tools" {
			require.Contains(t, page, "`"+folder+"`")
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
