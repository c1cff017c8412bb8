// Package weights is a small stand-in for the weight store, which is rate-limited.
package weights

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"golang.org/x/time/rate"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
)

const chunkBytes = 64 << 10

// Weights is the stand-in. Exported fields are set before Routes is called.
type Weights struct {
	// Size of one version, bytes.
	Size int
	// Rate of all downloads together, bytes a second.
	Rate int

	limiter *rate.Limiter
}

// Routes returns the store's interface.
func (s *Weights) Routes() []rest.Route {
	s.limiter = rate.NewLimiter(rate.Limit(s.Rate), chunkBytes)
	return []rest.Route{{Method: http.MethodGet, Path: "/weights/:model/:version", Handler: s.handleWeights}}
}

func (s *Weights) handleWeights(w http.ResponseWriter, r *http.Request) {
	chunk := make([]byte, chunkBytes)
	for left := s.Size; left > 0; left -= chunkBytes {
		part := chunk[:min(left, chunkBytes)]
		if err := s.limiter.WaitN(r.Context(), len(part)); err != nil {
			answer.Abort(w)
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}
