package bramleyhatch

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// callerKeys holds the hashes of all callers' keys in the newest configuration.
type callerKeys struct {
	hashes atomic.Pointer[map[string]bool]
}

var _ backend.Keys = &callerKeys{}

// IsKey reports whether a hash belongs to a key, granted or withdrawn.
func (k *callerKeys) IsKey(hash string) bool {
	hashes := k.hashes.Load()
	return hashes != nil && (*hashes)[hash]
}

// apply stores the hashes of the keys in a newer configuration.
func (k *callerKeys) apply(fact *peerpb.Fact) {
	config := &listpb.Config{}
	if err := proto.Unmarshal(fact.GetValue(), config); err != nil {
		klog.Errorf("key: cannot parse the configuration from the fact %q: %v", fact.GetName(), err)
		return
	}
	hashes := map[string]bool{}
	for _, key := range config.GetKeys() {
		hashes[key.GetHash()] = true
	}
	k.hashes.Store(&hashes)
}
