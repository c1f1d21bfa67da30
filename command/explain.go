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

// defaultStep is the span of time of a summary: short enough to show a loss of an engine,
// which is mended within some seconds.
const defaultStep = 2 * time.Second

// explainVerb tells from collected logs what became of a request.
type explainVerb struct {
	id      string
	files   []string
	summary bool
	step    int
}

func (v *explainVerb) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("explain")
	s.Description = "Tell from logs what became of a request: pinerun explain -id ID -logs FILE -logs FILE"
	s.String(&v.id, "i", "id", "the request's id as the caller sent it")
	s.Bool(&v.summary, "s", "summary", "tell what became of all requests instead, in each span of time and by cause")
	s.Int(&v.step, "t", "step", "seconds of each span of the summary, 2 if not given")
	s.StringSlice(&v.files, "l", "logs", "a file of log lines; give one for each entry")
	return s
}

func (v *explainVerb) run(_ context.Context, o *output) int {
	if v.id == "" && !v.summary || len(v.files) == 0 {
		return o.fail(exitUsage, errors.New("no id or no logs; give -id ID and -logs FILE, or -summary and -logs FILE"))
	}
	if v.step < 0 {
		return o.fail(exitUsage, errors.New("a span of less than a second; give -step a whole number of seconds"))
	}
	var lines []explain.Line
	for _, name := range v.files {
		more, err := readLines(name)
		if err != nil {
			return o.fail(exitUsage, fmt.Errorf("the log %s can't be read: %w; check the path", name, err))
		}
		lines = append(lines, more...)
	}
	if v.summary {
		step := time.Duration(max(v.step, 0)) * time.Second
		fmt.Fprint(o.out, explain.Summarize(lines, cmp.Or(step, defaultStep)).String())
		return exitGood
	}
	report := explain.Explain(lines, v.id)
	fmt.Fprint(o.out, report.String())
	if report.Cause() == "" {
		return exitFailed
	}
	return exitGood
}

func readLines(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return explain.Read(f)
}
