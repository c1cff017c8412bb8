package trainer

import (
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	defaultPullSize = 64
	maxPullSize     = 1024
	// pullBytes is the memory of the largest reply of a step's holder.
	pullBytes = 8 << 20
)

// pullAnswer is the response of GET /v1/trainers/TRAINER/samples.
type pullAnswer struct {
	Samples []sample `json:"samples"`
	// Next is the place to pull from next, which acknowledges these samples.
	Next uint64 `json:"next"`
	// Done is true once the trainer has the whole step.
	Done bool `json:"done"`
	// Waiting is the reason why no sample is ready: running or store.
	Waiting string `json:"waiting,omitempty"`
}

type sample struct {
	Place    uint64    `json:"place"`
	Step     uint64    `json:"step"`
	Slot     uint32    `json:"slot"`
	Group    uint32    `json:"group"`
	Prompt   string    `json:"prompt"`
	Text     string    `json:"text"`
	Tokens   []int32   `json:"tokens"`
	Logprobs []float32 `json:"logprobs"`
	// Versions are the weight versions of all tokens.
	Versions []versionRange `json:"versions"`
	Finish   string         `json:"finish"`
	Score    float64        `json:"score"`
	Request  string         `json:"request"`
}

// versionRange is the weight version of the tokens from From up to, but not
// including, Until.
type versionRange struct {
	From    uint32 `json:"from"`
	Until   uint32 `json:"until"`
	Version uint64 `json:"version"`
}

// pull serves GET /v1/trainers/TRAINER/samples.
func (h *Handler) pull(c *call) error {
	request, err := h.parsePull(c)
	if err != nil {
		return err
	}
	listen.ReservationOf(c.ctx).Assign(c.grant.Account())
	if err := listen.TakeMemory(c.request, pullBytes, bodyCodes); err != nil {
		return err
	}
	reply, err := h.Steps.Pull(c.ctx, request)
	if err != nil {
		return err
	}
	answer := pullAnswer{Samples: []sample{}, Next: reply.GetNext(), Done: reply.GetDone(), Waiting: reply.GetWaiting()}
	// Numbers and probabilities of tokens are longer as text, which is encoded into a buffer that grows.
	const copies = 6
	if err := listen.TakeMemory(c.request, copies*int64(proto.Size(reply)), bodyCodes); err != nil {
		return err
	}
	for _, received := range reply.GetSamples() {
		answer.Samples = append(answer.Samples, newSample(received))
	}
	return writeAnswer(c, answer)
}

func (h *Handler) parsePull(c *call) (*peerpb.PullRequest, error) {
	query := c.request.URL.Query()
	place, err := parseNumber(query, "place", 0)
	if err != nil {
		return nil, err
	}
	maxSamples, err := parseNumber(query, "max", defaultPullSize)
	if err != nil {
		return nil, err
	}
	if maxSamples == 0 || maxSamples > maxPullSize {
		return nil, invalidRequest("max: must be from 1 to %d", maxPullSize)
	}
	version, err := parseNumber(query, "version", 0)
	if err != nil {
		return nil, err
	}
	wait, err := parseWait(query.Get("wait"), h.MaxPullWait)
	if err != nil {
		return nil, err
	}
	return peerpb.PullRequest_builder{
		Account: c.grant.Account(),
		Trainer: c.trainer,
		Place:   place,
		Max:     uint32(maxSamples),
		Wait:    durationpb.New(wait),
		Version: version,
	}.Build(), nil
}

func parseNumber(query url.Values, name string, fallback uint64) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return fallback, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, invalidRequest("%s: %q is not a whole number", name, text)
	}
	return number, nil
}

// parseWait parses a duration such as 5s, or a number of seconds.
func parseWait(text string, limit time.Duration) (time.Duration, error) {
	if text == "" {
		return limit, nil
	}
	wait, err := time.ParseDuration(text)
	if seconds, parseErr := strconv.ParseFloat(text, 64); parseErr == nil {
		wait, err = time.Duration(seconds*float64(time.Second)), nil
	}
	if err != nil || wait < 0 {
		return 0, invalidRequest("wait: %q is not a duration such as 5s", text)
	}
	return min(wait, limit), nil
}

func newSample(from *peerpb.Sample) sample {
	result := sample{
		Place:    from.GetPlace(),
		Step:     from.GetStep(),
		Slot:     from.GetSlot(),
		Group:    from.GetGroup(),
		Prompt:   from.GetPrompt(),
		Text:     from.GetText(),
		Tokens:   from.GetTokens(),
		Logprobs: from.GetLogprobs(),
		Finish:   from.GetFinish(),
		Score:    from.GetScore(),
		Request:  from.GetRequest(),
	}
	for _, r := range from.GetVersions() {
		result.Versions = append(result.Versions, versionRange{From: r.GetFrom(), Until: r.GetUntil(), Version: r.GetVersion()})
	}
	return result
}
