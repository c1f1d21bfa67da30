// SPDX-License-Identifier: Apache-2.0

// Package command implements the command line of pinerun and its subcommands.
//
// Every subcommand returns one of three exit codes: 0 for success, 1 if the work
// failed or the run violated a guarantee, 2 if the command line or the settings
// are invalid and nothing was run.
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

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// subcommand is a subcommand of pinerun. Its fields hold the values of its flags.
type subcommand interface {
	// define sets the defaults of the flags and returns the parser's subcommand.
	define() *flaggy.Subcommand
	// run executes the subcommand and returns the exit code.
	run(ctx context.Context, out *output) int
}

// output holds the streams of a subcommand: results go to out, everything else to err.
type output struct{ out, err io.Writer }

// fail prints the error and returns the given exit code.
func (o *output) fail(code int, err error) int {
	fmt.Fprintln(o.err, "pinerun: "+err.Error())
	return code
}

// logger returns a logger that writes JSON lines to the error stream. An unknown level
// means info.
func (o *output) logger(level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(o.err, &slog.HandlerOptions{Level: l}))
}

// Main parses the arguments, runs the subcommand and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	o := &output{out: out, err: errs}
	commands := []subcommand{
		&demoCommand{}, &entryCommand{}, &frontCommand{}, &standinCommand{}, &loadCommand{}, &checkCommand{}, &statusCommand{}, &fleetCommand{},
		&intentCommand{}, &plansCommand{}, &capacityCommand{}, &boundCommand{}, &explainCommand{},
		&planActionCommand{action: "confirm", description: "Accept a plan; it may be repeated"},
		&planActionCommand{action: "withdraw", description: "Take an open plan back"},
	}
	parser := newParser()
	version := flaggy.NewSubcommand("version")
	version.Description = "Print the version"
	parser.AttachSubcommand(version, 1)
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, v := range commands {
		subcommands[i] = v.define()
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return o.fail(exitUsage, err)
	}
	if version.Used {
		fmt.Fprintln(out, "pinerun "+buildVersion())
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for i, v := range commands {
		if subcommands[i].Used {
			return v.run(ctx, o)
		}
	}
	parser.ShowHelp()
	return exitUsage
}

// newParser returns the command-line parser without subcommands.
func newParser() *flaggy.Parser {
	p := flaggy.NewParser("pinerun")
	p.Description = "A router for model pipelines split over mixed accelerators."
	p.AdditionalHelpAppend = helpFooter
	p.ShowHelpOnUnexpected = true
	p.DisableShowVersionWithVersion()
	return p
}

const helpFooter = `
  Examples:
    pinerun demo                                     the whole path in one process
    pinerun demo -faults                             the same while things fail
    pinerun check -settings examples/tekweni.jsonc   every mistake in a settings file
    pinerun standin -settings examples/tekweni.jsonc platform, engines and services
    pinerun entry -settings examples/tekweni-entry-1.jsonc   one entry
    pinerun intent -do drain_vm -vm vm-fast1-1       a plan, nothing changed yet
    pinerun confirm -plan p-0a1b2c3d4e5f             accept it
  Exit codes: 0 good, 1 failed or a promise was broken, 2 wrong command line or settings.`

// buildVersion returns the version of the main module, or "(devel)" if the build
// information holds none.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
