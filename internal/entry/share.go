package entry

import (
	"encoding/json"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/fair"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// usualTokens is the expected length of an answer that names no bound.
	usualTokens = 256
	// bytesAToken is about what a token of a prompt takes.
	bytesAToken = 4
)

// newShare returns how a request counts in the queue: by tokens for an engine,
// as one for a plain service.
func newShare(request *peerpb.RunRequest, deadline time.Time) fair.Request {
	return fair.Request{
		Account:  request.GetAccount(),
		Weight:   request.GetWeight(),
		Cost:     expectedCost(request),
		Deadline: deadline,
	}
}

func expectedCost(request *peerpb.RunRequest) float64 {
	if request.GetKind() == peerpb.Kind_KIND_PLAIN {
		return 1
	}
	var body struct {
		Completion float64 `json:"max_completion_tokens"`
		Tokens     float64 `json:"max_tokens"`
	}
	longest := 0.0
	if json.Unmarshal(request.GetBody(), &body) == nil {
		longest = max(body.Completion, body.Tokens)
	}
	if longest <= 0 {
		longest = usualTokens
	}
	return longest + float64(len(request.GetBody())/bytesAToken)
}

// trueCost returns what an answer has cost; the expected cost if that isn't told.
func trueCost(share fair.Request, end *peerpb.End) float64 {
	if end.GetOutputTokens() == 0 {
		return share.Cost
	}
	return float64(end.GetPromptTokens() - min(end.GetCachedTokens(), end.GetPromptTokens()) + end.GetOutputTokens())
}
