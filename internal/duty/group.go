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

// Group takes part in duties whose names change over time, such as one for each zone. Exported
// fields are set before Start.
type Group struct {
	// Names returns the names of the duties to take part in now.
	Names func() []string
	// Run takes part in one duty until its context ends.
	Run func(ctx context.Context, name string) error
	// Interval is the time between two calls of Names.
	Interval time.Duration

	cancels map[string]context.CancelFunc
	running sync.WaitGroup
}

// Start takes part in all duties until the context ends.
func (g *Group) Start(ctx context.Context) error {
	g.cancels = map[string]context.CancelFunc{}
	for {
		names := g.Names()
		g.stopRemoved(names)
		g.startNew(ctx, names)
		if !pause.For(ctx, g.Interval) {
			break
		}
	}
	g.stopRemoved(nil)
	g.running.Wait()
	return nil
}

func (g *Group) startNew(ctx context.Context, names []string) {
	for _, name := range names {
		if g.cancels[name] != nil {
			continue
		}
		runCtx, cancel := context.WithCancel(ctx)
		g.cancels[name] = cancel
		g.running.Go(func() { g.run(runCtx, name) })
	}
}

func (g *Group) stopRemoved(names []string) {
	for name, cancel := range g.cancels {
		if !slices.Contains(names, name) {
			cancel()
			delete(g.cancels, name)
		}
	}
}

func (g *Group) run(ctx context.Context, name string) {
	err := g.Run(ctx, name)
	if err != nil && !errors.Is(err, context.Canceled) {
		klog.Errorf("duty: running %s failed: %v", name, err)
	}
}
