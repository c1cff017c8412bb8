package cmd

import "github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/weights"

// weightsCmd runs a weight store.
type weightsCmd struct {
	serverFlags
	Size int `default:"1048576" help:"Size of one version, bytes."`
	Rate int `default:"16777216" help:"Rate limit of all downloads together, bytes per second."`
}

func (s *weightsCmd) Run() error {
	return s.serve((&weights.Weights{Size: s.Size, Rate: s.Rate}).Routes())
}
