package rollout

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/sidecar"
)

var errUnavailable = &platform.UnavailableError{Operation: "test", Cause: errors.New("unavailable")}

// fakeStore is the part of the platform's key-value service that steps use.
type fakeStore struct {
	mutex        sync.Mutex
	values       map[string]platform.Value
	revision     uint64
	writes       int
	largestBytes int
	// isUnavailable fails every call; loseNextAnswer lets one write take effect without
	// a reply.
	isUnavailable  bool
	loseNextAnswer bool
	// beforeSwap is called without the lock before each write.
	beforeSwap func(key string)
}

var _ Store = &fakeStore{}

func newFakeStore() *fakeStore { return &fakeStore{values: map[string]platform.Value{}} }

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

func (s *fakeStore) Delete(_ context.Context, key string, expect uint64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isUnavailable {
		return errUnavailable
	}
	if s.values[key].Revision != expect {
		return &platform.ConflictError{Key: key}
	}
	delete(s.values, key)
	return nil
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Value, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isUnavailable {
		return platform.Value{}, errUnavailable
	}
	value, ok := s.values[key]
	if !ok {
		return value, &platform.NotFoundError{Key: key}
	}
	return value, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) (platform.ListReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := platform.ListReply{Revision: s.revision}
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			reply.Values = append(reply.Values, value)
		}
	}
	return reply, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expect uint64, data []byte, _ uint64) (uint64, error) {
	if s.beforeSwap != nil {
		s.beforeSwap(key)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isUnavailable {
		return 0, errUnavailable
	}
	if s.values[key].Revision != expect {
		return 0, &platform.ConflictError{Key: key, Revision: s.values[key].Revision}
	}
	s.revision++
	s.writes++
	s.largestBytes = max(s.largestBytes, len(data))
	s.values[key] = platform.Value{Key: key, Data: data, Revision: s.revision}
	if s.loseNextAnswer {
		s.loseNextAnswer = false
		return 0, errUnavailable
	}
	return s.revision, nil
}

// fakeRunner generates answers of two chunks under the current version.
type fakeRunner struct {
	mutex   sync.Mutex
	version uint64
	runs    int
	// gate blocks each run until a receive from it succeeds; nil blocks none.
	gate chan struct{}
	// shortAnswers is the number of answers, from the first on, that lack tokens.
	shortAnswers int
}

var _ Runner = &fakeRunner{}

func (r *fakeRunner) Run(ctx context.Context, _ *peerpb.RunRequest, sink sidecar.Sink) (*peerpb.End, error) {
	if r.gate != nil {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-r.gate:
		}
	}
	r.mutex.Lock()
	r.runs++
	version, tokens := r.version, uint64(4)
	if r.shortAnswers > 0 {
		r.shortAnswers--
		tokens++
	}
	r.mutex.Unlock()
	for range 2 {
		if err := sink(chunkFrame(version, 1, 2)); err != nil {
			return nil, err
		}
	}
	return peerpb.End_builder{Finish: "stop", OutputTokens: tokens}.Build(), nil
}

func chunkFrame(version uint64, tokens ...int32) *peerpb.Frame {
	chunk := peerpb.Chunk_builder{Data: []byte("x"), Tokens: tokens, Version: version}.Build()
	return peerpb.Frame_builder{Chunk: chunk}.Build()
}

// fakeReplicator simulates the replica stores of other processes, by process name.
type fakeReplicator struct {
	mutex    sync.Mutex
	replicas map[string]*Replicas
}

var _ Replicator = &fakeReplicator{}

func newFakeReplicator(names ...string) *fakeReplicator {
	replicator := &fakeReplicator{replicas: map[string]*Replicas{}}
	for _, name := range names {
		replicator.replicas[name] = &Replicas{}
	}
	return replicator
}

func (f *fakeReplicator) Replicate(_ context.Context, sample *peerpb.Sample, forget []uint32) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var holders []string
	for name, replicas := range f.replicas {
		if replicas.Put(sample, forget) {
			holders = append(holders, name)
		}
	}
	return holders
}

func (f *fakeReplicator) Fetch(_ context.Context, process, trainer string, step uint64, slots []uint32) ([]*peerpb.Sample, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	replicas := f.replicas[process]
	if replicas == nil {
		return nil, errors.New("unknown process")
	}
	return replicas.Fetch(trainer, step, slots), nil
}

func (f *fakeReplicator) kill(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.replicas, name)
}

func openRequest(step uint64, groups int, samples uint32, staleness uint64) *peerpb.OpenRequest {
	request := peerpb.OpenRequest_builder{Trainer: "drafts", Account: "casa", Model: "draft", Step: step, Staleness: staleness, MaxTokens: 64}.Build()
	for range groups {
		request.SetPrompts(append(request.GetPrompts(), peerpb.Prompt_builder{Text: "say", Samples: samples}.Build()))
	}
	return request
}

func newTestHolder(process string, store Store, runner Runner, replicator Replicator) *Holder {
	holder := NewHolder("drafts", store)
	holder.Process = process
	holder.Runner = runner
	holder.Replicator = replicator
	holder.MaxAttempts = 64
	holder.Timeout = time.Minute
	holder.WriteInterval = time.Millisecond
	holder.MaxPullWait = 10 * time.Second
	return holder
}
