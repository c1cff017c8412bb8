package main

import (
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bramleyhatch/bramleyhatch/internal/steplog"
)

// stepsCmd breaks down the time of trainers' steps.
type stepsCmd struct {
	Logs []string      `arg:"" optional:"" type:"existingfile" help:"Logs of all gateways that may have owned a step; standard input by default."`
	Due  time.Duration `default:"0s" help:"Print only steps that took at least this long."`
	Plot string        `help:"File to draw the steps to; its extension selects svg, png or pdf."`
}

// Help returns an example.
func (stepsCmd) Help() string {
	return "Example:\n  go run ./cmd/measure steps gateway-*.log --due 7.5s --plot steps.svg"
}

// Run prints the table and draws the plot, if any.
func (s *stepsCmd) Run() error {
	var logs []io.Reader
	if len(s.Logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	for _, name := range s.Logs {
		file, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	steps, err := steplog.Read(io.MultiReader(logs...))
	if err != nil {
		return err
	}
	if err := steplog.Print(os.Stdout, steps, s.Due); err != nil {
		return err
	}
	if s.Plot == "" {
		return nil
	}
	return steplog.Plot(s.Plot, steplog.Late(steps, s.Due))
}
