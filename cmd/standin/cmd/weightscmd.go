package cmd

import "github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/weights"

// weightsCmd runs a weight store.
type weightsCmd struct {
	serverFlags
	Size int `default:"1048576" help:"Size of one version, bytes."`
	Rate int `default:"16777216" help:"Rate limit of all downloads together, bytes per second."`
}

func (w *weightsCmd) Run() error {
	return w.serve((&weights.Weights{Size: w.Size, Rate: w.Rate}).Routes())
}
