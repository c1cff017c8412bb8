package rollout

import (
	"bytes"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const digestBytes = 16

// Digest returns the hash of a sample's encoding without its place.
func Digest(sample *peerpb.Sample) []byte {
	unplaced, ok := proto.Clone(sample).(*peerpb.Sample)
	if !ok {
		return nil
	}
	unplaced.SetPlace(0)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(unplaced)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(data)
	return sum[:digestBytes]
}

func matchesDigest(sample *peerpb.Sample, digest []byte) bool {
	return len(digest) > 0 && bytes.Equal(Digest(sample), digest)
}

func withPlace(sample *peerpb.Sample, place uint64) *peerpb.Sample {
	placed, ok := proto.Clone(sample).(*peerpb.Sample)
	if !ok {
		return sample
	}
	placed.SetPlace(place)
	return placed
}
