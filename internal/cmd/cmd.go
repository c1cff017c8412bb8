// Package cmd implements the command line, one file per command.
package cmd

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// streams carries the output streams of commands.
type streams struct {
	stdout io.Writer
	stderr io.Writer
}

// commands are the commands of the program; each type is in its own file.
type commands struct {
	Version  kong.VersionFlag `help:"Print the version and exit."`
	Entry    entryCmd         `cmd:"" help:"Run the process of an entry host."`
	Gateway  gatewayCmd       `cmd:"" help:"Run the process of an entry host that reaches backend servers without sidecars."`
	Keeper   keeperCmd        `cmd:"" help:"Run the process of a host with a disk."`
	Sidecar  sidecarCmd       `cmd:"" help:"Run the process beside a backend server."`
	Settings settingsCmd      `cmd:"" help:"Check settings files."`
	Config   configCmd        `cmd:"" help:"Check, compare, apply and show the two lists."`
	Key      keyCmd           `cmd:"" help:"Grant, withdraw and list keys."`
	Status   statusCmd        `cmd:"" help:"Show processes, revisions in force and holders of duties."`
	Explain  explainCmd       `cmd:"" help:"Show the decisions taken for a request, sample, order or usage window."`
	Drain    drainCmd         `cmd:"" help:"Drain a backend server or an entry."`
	Usage    usageCmd         `cmd:"" help:"Show the figures of closed usage windows."`
}

// UsageError reports that a command was called with wrong arguments.
type UsageError struct {
	Problem string
}

// Error describes the wrong argument.
func (e *UsageError) Error() string { return e.Problem }

// exitRequest is the panic value with the exit code that kong requested.
type exitRequest int

// Main runs the program with its arguments and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if value := recover(); value != nil {
			status, ok := value.(exitRequest)
			if !ok {
				panic(value)
			}
			code = int(status)
		}
	}()
	parser, err := newParser(stdout, stderr)
	if err != nil {
		return fail(stderr, err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		fail(stderr, err)
		return exitUsage
	}
	if err := parsed.Run(&streams{stdout: stdout, stderr: stderr}); err != nil {
		return fail(stderr, err)
	}
	return exitOK
}

func newParser(stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(&commands{},
		kong.Name("bramleyhatch"),
		kong.Description("Serves reinforcement learning rollouts and live model requests."),
		kong.UsageOnError(),
		kong.Writers(stdout, stderr),
		kong.Vars{"version": version()},
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
	)
}

func fail(stderr io.Writer, err error) int {
	fmt.Fprintln(stderr, "bramleyhatch:", err)
	var usage *UsageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// release is the version of the project; it is raised with each release.
const release = "0.1.0"

// version returns the release and, if the build information has it, the commit.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return release
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return release + " " + setting.Value
		}
	}
	return release
}
