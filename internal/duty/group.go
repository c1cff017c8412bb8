package duty

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
)

// Group takes part in duties whose names come and go, such as one for each zone.
// Exported fields are set before Run.
type Group struct {
	// Names returns the duties wanted now.
	Names func() []string
	// Run takes part in one duty until its context ends.
	Run func(ctx context.Context, name string) error
	// Interval is the time between two looks at the names.
	Interval time.Duration

	running map[string]context.CancelFunc
	joined  sync.WaitGroup
}

// Start takes part in all duties until the context ends.
func (g *Group) Start(ctx context.Context) error {
	g.running = map[string]context.CancelFunc{}
	for {
		names := g.Names()
		g.end(names)
		g.begin(ctx, names)
		if !pause.For(ctx, g.Interval) {
			break
		}
	}
	g.end(nil)
	g.joined.Wait()
	return nil
}

func (g *Group) begin(ctx context.Context, names []string) {
	for _, name := range names {
		if g.running[name] != nil {
			continue
		}
		running, cancel := context.WithCancel(ctx)
		g.running[name] = cancel
		g.joined.Go(func() { g.run(running, name) })
	}
}

func (g *Group) end(names []string) {
	for name, cancel := range g.running {
		if !slices.Contains(names, name) {
			cancel()
			delete(g.running, name)
		}
	}
}

func (g *Group) run(ctx context.Context, name string) {
	err := g.Run(ctx, name)
	if err != nil && !errors.Is(err, context.Canceled) {
		klog.Errorf("duty: %s failed: %v", name, err)
	}
}
