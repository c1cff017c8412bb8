// Package weights is a stand-in for the rate-limited weight store.
package weights

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"golang.org/x/time/rate"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/answer"
)

const chunkBytes = 64 << 10

// Weights simulates a weight store. Exported fields must be set before Routes is called.
type Weights struct {
	// Size is the size of a version, bytes.
	Size int
	// Rate limits all downloads together, bytes per second.
	Rate int

	limiter *rate.Limiter
}

// Routes returns the store's endpoints.
func (ws *Weights) Routes() []rest.Route {
	ws.limiter = rate.NewLimiter(rate.Limit(ws.Rate), chunkBytes)
	return []rest.Route{{Method: http.MethodGet, Path: "/weights/:model/:version", Handler: ws.handleWeights}}
}

func (ws *Weights) handleWeights(w http.ResponseWriter, r *http.Request) {
	chunk := make([]byte, chunkBytes)
	for remaining := ws.Size; remaining > 0; remaining -= chunkBytes {
		part := chunk[:min(remaining, chunkBytes)]
		if err := ws.limiter.WaitN(r.Context(), len(part)); err != nil {
			answer.Abort(w)
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}
