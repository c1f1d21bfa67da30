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

func readFile(t *testing.T, file string) string {
	t.Helper()
	b, err := os.ReadFile(file)
	require.NoError(t, err)
	return string(b)
}

// TestEventsMatchDocumentation compares the events in the code with docs/EVENTS.md. It fails
// if either lists an event that the other does not.
func TestEventsMatchDocumentation(t *testing.T) {
	rows := regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z ]+) \| ([A-Z]+) \|`).FindAllStringSubmatch(readFile(t, "docs/EVENTS.md"), -1)
	events := event.All()
	require.Len(t, rows, len(events))
	for i, e := range events {
		require.Equal(t, []string{strconv.Itoa(e.Number()), e.Name(), e.Level().String()}, rows[i][1:])
	}
	declared := regexp.MustCompile(`= Event\{\d+`).FindAllString(readFile(t, "internal/event/event.go"), -1)
	require.Len(t, declared, len(events), "an event is missing from All")
}

// TestEveryCounterIsDocumented checks that docs/operators/watching.md names each counter and
// latency, and each reason or kind by which counters are broken down.
func TestEveryCounterIsDocumented(t *testing.T) {
	page := readFile(t, "docs/operators/watching.md")
	for _, n := range metric.Names() {
		require.Contains(t, page, "`"+string(n)+"`")
	}
	for _, latency := range metric.Latencies() {
		require.Contains(t, page, "`"+string(latency)+"_seconds`")
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

// TestRelativeLinksInDocsResolve checks that each relative link in a Markdown file leads to
// an existing file.
func TestRelativeLinksInDocsResolve(t *testing.T) {
	pattern := regexp.MustCompile(`\]\(([^)#:]+)\)`)
	for _, page := range markdownFiles(t) {
		for _, m := range pattern.FindAllStringSubmatch(readFile(t, page), -1) {
			require.FileExists(t, filepath.Join(filepath.Dir(page), m[1]), page)
		}
	}
}

// TestDocumentedCommandsAreRunByScenarios checks that a scenario runs each pinerun command of
// the documentation: the same subcommand with at least the same flags.
func TestDocumentedCommandsAreRunByScenarios(t *testing.T) {
	scenarios := scenarioCommands(t)
	pattern := regexp.MustCompile("(?m)(?:^ {4}|`)(?:\\./)?pinerun ([a-z]+)([^`\\n]*)")
	for _, page := range markdownFiles(t) {
		for _, m := range pattern.FindAllStringSubmatch(readFile(t, page), -1) {
			require.True(t, isCovered(scenarios, m[1], flagNames(m[2])), "%s: no scenario runs pinerun %s%s", page, m[1], m[2])
		}
	}
}

// subcommandLine is the name of a subcommand and the names of its flags.
type subcommandLine struct {
	name  string
	flags []string
}

// scenarioCommands returns the pinerun commands that the scenarios run.
func scenarioCommands(t *testing.T) []subcommandLine {
	var commands []subcommandLine
	pattern := regexp.MustCompile(`(?m)^!? ?exec pinerun ([a-z]+)(.*)$`)
	for _, file := range findFiles(t, ".txtar") {
		for _, m := range pattern.FindAllStringSubmatch(readFile(t, file), -1) {
			commands = append(commands, subcommandLine{name: m[1], flags: flagNames(m[2])})
		}
	}
	return commands
}

// flagNames returns the flags in a command line.
func flagNames(arguments string) []string {
	return regexp.MustCompile(` -[a-z-]+`).FindAllString(arguments, -1)
}

// isCovered reports whether one of the commands is the subcommand with all these flags.
func isCovered(commands []subcommandLine, name string, flags []string) bool {
	return slices.ContainsFunc(commands, func(c subcommandLine) bool {
		return c.name == name && !slices.ContainsFunc(flags, func(f string) bool { return !slices.Contains(c.flags, f) })
	})
}

// TestImportsFollowLayerOrder checks that packages of a layer import only layers below it.
func TestImportsFollowLayerOrder(t *testing.T) {
	forbidden := map[string][]string{
		"protocol":     {"state", "coordination", "transport", "standin", "load", "command"},
		"state":        {"coordination", "transport", "standin", "load", "command"},
		"coordination": {"transport", "standin", "load", "command"},
		"transport":    {"standin", "load", "command"},
	}
	pattern := regexp.MustCompile(`"pinerun\.example/pinerun/([a-z]+)`)
	for _, file := range findFiles(t, ".go") {
		layer, _, _ := strings.Cut(file, string(filepath.Separator))
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		for _, m := range pattern.FindAllStringSubmatch(readFile(t, file), -1) {
			require.NotContains(t, forbidden[layer], m[1], file)
		}
	}
}

// TestEveryPackageIsDocumented checks that docs/design/packages.md names each folder with Go
// files.
func TestEveryPackageIsDocumented(t *testing.T) {
	page := readFile(t, "docs/design/packages.md")
	for _, file := range findFiles(t, ".go") {
		if folder := filepath.ToSlash(filepath.Dir(file)); folder != "." && folder != "tools" {
			require.Contains(t, page, "`"+folder+"`")
		}
	}
}

// TestEveryFileHasLicenseHeader checks that each Go file starts with the SPDX line.
func TestEveryFileHasLicenseHeader(t *testing.T) {
	for _, file := range findFiles(t, ".go") {
		require.True(t, strings.HasPrefix(readFile(t, file), "// SPDX-License-Identifier: Apache-2.0\n"), file)
	}
}

// markdownFiles returns the paths of all Markdown files.
func markdownFiles(t *testing.T) []string { return findFiles(t, ".md") }

// findFiles returns the paths of all files with the suffix, except those under .git.
func findFiles(t *testing.T, suffix string) []string {
	t.Helper()
	var files []string
	require.NoError(t, filepath.WalkDir(".", func(path string, d os.DirEntry, err error) error {
		if err == nil && d.IsDir() && d.Name() == ".git" {
			return filepath.SkipDir
		}
		if err == nil && strings.HasSuffix(path, suffix) {
			files = append(files, path)
		}
		return err
	}))
	return files
}

// readerCalls are the ways in which bytes of another process are read.
var readerCalls = regexp.MustCompile(`limited\.(Read|Client|Transport)\b|\.SetReadLimit\(|bufio\.New(Reader|Scanner)|io\.ReadAll\(|http\.Read(Request|Response)\(`)

// TestEveryReaderHasARow guards against a reader of another process's bytes that docs/design/readers.md, which says its
// bounds, does not name: by its file, or by its package.
func TestEveryReaderHasARow(t *testing.T) {
	page := readFile(t, "docs/design/readers.md")
	files, err := filepath.Glob("*/*.go")
	require.NoError(t, err)
	deeper, err := filepath.Glob("*/*/*.go")
	require.NoError(t, err)
	readers := 0
	for _, file := range append(files, deeper...) {
		dir := filepath.Dir(file)
		if strings.HasSuffix(file, "_test.go") || slices.Contains([]string{"internal/limited", "platform/platformtest", "soak", "standin"}, dir) {
			continue
		}
		if !readerCalls.MatchString(readFile(t, file)) {
			continue
		}
		readers++
		require.True(t, strings.Contains(page, "`"+file+"`") || strings.Contains(page, "`"+dir+"`"), "%s reads another process's bytes and has no row", file)
	}
	require.Greater(t, readers, 15)
}
