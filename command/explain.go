// SPDX-License-Identifier: Apache-2.0

package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/explain"
)

// defaultSummaryStep is the default length of a summary's intervals. It is short enough to
// show the loss of an engine, from which the system recovers within a few seconds.
const defaultSummaryStep = 2 * time.Second

// explainCommand reconstructs the outcome of a request, or a summary of all requests, from
// collected logs.
type explainCommand struct {
	id      string
	files   []string
	summary bool
	step    int
}

func (c *explainCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("explain")
	s.Description = "Tell from logs what became of a request: pinerun explain -id ID -logs FILE -logs FILE"
	s.String(&c.id, "i", "id", "the request's id as the caller sent it")
	s.Bool(&c.summary, "s", "summary", "tell what became of all requests instead, in each span of time and by cause")
	s.Int(&c.step, "t", "step", "seconds of each span of the summary, 2 if not given")
	s.StringSlice(&c.files, "l", "logs", "a file of log lines; give one for each entry")
	return s
}

func (c *explainCommand) run(_ context.Context, o *output) int {
	if c.id == "" && !c.summary || len(c.files) == 0 {
		return o.fail(exitUsage, errors.New("no id or no logs; give -id ID and -logs FILE, or -summary and -logs FILE"))
	}
	if c.step < 0 {
		return o.fail(exitUsage, errors.New("a span of less than a second; give -step a whole number of seconds"))
	}
	var lines []explain.Line
	for _, name := range c.files {
		fileLines, err := readLines(name)
		if err != nil {
			return o.fail(exitUsage, fmt.Errorf("the log %s can't be read: %w; check the path", name, err))
		}
		lines = append(lines, fileLines...)
	}
	if c.summary {
		step := time.Duration(max(c.step, 0)) * time.Second
		fmt.Fprint(o.out, explain.Summarize(lines, cmp.Or(step, defaultSummaryStep)).String())
		return exitOK
	}
	report := explain.Explain(lines, c.id)
	fmt.Fprint(o.out, report.String())
	if report.Cause() == "" {
		return exitFailed
	}
	return exitOK
}

// readLines reads the log lines of a file.
func readLines(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return explain.Read(f)
}
