// SPDX-License-Identifier: Apache-2.0

package command

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"pinerun.example/pinerun/settings"
)

// readSettings reads a settings file. If the file is invalid, readSettings prints every
// mistake and returns false.
func readSettings(file string, o *output) (settings.File, bool) {
	if file == "" {
		o.fail(exitUsage, errors.New("no settings; give -settings FILE"))
		return settings.File{}, false
	}
	content, err := os.ReadFile(file)
	if err != nil {
		o.fail(exitUsage, fmt.Errorf("the settings can't be read: %w; check the path", err))
		return settings.File{}, false
	}
	f, mistakes := settings.Read(content)
	for _, m := range mistakes {
		fmt.Fprintln(o.err, file+": "+m.Error())
	}
	return f, len(mistakes) == 0
}

// checkCommand prints every mistake in a settings file.
type checkCommand struct{ file string }

func (c *checkCommand) define() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("check")
	s.Description = "Say every mistake in a settings file, with line and remedy"
	s.String(&c.file, "s", "settings", "the settings file")
	return s
}

func (c *checkCommand) run(_ context.Context, o *output) int {
	if _, ok := readSettings(c.file, o); !ok {
		return exitUsage
	}
	fmt.Fprintln(o.out, c.file+": good")
	return exitOK
}
