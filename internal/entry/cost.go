package entry

import (
	"encoding/json"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/fair"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	// assumedOutputTokens is the expected output of a request without a token limit.
	assumedOutputTokens = 256
	// bytesPerToken is the approximate size of a prompt's token.
	bytesPerToken = 4
)

// newQueueRequest returns a request's entry in the fair queue. Its cost is in
// tokens for an engine and 1 for a plain service.
func newQueueRequest(request *peerpb.RunRequest, deadline time.Time) fair.Request {
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
	maxTokens := 0.0
	if json.Unmarshal(request.GetBody(), &body) == nil {
		maxTokens = max(body.Completion, body.Tokens)
	}
	if maxTokens <= 0 {
		maxTokens = assumedOutputTokens
	}
	return maxTokens + float64(len(request.GetBody())/bytesPerToken)
}

// actualCost returns an answer's cost, or the expected cost if the answer reports no
// output tokens.
func actualCost(request fair.Request, end *peerpb.End) float64 {
	if end.GetOutputTokens() == 0 {
		return request.Cost
	}
	return float64(end.GetPromptTokens() - min(end.GetCachedTokens(), end.GetPromptTokens()) + end.GetOutputTokens())
}
