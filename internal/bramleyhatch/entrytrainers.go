package bramleyhatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
	"github.com/bramleyhatch/bramleyhatch/internal/record"
	"github.com/bramleyhatch/bramleyhatch/internal/rollout"
	"github.com/bramleyhatch/bramleyhatch/internal/trainer"
	"github.com/bramleyhatch/bramleyhatch/internal/weight"
)

const (
	percent = 100
	// trainerPatience is how long a trainer's call waits while a duty changes hands.
	trainerPatience = 20 * time.Second
)

// trainers is what an entry does for trainers.
type trainers struct {
	entry        *Entry
	service      *rollout.Service
	peers        *rollout.Peers
	coordinators *weight.Coordinators
	sidecars     *weight.Sidecars
	metrics      *rollout.Metrics
	// draining ends when the entry is to stop: it gives its duties up while it
	// still serves, so that other entries take them before it is gone.
	draining context.Context
	drain    func(context.Context)
}

// addTrainers adds the trainers' interface, the steps that this entry holds and
// the weights of samplers.
func (e *Entry) addTrainers() {
	t := &trainers{entry: e, coordinators: &weight.Coordinators{}, metrics: rollout.NewMetrics(e.Metrics)}
	t.sidecars = &weight.Sidecars{Directory: e.members, Credentials: e.credentials()}
	draining, startDraining := context.WithCancel(context.Background())
	t.draining = draining
	t.drain = func(context.Context) { startDraining() }
	replicas := &rollout.Replicas{}
	t.peers = &rollout.Peers{Directory: e.members, Replicas: replicas, Credentials: e.credentials()}
	t.service = &rollout.Service{
		NewHolder:      t.newHolder,
		Replicas: replicas,
		Locate:   t.locate,
		Process:  e.Process.Settings.GetName(),
		Weights:  t.coordinators,
		IsListed:   t.wanted,
	}
	handler := &trainer.Handler{
		Grants:       e.view,
		Steps:        &rollout.Client{Locate: t.locate, Peers: t.peers, HolderTimeout: trainerPatience},
		MaxBodyBytes: e.Settings.GetCaller().GetMaxBodyBytes(),
		MaxPullWait:         e.Settings.GetTrainer().GetPoll().AsDuration(),
	}
	e.AddRoutes(handler.Routes()...)
	e.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterStepServer(registrar, t.service) })
	e.AddTask("step", t.service.Run)
	group := &duty.Group{Names: t.names, Run: t.run, Interval: e.Settings.GetDuty().GetInterval().AsDuration()}
	e.AddTask("trainer", func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(t.draining, cancel)()
		return group.Start(ctx)
	})
	e.AddDrain(t.drain)
}

// newHolder returns the holder of a trainer's steps.
func (t *trainers) newHolder(name string) *rollout.Holder {
	settings := t.entry.Settings.GetTrainer()
	holder := rollout.NewHolder(name, t.entry.platform)
	holder.Process = t.entry.Process.Settings.GetName()
	holder.Runner = t.entry.pool
	holder.Replicator = t.peers
	holder.Decisions = t.entry.Decisions
	holder.MaxAttempts = int(settings.GetAttempts())
	holder.Capacity = t.capacity
	holder.Timeout = settings.GetTimeout().AsDuration()
	holder.WriteInterval = settings.GetBatch().AsDuration()
	holder.MaxPullWait = settings.GetPoll().AsDuration()
	holder.Metrics = t.metrics
	if settings.GetScorer() != "" {
		holder.Scorer = rollout.NewHTTPScorer(settings.GetScorer())
	}
	return holder
}

// capacity returns how many requests the live samplers of a model run at the
// same time; samplers whose load isn't known count as the average one.
func (t *trainers) capacity(model string) int {
	live, known, slots := 0, 0, 0
	for _, process := range t.entry.members.Processes(peerpb.Role_ROLE_SIDECAR) {
		if process.GetPool() != model || process.GetState() != peerpb.State_STATE_LIVE {
			continue
		}
		live++
		if load := t.entry.members.Load(process.GetServer()); load.GetSlots() > 0 {
			known++
			slots += int(load.GetSlots())
		}
	}
	if known == 0 {
		return 0
	}
	return slots * live / known
}

// names returns the duties wanted: one for each trainer of a plan, one for each
// model of a plan with trainers.
func (t *trainers) names() []string {
	config, _ := t.entry.view.Config()
	names := map[string]bool{}
	for _, plan := range config.GetPlans() {
		for _, name := range plan.GetTrainers() {
			names[rollout.TrainerDuty(name)] = true
			for _, model := range plan.GetModels() {
				names[rollout.WeightDuty(model)] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// wanted reports whether a plan lists the trainer; all are while no lists are known.
func (t *trainers) wanted(name string) bool {
	config, _ := t.entry.view.Config()
	return config == nil || slices.Contains(t.names(), rollout.TrainerDuty(name))
}

// run takes part in one duty.
func (t *trainers) run(ctx context.Context, name string) error {
	return t.entry.keeper(name).Run(ctx, func(ctx context.Context, term *duty.Term) error {
		t.publish(name, term)
		if model, ok := strings.CutPrefix(name, rollout.WeightDuty("")); ok {
			return t.coordinate(ctx, model, term)
		}
		return t.service.Lead(ctx, strings.TrimPrefix(name, rollout.TrainerDuty("")), term.Fence())
	})
}

// publish tells the other entries who holds a duty. The fencing number is a
// revision of the store and grows with each holder, so the newest one wins.
func (t *trainers) publish(name string, term *duty.Term) {
	holder := statepb.Holder_builder{
		Process: t.entry.Process.Settings.GetName(),
		Address: t.entry.Addresses().Peer,
		Fence:   term.Fence(),
	}.Build()
	value, err := proto.Marshal(holder)
	if err != nil {
		klog.Errorf("duty: %s can't be published: %v", name, err)
		return
	}
	t.entry.members.Offer(peerpb.Fact_builder{Name: duty.Key(name), Revision: term.Fence(), Value: value}.Build())
}

// locate returns who is known to hold a duty.
func (t *trainers) locate(name string) (*rollout.Location, bool) {
	fact := t.entry.members.Fact(duty.Key(name))
	holder := &statepb.Holder{}
	if fact == nil || proto.Unmarshal(fact.GetValue(), holder) != nil {
		return nil, false
	}
	return rollout.NewLocation(holder.GetProcess(), holder.GetAddress()), true
}

// coordinate orders the samplers of a model for one term.
func (t *trainers) coordinate(ctx context.Context, model string, term *duty.Term) error {
	settings := t.entry.Settings.GetTrainer()
	coordinator := weight.NewCoordinator(model)
	coordinator.Record = &record.Record{Store: t.entry.platform, Key: weight.Key(model)}
	coordinator.Directory = t.entry.members
	coordinator.Orderer = t.sidecars
	coordinator.Decisions = t.entry.Decisions
	coordinator.Share = float64(settings.GetSwapsPercent()) / percent
	coordinator.Timeout = settings.GetSwap().AsDuration()
	defer t.coordinators.Add(coordinator)()
	return coordinator.Run(ctx, term)
}
