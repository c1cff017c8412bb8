// Package cmd holds the command line of the stand-ins; one file a command.
package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

const stopGrace = time.Second

// config carries what commands need.
type config struct {
	stdout io.Writer
}

type commands struct {
	Platform     platformCmd     `cmd:"" help:"Run the platform: key-value service, orders, usage reports, host list."`
	Engine       engineCmd       `cmd:"" help:"Run a model engine."`
	Ledger       ledgerCmd       `cmd:"" help:"Run a plain service with records and hour postings."`
	Weights      weightsCmd      `cmd:"" help:"Run a weight store."`
	Scorer       scorerCmd       `cmd:"" help:"Run a service that scores samples."`
	Trainer      trainerCmd      `cmd:"" help:"Run a trainer through steps."`
	Orders       ordersCmd       `cmd:"" help:"Check the orders that a platform got."`
	Windows      windowsCmd      `cmd:"" help:"Check the usage reports that a platform got."`
	Certificates certificatesCmd `cmd:"" help:"Write an authority and certificates for trials."`
	Call         callCmd         `cmd:"" help:"Send one HTTP request and print the answer."`
	Relay        relayCmd        `cmd:"" help:"Run a relay of TCP connections that can be cut or silenced."`
	Demo         demoCmd         `cmd:"" help:"Run the whole path on loopback and print what happened."`
}

// exited carries the exit code that kong asks for.
type exited int

// Main runs the program with its arguments and returns the exit code.
func Main(arguments []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if fault := recover(); fault != nil {
			status, ok := fault.(exited)
			if !ok {
				panic(fault)
			}
			code = int(status)
		}
	}()
	parser, err := kong.New(&commands{}, kong.Name("standin"), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exited(code)) }))
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

// server are the flags of each stand-in that listens.
type server struct {
	Listen string `default:"127.0.0.1:0" help:"IP address and port; port 0 lets the system choose."`
	Ready  string `help:"File to which the chosen address is written."`
}

// Help gives an example.
func (server) Help() string {
	return "Example:\n  standin platform --listen 127.0.0.1:7000"
}

// run serves routes until SIGTERM.
func (s *server) run(routes []rest.Route) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	http := &listen.HTTP{Address: s.Listen, Routes: routes, Listening: s.writeReady}
	return http.Run(ctx, stopGrace)
}

func (s *server) writeReady(address string) {
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
