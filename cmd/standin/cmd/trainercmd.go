package cmd

import (
	"context"
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/trainer"
)

// trainerCmd runs a trainer.
type trainerCmd struct {
	Entry     []string      `required:"" help:"Base URLs of entries, tried in turn."`
	Key       string        `required:"" help:"Key of the trainer's client account."`
	Trainer   string        `required:"" help:"Name of the trainer."`
	Model     string        `required:"" help:"Model that it trains."`
	Steps     int           `default:"1" help:"Steps to run."`
	First     uint64        `default:"1" help:"Number of the first step."`
	Groups    int           `default:"8" help:"Groups of samples in a step."`
	Samples   int           `default:"8" help:"Samples in a group."`
	MaxTokens int           `default:"32" help:"Tokens of a sample."`
	Staleness uint64        `default:"1" help:"Versions that a sample may lag behind."`
	Announce  int           `default:"0" help:"Announce new weights after this many samples of each step; 0 never does."`
	Version   uint64        `default:"1" help:"Version of the weights at the start."`
	Timeout   time.Duration `default:"2m" help:"Longest time for all steps."`
}

// Run runs the steps and prints what was delivered; it fails if a sample is
// missing, repeated, stale or without versions.
func (t *trainerCmd) Run(c *config) error {
	ctx, cancel := context.WithTimeout(context.Background(), t.Timeout)
	defer cancel()
	stand := &trainer.Trainer{
		Entries:   t.Entry,
		Key:       t.Key,
		Name:      t.Trainer,
		Model:     t.Model,
		Groups:    t.Groups,
		Samples:   t.Samples,
		MaxTokens: t.MaxTokens,
		Staleness: t.Staleness,
		AnnounceAfter:  t.Announce,
		Version:   t.Version,
	}
	for step := range t.Steps {
		if err := stand.Step(ctx, t.First+uint64(step)); err != nil {
			return err
		}
	}
	stand.Print(c.stdout)
	return stand.Check(t.Steps * t.Groups * t.Samples)
}
