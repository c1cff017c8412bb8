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
	// maxHandoverWait is how long a trainer's call waits while a duty moves to another holder.
	maxHandoverWait = 20 * time.Second
)

// trainerService serves the trainers of an entry: it holds their steps and coordinates weights.
type trainerService struct {
	entry        *Entry
	service      *rollout.Service
	peers        *rollout.Peers
	coordinators *weight.Coordinators
	sidecars     *weight.Sidecars
	metrics      *rollout.Metrics
	// draining is cancelled when the entry is asked to stop: the entry then
	// releases its duties while it still serves, so that other entries take them
	// over before it exits.
	draining context.Context
	drain    func(context.Context)
}

// addTrainers adds the API for trainers, the steps that this entry holds and the
// coordination of the samplers' weights.
func (e *Entry) addTrainers() {
	t := &trainerService{entry: e, coordinators: &weight.Coordinators{}, metrics: rollout.NewMetrics(e.Metrics)}
	t.sidecars = &weight.Sidecars{Directory: e.members, Credentials: e.credentials()}
	draining, startDraining := context.WithCancel(context.Background())
	t.draining = draining
	t.drain = func(context.Context) { startDraining() }
	replicas := &rollout.Replicas{}
	t.peers = &rollout.Peers{Directory: e.members, Replicas: replicas, Credentials: e.credentials()}
	t.service = &rollout.Service{
		NewHolder: t.newHolder,
		Replicas:  replicas,
		Locate:    t.locate,
		Process:   e.Process.Settings.GetName(),
		Weights:   t.coordinators,
		IsListed:  t.isListed,
	}
	handler := &trainer.Handler{
		Grants:       e.view,
		Steps:        &rollout.Client{Locate: t.locate, Peers: t.peers, HolderTimeout: maxHandoverWait},
		MaxBodyBytes: e.Settings.GetCaller().GetMaxBodyBytes(),
		BodyTimeout:  e.Settings.GetCaller().GetBody().AsDuration(),
		MaxPullWait:  e.Settings.GetTrainer().GetPoll().AsDuration(),
	}
	e.AddRoutes(handler.Routes()...)
	e.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterStepServer(registrar, t.service) })
	e.AddTask("step", t.service.Run)
	group := &duty.Group{Names: t.dutyNames, Run: t.runDuty, Interval: e.Settings.GetDuty().GetInterval().AsDuration()}
	e.AddTask("trainer", func(ctx context.Context) error {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(t.draining, cancel)()
		return group.Start(ctx)
	})
	e.AddDrain(t.drain)
}

// newHolder returns the holder of a trainer's steps.
func (t *trainerService) newHolder(name string) *rollout.Holder {
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

// capacity returns how many requests the live samplers of a model run concurrently;
// a sampler of unknown load counts as the average of the others.
func (t *trainerService) capacity(model string) int {
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

// dutyNames returns the duties that the plans require: one for each trainer of a plan,
// one for each model of a plan with trainers.
func (t *trainerService) dutyNames() []string {
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

// isListed reports whether a plan lists the trainer; it reports true while no lists are known.
func (t *trainerService) isListed(name string) bool {
	config, _ := t.entry.view.Config()
	return config == nil || slices.Contains(t.dutyNames(), rollout.TrainerDuty(name))
}

// runDuty competes for the lease of one duty and performs the duty while it holds the lease.
func (t *trainerService) runDuty(ctx context.Context, name string) error {
	return t.entry.elector(name).Run(ctx, func(ctx context.Context, term *duty.Term) error {
		t.publish(name, term)
		if model, ok := strings.CutPrefix(name, rollout.WeightDuty("")); ok {
			return t.coordinate(ctx, model, term)
		}
		return t.service.Lead(ctx, strings.TrimPrefix(name, rollout.TrainerDuty("")), term.Fence())
	})
}

// publish announces this process to the other entries as the holder of a duty. The
// fencing token is a revision of the store and grows with each holder, so the newest
// holder wins.
func (t *trainerService) publish(name string, term *duty.Term) {
	holder := statepb.Holder_builder{
		Process: t.entry.Process.Settings.GetName(),
		Address: t.entry.Addresses().Peer,
		Fence:   term.Fence(),
	}.Build()
	value, err := proto.Marshal(holder)
	if err != nil {
		klog.Errorf("duty: cannot publish the holder of %s: %v", name, err)
		return
	}
	t.entry.members.Offer(peerpb.Fact_builder{Name: duty.Key(name), Revision: term.Fence(), Value: value}.Build())
}

// locate returns the known holder of a duty.
func (t *trainerService) locate(name string) (*rollout.Location, bool) {
	fact := t.entry.members.Fact(duty.Key(name))
	holder := &statepb.Holder{}
	if fact == nil || proto.Unmarshal(fact.GetValue(), holder) != nil {
		return nil, false
	}
	return rollout.NewLocation(holder.GetProcess(), holder.GetAddress()), true
}

// coordinate orders the weight loads of a model's samplers for one term.
func (t *trainerService) coordinate(ctx context.Context, model string, term *duty.Term) error {
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
