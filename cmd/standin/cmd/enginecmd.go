package cmd

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/engine"
)

// engineCmd runs a model engine.
type engineCmd struct {
	server
	Model       string        `required:"" help:"Model that it serves."`
	Slots       int           `default:"16" help:"Requests that run at the same time."`
	Queue       int           `default:"64" help:"Requests that wait."`
	TokenTime   time.Duration `default:"5ms" help:"Time of one token."`
	PrefillTime time.Duration `default:"100us" help:"Time of one prompt token that is not cached."`
	SwapTime    time.Duration `default:"200ms" help:"Time to load a weight version."`
	LoadLag     time.Duration `default:"500ms" help:"Age that a reported load may have."`
	CacheBlocks int           `default:"4096" help:"Blocks of prompt prefixes that are cached."`
	Weights     string        `help:"Base URL of the weight store; empty fetches nothing."`
}

// Run serves until SIGTERM.
func (e *engineCmd) Run() error {
	stand := &engine.Engine{
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
	return e.run(stand.Routes())
}
