// Package cmd implements the command line of the stand-ins.
package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/stop"
)

const stopGrace = time.Second

// config is passed to the Run method of each command.
type config struct {
	stdout io.Writer
}

type commands struct {
	Platform     platformCmd     `cmd:"" help:"Run the platform: key-value service, server orders, usage reports, host list."`
	Engine       engineCmd       `cmd:"" help:"Run a model engine."`
	Ledger       ledgerCmd       `cmd:"" help:"Run a plain HTTP service with records and hour postings."`
	Weights      weightsCmd      `cmd:"" help:"Run a weight store."`
	Scorer       scorerCmd       `cmd:"" help:"Run a service that scores samples."`
	Trainer      trainerCmd      `cmd:"" help:"Run a trainer for a number of steps."`
	Orders       ordersCmd       `cmd:"" help:"Check the server orders that a platform received."`
	Windows      windowsCmd      `cmd:"" help:"Check the usage reports that a platform received."`
	Certificates certificatesCmd `cmd:"" help:"Write a certificate authority and certificates for tests and trials."`
	Call         callCmd         `cmd:"" help:"Send HTTP requests and print the responses."`
	Relay        relayCmd        `cmd:"" help:"Run a TCP relay that can cut connections or silently drop their data."`
	Demo         demoCmd         `cmd:"" help:"Run an end-to-end demo on loopback and print the results."`
}

// exitCode is the panic value that carries kong's exit code to Main.
type exitCode int

// Main parses the arguments, runs the command and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if recovered := recover(); recovered != nil {
			exit, ok := recovered.(exitCode)
			if !ok {
				panic(recovered)
			}
			code = int(exit)
		}
	}()
	parser, err := kong.New(&commands{}, kong.Name("standin"), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitCode(code)) }))
	if err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return 2
	}
	if err := parsed.Run(&config{stdout: stdout}); err != nil {
		fmt.Fprintln(stderr, "standin:", err)
		return 1
	}
	return 0
}

// serverFlags are the flags shared by all stand-ins that serve HTTP.
type serverFlags struct {
	Listen string `default:"127.0.0.1:0" help:"IP address and port; port 0 picks a free port."`
	Ready  string `help:"File to write the listening address to."`
}

func (serverFlags) Help() string {
	return "Example:\n  standin platform --listen 127.0.0.1:7000"
}

// serve serves the routes until SIGTERM or SIGINT.
func (s *serverFlags) serve(routes []rest.Route) error {
	ctx, end := stop.Context()
	defer end()
	server := &listen.HTTP{Address: s.Listen, Routes: routes, OnListening: s.writeReady}
	return server.Run(ctx, stopGrace)
}

func (s *serverFlags) writeReady(address string) {
	if s.Ready == "" {
		fmt.Println("listening on", address)
		return
	}
	text, err := json.Marshal(map[string]string{"address": address})
	if err == nil {
		err = os.WriteFile(s.Ready+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(s.Ready+".new", s.Ready)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
}
