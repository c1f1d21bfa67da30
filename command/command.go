// SPDX-License-Identifier: Apache-2.0

// Package command is the command line of pinerun: one file for each verb.
//
// Every verb ends with one of three exit codes: 0 when all went well, 1 when
// the work failed or a promise was broken, 2 when the command line or the
// settings are wrong and nothing was run.
package command

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"
)

// The exit codes.
const (
	exitGood   = 0
	exitFailed = 1
	exitUsage  = 2
)

// verb is one subcommand with its flags.
type verb interface {
	// define returns the subcommand with its flags attached.
	define() *flaggy.Subcommand
	run(ctx context.Context, out *output) int
}

// output is where a verb writes: results to out, everything else to err.
type output struct{ out, err io.Writer }

// fail tells what went wrong and returns the exit code.
func (o *output) fail(code int, err error) int {
	fmt.Fprintln(o.err, "pinerun: "+err.Error())
	return code
}

// logger writes structured lines to the error stream.
func (o *output) logger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(o.err, &slog.HandlerOptions{Level: l}))
}

// Main runs one command line and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	o := &output{out: out, err: errs}
	verbs := []verb{
		&demoVerb{}, &entryVerb{}, &frontVerb{}, &standinVerb{}, &loadVerb{}, &checkVerb{}, &statusVerb{}, &fleetVerb{},
		&intentVerb{}, &plansVerb{}, &capacityVerb{}, &boundVerb{}, &explainVerb{},
		&endVerb{name: "confirm", description: "Accept a plan; it may be repeated"},
		&endVerb{name: "withdraw", description: "Take an open plan back"},
	}
	parser := newParser()
	version := flaggy.NewSubcommand("version")
	version.Description = "Print the version"
	parser.AttachSubcommand(version, 1)
	subcommands := make([]*flaggy.Subcommand, len(verbs))
	for i, v := range verbs {
		subcommands[i] = v.define()
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return o.fail(exitUsage, err)
	}
	if version.Used {
		fmt.Fprintln(out, "pinerun "+buildVersion())
		return exitGood
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for i, v := range verbs {
		if subcommands[i].Used {
			return v.run(ctx, o)
		}
	}
	parser.ShowHelp()
	return exitUsage
}

// newParser returns the parser of the command line, without subcommands.
func newParser() *flaggy.Parser {
	p := flaggy.NewParser("pinerun")
	p.Description = "A router for model pipelines split over mixed accelerators."
	p.AdditionalHelpAppend = helpEnd
	p.ShowHelpOnUnexpected = true
	p.DisableShowVersionWithVersion()
	return p
}

const helpEnd = `
  Examples:
    pinerun demo                                     the whole path in one process
    pinerun demo -faults                             the same while things fail
    pinerun check -settings examples/tekweni.jsonc   every mistake in a settings file
    pinerun standin -settings examples/tekweni.jsonc platform, engines and services
    pinerun entry -settings examples/tekweni-entry-1.jsonc   one entry
    pinerun intent -do drain_vm -vm vm-fast1-1       a plan, nothing changed yet
    pinerun confirm -plan p-0a1b2c3d4e5f             accept it
  Exit codes: 0 good, 1 failed or a promise was broken, 2 wrong command line or settings.`

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
