package rollout

import (
	"bytes"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const digestBytes = 16

// Digest returns the digest of a sample's bytes without its place.
func Digest(sample *peerpb.Sample) []byte {
	bare, ok := proto.Clone(sample).(*peerpb.Sample)
	if !ok {
		return nil
	}
	bare.SetPlace(0)
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(bare)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(text)
	return sum[:digestBytes]
}

func hasDigest(sample *peerpb.Sample, digest []byte) bool {
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
