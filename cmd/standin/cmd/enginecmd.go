package cmd

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/engine"
)

// engineCmd runs a model engine.
type engineCmd struct {
	serverFlags
	Model       string        `required:"" help:"Model to serve."`
	Slots       int           `default:"16" help:"Maximum number of running requests."`
	Queue       int           `default:"64" help:"Maximum number of queued requests."`
	TokenTime   time.Duration `default:"5ms" help:"Time to generate one token."`
	PrefillTime time.Duration `default:"100us" help:"Time to process one prompt token that is not cached."`
	SwapTime    time.Duration `default:"200ms" help:"Time to load a weight version, after its download."`
	LoadLag     time.Duration `default:"500ms" help:"Maximum age of the reported load."`
	CacheBlocks int           `default:"4096" help:"Capacity of the prefix cache, blocks."`
	Weights     string        `help:"Base URL of the weight store; empty skips the download."`
}

func (e *engineCmd) Run() error {
	standIn := &engine.Engine{
		Model:       e.Model,
		Slots:       e.Slots,
		Queue:       e.Queue,
		TokenTime:   e.TokenTime,
		PrefillTime: e.PrefillTime,
		SwapTime:    e.SwapTime,
		LoadLag:     e.LoadLag,
		CacheBlocks: e.CacheBlocks,
		Weights:     e.Weights,
	}
	return e.serve(standIn.Routes())
}
