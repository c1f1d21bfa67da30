// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/explain"
)

// explainVerb tells from collected logs what became of a request.
type explainVerb struct {
	id    string
	files []string
}

func (v *explainVerb) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("explain")
	s.Description = "Tell from logs what became of a request: pinerun explain -id ID -logs FILE -logs FILE"
	s.String(&v.id, "i", "id", "the request's id as the caller sent it")
	s.StringSlice(&v.files, "l", "logs", "a file of log lines; give one for each entry")
	return s
}

func (v *explainVerb) run(_ context.Context, o *output) int {
	if v.id == "" || len(v.files) == 0 {
		return o.fail(exitUsage, errors.New("no id or no logs; give -id ID and -logs FILE"))
	}
	var lines []explain.Line
	for _, name := range v.files {
		more, err := readLines(name)
		if err != nil {
			return o.fail(exitUsage, fmt.Errorf("the log %s can't be read: %w; check the path", name, err))
		}
		lines = append(lines, more...)
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
