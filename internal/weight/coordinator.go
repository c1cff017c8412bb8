package weight

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// roundInterval is the time between two rounds while samplers are behind.
	roundInterval = 100 * time.Millisecond
	// idleInterval is the time between two rounds while no sampler is behind.
	idleInterval = time.Second
)

// Orderer passes an order to a sampler through its sidecar and returns the version that the
// engine shows afterwards.
type Orderer interface {
	Order(ctx context.Context, server string, order *peerpb.OrderRequest) (uint64, error)
}

// Directory lists processes and returns the load reports of servers.
type Directory interface {
	Processes(role peerpb.Role) []*peerpb.Process
	Load(server string) *peerpb.Load
}

// Record stores the target version in the platform's store.
type Record interface {
	// Read returns the stored value, nil if there is none.
	Read(ctx context.Context) ([]byte, error)
	// Write replaces the value unless another process has changed it.
	Write(ctx context.Context, data []byte) error
}

// Term is the time for which this process holds the duty.
type Term interface {
	Fence() uint64
	Valid(now time.Time) bool
}

// TargetUnknownError reports that a model's target version has not been read from the store yet.
type TargetUnknownError struct {
	Model string
}

// Error returns a message that names the model.
func (e *TargetUnknownError) Error() string {
	return "weight: the version kept for " + e.Model + " isn't known yet"
}

// Key returns the store key of a model's target version.
func Key(model string) string { return "weight/" + model }

// Coordinator orders a model's samplers to load new weights while this process holds the duty.
// Exported fields are set before Run.
type Coordinator struct {
	Model     string
	Record    Record
	Directory Directory
	Orderer   Orderer
	Decisions *decision.Log
	// Share is the maximum share of the samplers that load at the same time.
	Share float64
	// Timeout bounds one load.
	Timeout time.Duration

	storeMutex    sync.Mutex
	mutex         sync.Mutex
	wave          Wave
	fence         uint64
	hasReadTarget bool
	completed     uint64
	announcedAt   time.Time
	// wake makes Run start a round at once.
	wake chan struct{}
}

// NewCoordinator returns a coordinator of a model's samplers.
func NewCoordinator(model string) *Coordinator {
	return &Coordinator{Model: model, wake: make(chan struct{}, 1)}
}

// Announce sets the target version and orders samplers to load it at once. An error means that the
// version isn't stored yet and must be announced again.
func (c *Coordinator) Announce(ctx context.Context, version uint64) error {
	if c.announce(version) {
		c.Decisions.Record(Key(c.Model), "weight", "version %d is wanted on all samplers", version)
	}
	c.storeMutex.Lock()
	defer c.storeMutex.Unlock()
	if !c.hasReadTarget {
		return &TargetUnknownError{Model: c.Model}
	}
	return c.writeTarget(ctx)
}

func (c *Coordinator) announce(version uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newer := c.wave.Announce(version)
	if !newer {
		return false
	}
	c.announcedAt = time.Now()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

func (c *Coordinator) writeTarget(ctx context.Context) error {
	c.mutex.Lock()
	target, fence := c.wave.Target(), c.fence
	c.mutex.Unlock()
	value := statepb.Weight_builder{Model: c.Model, Version: target, Fence: fence}.Build()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(value)
	if err != nil {
		return err
	}
	return c.Record.Write(ctx, data)
}

// Run orders samplers until the context ends, which is no later than the end of the term.
func (c *Coordinator) Run(ctx context.Context, term Term) error {
	c.mutex.Lock()
	c.wave.Share = c.Share
	c.wave.Lag = DefaultLag
	c.fence = term.Fence()
	c.mutex.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-c.wake:
		}
		c.readTarget(ctx)
		for _, server := range c.nextServers() {
			group.Go(func() { c.order(ctx, term, server) })
		}
		timer.Reset(c.interval())
	}
}

// interval returns the time until the next round.
func (c *Coordinator) interval() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.wave.Behind() > 0 {
		return roundInterval
	}
	return idleInterval
}

// readTarget reads the target version from the store unless an earlier read has succeeded.
func (c *Coordinator) readTarget(ctx context.Context) {
	c.storeMutex.Lock()
	defer c.storeMutex.Unlock()
	if c.hasReadTarget {
		return
	}
	data, err := c.Record.Read(ctx)
	if err != nil {
		return
	}
	value := &statepb.Weight{}
	if err := proto.Unmarshal(data, value); err != nil {
		c.Decisions.Record(Key(c.Model), "weight", "what the store holds can't be read: %v", err)
		return
	}
	c.hasReadTarget = true
	c.announce(value.GetVersion())
}

func (c *Coordinator) nextServers() []string {
	now := time.Now()
	live := c.liveSamplers()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.wave.Observe(live, now)
	if c.wave.Target() > c.completed && len(live) > 0 && c.wave.Behind() == 0 {
		c.completed = c.wave.Target()
		c.Decisions.Record(Key(c.Model), "weight", "all %d samplers show version %d after %s", len(live), c.completed, now.Sub(c.announcedAt))
	}
	return c.wave.Next(now)
}

func (c *Coordinator) liveSamplers() []Sampler {
	var live []Sampler
	for _, process := range c.Directory.Processes(peerpb.Role_ROLE_SIDECAR) {
		if process.GetPool() != c.Model || process.GetState() != peerpb.State_STATE_LIVE {
			continue
		}
		load := c.Directory.Load(process.GetServer())
		live = append(live, Sampler{
			Server:  process.GetServer(),
			Zone:    process.GetZone(),
			Version: load.GetVersion(),
			Running: load.GetRunning(),
		})
	}
	return live
}

// order orders one sampler to load the target version.
func (c *Coordinator) order(ctx context.Context, term Term, server string) {
	c.mutex.Lock()
	version := c.wave.Target()
	c.mutex.Unlock()
	if !term.Valid(time.Now()) {
		return
	}
	c.Decisions.Record(Key(c.Model), "weight", "%s is ordered to load version %d", server, version)
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	shown, err := c.Orderer.Order(ctx, server, c.request(version, term))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.Decisions.Record(Key(c.Model), "weight", "%s failed to load version %d: %v", server, version, err)
		c.wave.RecordFailed(server, time.Now())
		return
	}
	c.Decisions.Record(Key(c.Model), "weight", "%s shows version %d", server, shown)
	c.wave.RecordLoaded(server, shown, time.Now())
}

func (c *Coordinator) request(version uint64, term Term) *peerpb.OrderRequest {
	return peerpb.OrderRequest_builder{
		Action:  peerpb.Action_ACTION_VERSION,
		Model:   c.Model,
		Version: version,
		Fence:   term.Fence(),
		Duty:    Key(c.Model),
		Timeout: durationpb.New(c.Timeout),
	}.Build()
}
