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
	syncInterval           = time.Second
	maxWithdrawalsPerWrite = 256
)

// Withdrawals holds the withdrawals that processes exchange.
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

// WithdrawalSyncer writes the processes' withdrawals to the store, and drops withdrawals that the
// configuration in force contains.
//
// An operator can withdraw a key during a store outage, so withdrawals spread from process to
// process first. A withdrawal is dropped only once a configuration that contains it is in force in
// this process: if the withdrawal was dropped earlier, a process that restarts with older facts
// would accept the key again.
type WithdrawalSyncer struct {
	Members Withdrawals
	// Editor writes withdrawals to the store; nil only drops withdrawals, as in sidecars.
	Editor Withdrawer
	// IsResponsible reports whether this process must write withdrawals to the store now.
	IsResponsible func() bool
	// Interval is the time between two rounds; 0 means 1 s.
	Interval time.Duration
}

// Run writes and drops withdrawals until the context ends.
func (s *WithdrawalSyncer) Run(ctx context.Context) error {
	for pause.For(ctx, jitter(cmp.Or(s.Interval, syncInterval))) {
		pending := s.dropStored()
		if len(pending) == 0 || s.Editor == nil || !s.IsResponsible() {
			continue
		}
		revision, err := s.Editor.Withdraw(ctx, pending[:min(maxWithdrawalsPerWrite, len(pending))])
		if err != nil {
			klog.Warningf("key: storing %d withdrawals that are already in force failed: %v", len(pending), err)
			continue
		}
		klog.Infof("key: withdrawals are stored at revision %d", revision)
	}
	return nil
}

// dropStored drops the withdrawals that the configuration contains and returns the remaining ones.
func (s *WithdrawalSyncer) dropStored() []*peerpb.Withdrawal {
	known := s.Members.Withdrawals()
	if len(known) == 0 {
		return nil
	}
	config := &listpb.Config{}
	if err := proto.Unmarshal(s.Members.Fact(KeyConfig).GetValue(), config); err != nil {
		return known
	}
	stored := map[string]bool{}
	for _, key := range config.GetKeys() {
		stored[key.GetHash()] = key.GetWithdrawn()
	}
	var pending []*peerpb.Withdrawal
	for _, withdrawal := range known {
		if stored[withdrawal.GetKey()] {
			s.Members.DropWithdrawal(withdrawal.GetKey())
			continue
		}
		pending = append(pending, withdrawal)
	}
	return pending
}
