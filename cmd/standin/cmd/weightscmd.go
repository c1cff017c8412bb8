package cmd

import "github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/weights"

// weightsCmd runs a weight store.
type weightsCmd struct {
	server
	Size int `default:"1048576" help:"Size of one version, bytes."`
	Rate int `default:"16777216" help:"Rate of all downloads together, bytes a second."`
}

// Run serves until SIGTERM.
func (s *weightsCmd) Run() error {
	return s.run((&weights.Weights{Size: s.Size, Rate: s.Rate}).Routes())
}
