package bramleyhatch

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/backend"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// keys are the hashes of all callers' keys in the newest configuration.
type keys struct {
	hashes atomic.Pointer[map[string]bool]
}

var _ backend.Keys = &keys{}

// IsKey reports whether a hash is that of a key, granted or withdrawn.
func (k *keys) IsKey(hash string) bool {
	hashes := k.hashes.Load()
	return hashes != nil && (*hashes)[hash]
}

// take reads the keys of a newer configuration.
func (k *keys) take(fact *peerpb.Fact) {
	config := &listpb.Config{}
	if err := proto.Unmarshal(fact.GetValue(), config); err != nil {
		klog.Errorf("key: fact %s can't be read: %v", fact.GetName(), err)
		return
	}
	hashes := map[string]bool{}
	for _, key := range config.GetKeys() {
		hashes[key.GetHash()] = true
	}
	k.hashes.Store(&hashes)
}
