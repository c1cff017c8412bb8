package rollout

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const holderCheckInterval = 500 * time.Millisecond

// Weights accepts announced versions of the models whose weight duty this process
// holds.
type Weights interface {
	Announce(ctx context.Context, model string, version uint64) error
}

// Service serves the other entry processes for the trainers whose steps this process
// holds, and stores samples for them. Exported fields must be set before Run.
type Service struct {
	peerpb.UnimplementedStepServer

	// NewHolder returns a holder for a trainer.
	NewHolder func(trainer string) *Holder
	Replicas  *Replicas
	// Locate returns the process that holds a duty, if known.
	Locate  func(duty string) (*Location, bool)
	Process string
	Weights Weights
	// IsListed reports whether a plan lists the trainer.
	IsListed func(trainer string) bool

	mutex      sync.Mutex
	holders    map[string]*Holder
	runContext context.Context
	group      sync.WaitGroup
}

var _ peerpb.StepServer = &Service{}

// Run runs the holders until the context ends. A holder drops its step when another
// process is known to hold its duty, or no plan lists its trainer.
func (s *Service) Run(ctx context.Context) error {
	s.mutex.Lock()
	s.runContext = ctx
	s.mutex.Unlock()
	for pause.For(ctx, holderCheckInterval) {
		for _, holder := range s.allHolders() {
			s.checkHolder(holder)
		}
	}
	s.group.Wait()
	return nil
}

// Lead makes this process the holder of a trainer's steps until the context ends.
func (s *Service) Lead(ctx context.Context, trainer string, fence uint64) error {
	return s.ensureHolder(trainer).Lead(ctx, fence)
}

// Open opens a step that this process holds.
func (s *Service) Open(ctx context.Context, request *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	reply, err := s.open(ctx, request)
	if err != nil {
		return peerpb.OpenReply_builder{Refusal: refusal.Of(err).ToMessage()}.Build(), nil
	}
	return reply, nil
}

func (s *Service) open(ctx context.Context, request *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	holder, err := s.existingHolder(request.GetTrainer())
	if err != nil {
		return nil, err
	}
	return holder.Open(ctx, request)
}

// Pull delivers samples of a step that this process holds.
func (s *Service) Pull(ctx context.Context, request *peerpb.PullRequest) (*peerpb.PullReply, error) {
	reply, err := s.pull(ctx, request)
	if err != nil {
		return peerpb.PullReply_builder{Refusal: refusal.Of(err).ToMessage()}.Build(), nil
	}
	return reply, nil
}

func (s *Service) pull(ctx context.Context, request *peerpb.PullRequest) (*peerpb.PullReply, error) {
	holder, err := s.existingHolder(request.GetTrainer())
	if err != nil {
		return nil, err
	}
	return holder.Pull(ctx, request)
}

// Announce accepts a newer version for a trainer's steps, or for the samplers of a model.
func (s *Service) Announce(ctx context.Context, request *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	if err := s.announce(ctx, request); err != nil {
		return peerpb.AnnounceReply_builder{Refusal: refusal.Of(err).ToMessage()}.Build(), nil
	}
	return &peerpb.AnnounceReply{}, nil
}

func (s *Service) announce(ctx context.Context, request *peerpb.AnnounceRequest) error {
	if request.GetDuty() == WeightDuty(request.GetModel()) {
		return s.Weights.Announce(ctx, request.GetModel(), request.GetVersion())
	}
	holder, err := s.existingHolder(request.GetTrainer())
	if err != nil {
		return err
	}
	return holder.Announce(ctx, request)
}

// Keep stores samples for another process.
func (s *Service) Keep(_ context.Context, request *peerpb.KeepSampleRequest) (*peerpb.KeepSampleReply, error) {
	for _, sample := range request.GetSamples() {
		if !s.Replicas.Put(sample, request.GetForget()) {
			return nil, refusal.NotRun(http.StatusInsufficientStorage, "replicas_full", "no room for samples of %s", sample.GetTrainer())
		}
	}
	return &peerpb.KeepSampleReply{}, nil
}

// Fetch returns samples stored for another process.
func (s *Service) Fetch(_ context.Context, request *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	samples := s.Replicas.Fetch(request.GetTrainer(), request.GetStep(), request.GetSlots())
	return peerpb.FetchReply_builder{Samples: samples}.Build(), nil
}

// existingHolder returns the holder of a trainer if this process has ever led it.
func (s *Service) existingHolder(trainer string) (*Holder, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if holder := s.holders[trainer]; holder != nil {
		return holder, nil
	}
	return nil, noHolderError(trainer)
}

func (s *Service) ensureHolder(trainer string) *Holder {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.holders == nil {
		s.holders = map[string]*Holder{}
	}
	if s.holders[trainer] == nil {
		holder := s.NewHolder(trainer)
		s.holders[trainer] = holder
		ctx := s.runContext
		s.group.Go(func() { _ = holder.Run(ctx) })
	}
	return s.holders[trainer]
}

func (s *Service) allHolders() []*Holder {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	holders := make([]*Holder, 0, len(s.holders))
	for _, holder := range s.holders {
		holders = append(holders, holder)
	}
	return holders
}

func (s *Service) checkHolder(holder *Holder) {
	location, ok := s.Locate(TrainerDuty(holder.Trainer))
	if ok && location.Process() != s.Process {
		holder.Drop(location.Process() + " is the holder")
	}
	if !s.IsListed(holder.Trainer) {
		holder.Drop("no plan lists the trainer")
	}
}
