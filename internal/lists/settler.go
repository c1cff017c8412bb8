package lists

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	settlePause = time.Second
	// settleAtOnce bounds the withdrawals of one write.
	settleAtOnce = 256
)

// Withdrawals are the withdrawals that processes tell each other.
type Withdrawals interface {
	DropWithdrawal(key string)
	Fact(name string) *peerpb.Fact
	Withdrawals() []*peerpb.Withdrawal
}

// Withdrawer writes withdrawals to the store.
type Withdrawer interface {
	Withdraw(ctx context.Context, withdrawals []*peerpb.Withdrawal) (uint64, error)
}

var _ Withdrawer = &Editor{}

// WithdrawalSyncer brings withdrawals from the processes to the store and forgets those
// that the configuration in force holds.
//
// An operator's word must end a key while the store is away, so it goes from
// process to process first. It is forgotten only once a configuration with it
// is in force here: were it dropped earlier, a process that restarts from
// older facts would let the key in again.
type WithdrawalSyncer struct {
	Members Withdrawals
	// Editor writes to the store; nil only forgets, as sidecars do.
	Editor Withdrawer
	// InCharge reports whether this process should write now.
	InCharge func() bool
	// Interval is the time between two rounds; 0 is 1 s.
	Interval time.Duration
}

// Run settles until the context ends.
func (s *WithdrawalSyncer) Run(ctx context.Context) error {
	for pause.For(ctx, jitter(cmp.Or(s.Interval, settlePause))) {
		open := s.forget()
		if len(open) == 0 || s.Editor == nil || !s.InCharge() {
			continue
		}
		revision, err := s.Editor.Withdraw(ctx, open[:min(settleAtOnce, len(open))])
		if err != nil {
			klog.Warningf("key: %d withdrawals are in force but not stored yet: %v", len(open), err)
			continue
		}
		klog.Infof("key: withdrawals are stored at revision %d", revision)
	}
	return nil
}

// forget drops the withdrawals that the configuration holds and returns the others.
func (s *WithdrawalSyncer) forget() []*peerpb.Withdrawal {
	waiting := s.Members.Withdrawals()
	if len(waiting) == 0 {
		return nil
	}
	config := &listpb.Config{}
	if err := proto.Unmarshal(s.Members.Fact(KeyConfig).GetValue(), config); err != nil {
		return waiting
	}
	stored := map[string]bool{}
	for _, key := range config.GetKeys() {
		stored[key.GetHash()] = key.GetWithdrawn()
	}
	var open []*peerpb.Withdrawal
	for _, withdrawal := range waiting {
		if stored[withdrawal.GetKey()] {
			s.Members.DropWithdrawal(withdrawal.GetKey())
			continue
		}
		open = append(open, withdrawal)
	}
	return open
}
