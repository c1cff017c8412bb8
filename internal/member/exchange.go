package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/decision"
	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	exchangeTimeout = time.Second
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 4
	// pushDelay is the delay of a push, which batches simultaneous changes into one
	// message.
	pushDelay = 20 * time.Millisecond
	// minPushInterval is the minimum time between two rounds of push messages.
	minPushInterval = 200 * time.Millisecond
	// leaveTimeout bounds the final messages of a process that stops.
	leaveTimeout = time.Second
)

// Exchanger exchanges membership and facts with other processes. Exported fields
// are set before Run.
type Exchanger struct {
	peerpb.UnimplementedMemberServer

	Members        *Members
	Seeds          []string
	Interval       time.Duration
	SuspectTimeout time.Duration
	Credentials    credentials.TransportCredentials
	// Hosts returns the platform's host list, which may be outdated; nil uses the seeds alone.
	Hosts func(ctx context.Context) ([]platform.Host, error)
	// Decisions are returned by Explain; nil returns none.
	Decisions *decision.Log

	poolOnce    sync.Once
	mutex       sync.Mutex
	prober      *Prober
	connections connectionPool
	targets     chan *peerpb.Process
}

var _ peerpb.MemberServer = &Exchanger{}

// Exchange merges another process's message and returns the answer.
func (e *Exchanger) Exchange(_ context.Context, gossip *peerpb.Gossip) (*peerpb.Gossip, error) {
	return e.Members.Answer(time.Now(), gossip), nil
}

// Probe contacts the target on behalf of a process that got no answer from it.
func (e *Exchanger) Probe(ctx context.Context, request *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	err := e.exchange(ctx, request.GetTarget().GetAddress())
	return peerpb.ProbeReply_builder{Reached: err == nil}.Build(), nil
}

// Run probes one process each interval and pushes changes at once until the context
// ends. Then it notifies the neighbours that this process has left.
func (e *Exchanger) Run(ctx context.Context) error {
	e.prober = &Prober{
		Members:        e.Members,
		Interval:       e.Interval,
		SuspectTimeout: e.SuspectTimeout,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	e.targets = make(chan *peerpb.Process, maxConcurrentProbes)
	var group sync.WaitGroup
	for range maxConcurrentProbes {
		group.Go(func() { e.probeTargets(ctx) })
	}
	group.Go(func() { e.push(ctx) })
	group.Go(func() { e.join(ctx) })
	e.scheduleProbes(ctx)
	group.Wait()
	e.leave()
	e.pool().close()
	return nil
}

func (e *Exchanger) scheduleProbes(ctx context.Context) {
	ticker := time.NewTicker(e.Interval)
	defer ticker.Stop()
	for {
		e.mutex.Lock()
		target := e.prober.NextTarget(time.Now())
		e.mutex.Unlock()
		if target != nil {
			select {
			case e.targets <- target:
			default:
				klog.V(1).Info("member: skipping a probe: too many probes in flight")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (e *Exchanger) probeTargets(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case target := <-e.targets:
			e.probe(ctx, target)
		}
	}
}

func (e *Exchanger) probe(ctx context.Context, target *peerpb.Process) {
	err := e.exchange(ctx, target.GetAddress())
	if err == nil || ctx.Err() != nil {
		return
	}
	klog.V(1).Infof("member: probing %s failed: %v", target.GetName(), err)
	e.mutex.Lock()
	helpers := e.prober.Helpers(target)
	e.mutex.Unlock()
	if target.GetState() != peerpb.State_STATE_FAILED && e.probeIndirectly(ctx, helpers, target) {
		klog.V(1).Infof("member: indirect probe reached %s", target.GetName())
		return
	}
	if ctx.Err() == nil {
		e.mutex.Lock()
		e.prober.ProbeFailed(time.Now(), target)
		e.mutex.Unlock()
	}
}

func (e *Exchanger) probeIndirectly(ctx context.Context, helpers []*peerpb.Process, target *peerpb.Process) bool {
	reached := make(chan bool, len(helpers))
	request := peerpb.ProbeRequest_builder{Target: target}.Build()
	for _, helper := range helpers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 2*exchangeTimeout)
			defer cancel()
			var reply *peerpb.ProbeReply
			err := e.pool().call(ctx, helper.GetAddress(), func(ctx context.Context, connection *grpc.ClientConn) (err error) {
				reply, err = peerpb.NewMemberClient(connection).Probe(ctx, request)
				return err
			})
			reached <- err == nil && reply.GetReached()
		}()
	}
	for range helpers {
		if <-reached {
			return true
		}
	}
	return false
}

// exchange sends a request, and a second message if the answer shows that either
// side lacks data.
func (e *Exchanger) exchange(ctx context.Context, address string) error {
	answer, err := e.send(ctx, address, e.Members.Request(time.Now()))
	if err != nil {
		return err
	}
	next := e.Members.FollowUp(time.Now(), answer)
	if next == nil {
		return nil
	}
	answer, err = e.send(ctx, address, next)
	if err != nil {
		return err
	}
	e.Members.MergeAnswer(time.Now(), answer)
	return nil
}

func (e *Exchanger) send(ctx context.Context, address string, gossip *peerpb.Gossip) (*peerpb.Gossip, error) {
	var answer *peerpb.Gossip
	err := e.pool().call(ctx, address, func(ctx context.Context, connection *grpc.ClientConn) (err error) {
		answer, err = peerpb.NewMemberClient(connection).Exchange(ctx, gossip)
		return err
	})
	return answer, err
}

// push sends changes to the neighbours at once, and the neighbours forward them in the
// same way.
func (e *Exchanger) push(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.Members.Urgent():
		}
		if !pause.For(ctx, pushDelay) {
			return
		}
		e.exchangeAll(ctx, e.pushTargets())
		if !pause.For(ctx, minPushInterval) {
			return
		}
	}
}

func (e *Exchanger) exchangeAll(ctx context.Context, targets []*peerpb.Process) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, target := range targets {
		group.Go(func() { _ = e.exchange(ctx, target.GetAddress()) })
	}
	group.Wait()
}

func (e *Exchanger) neighbours() []*peerpb.Process {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.prober.Neighbours()
}

func (e *Exchanger) pushTargets() []*peerpb.Process {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.prober.PushTargets(time.Now())
}

func (e *Exchanger) leave() {
	e.Members.SetState(peerpb.State_STATE_LEFT)
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	e.exchangeAll(ctx, e.neighbours())
}

// pool returns the connection pool. It initializes the pool on first use, because Probe
// may be called before Run.
func (e *Exchanger) pool() *connectionPool {
	e.poolOnce.Do(func() { e.connections.credentials = e.Credentials })
	return &e.connections
}
