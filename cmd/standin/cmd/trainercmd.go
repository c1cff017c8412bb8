package cmd

import (
	"context"
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/trainer"
)

// trainerCmd runs a trainer.
type trainerCmd struct {
	Entry     []string      `required:"" help:"Base URLs of the entries, called in rotation."`
	Key       string        `required:"" help:"Key of the trainer's client account."`
	Trainer   string        `required:"" help:"Name of the trainer."`
	Model     string        `required:"" help:"Model to train."`
	Steps     int           `default:"1" help:"Number of steps."`
	First     uint64        `default:"1" help:"Number of the first step."`
	Groups    int           `default:"8" help:"Groups of samples per step."`
	Samples   int           `default:"8" help:"Samples per group."`
	MaxTokens int           `default:"32" help:"Tokens per sample."`
	Staleness uint64        `default:"1" help:"Maximum number of weight versions that a sample may lag behind."`
	Announce  int           `default:"0" help:"Announce new weights once, after this many samples of a step; 0 disables this."`
	Version   uint64        `default:"1" help:"Initial weight version."`
	Timeout   time.Duration `default:"2m" help:"Timeout of all steps together."`
}

// Run runs the steps and prints a summary of the samples; it fails if a sample is
// missing, repeated, stale or without weight versions.
func (t *trainerCmd) Run(c *config) error {
	ctx, cancel := context.WithTimeout(context.Background(), t.Timeout)
	defer cancel()
	standIn := &trainer.Trainer{
		Entries:       t.Entry,
		Key:           t.Key,
		Name:          t.Trainer,
		Model:         t.Model,
		Groups:        t.Groups,
		Samples:       t.Samples,
		MaxTokens:     t.MaxTokens,
		Staleness:     t.Staleness,
		AnnounceAfter: t.Announce,
		Version:       t.Version,
	}
	for step := range t.Steps {
		if err := standIn.Step(ctx, t.First+uint64(step)); err != nil {
			return err
		}
	}
	standIn.Print(c.stdout)
	return standIn.Check(t.Steps * t.Groups * t.Samples)
}
