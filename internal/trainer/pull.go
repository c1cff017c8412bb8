package trainer

import (
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

const (
	defaultMax = 64
	greatest   = 1024
)

// pullAnswer is the answer of GET /v1/trainers/TRAINER/samples.
type pullAnswer struct {
	Samples []sample `json:"samples"`
	// Next is the place from which to pull next; that acknowledges these samples.
	Next uint64 `json:"next"`
	// Done is true once the trainer has the whole step.
	Done bool `json:"done"`
	// Waiting says why no sample came: running or store.
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
	// Versions name the weight version of each token.
	Versions []versions `json:"versions"`
	Finish   string     `json:"finish"`
	Score    float64    `json:"score"`
	Request  string     `json:"request"`
}

// versions names the version of the tokens from From until before Until.
type versions struct {
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
	reply, err := h.Steps.Pull(c.ctx, request)
	if err != nil {
		return err
	}
	answer := pullAnswer{Samples: []sample{}, Next: reply.GetNext(), Done: reply.GetDone(), Waiting: reply.GetWaiting()}
	for _, one := range reply.GetSamples() {
		answer.Samples = append(answer.Samples, newSample(one))
	}
	return write(c, answer)
}

func (h *Handler) parsePull(c *call) (*peerpb.PullRequest, error) {
	query := c.request.URL.Query()
	place, err := parseNumber(query, "place", 0)
	if err != nil {
		return nil, err
	}
	most, err := parseNumber(query, "max", defaultMax)
	if err != nil {
		return nil, err
	}
	if most == 0 || most > greatest {
		return nil, malformed("max: must be from 1 to %d", greatest)
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
		Max:     uint32(most),
		Wait:    durationpb.New(wait),
		Version: version,
	}.Build(), nil
}

func parseNumber(query url.Values, name string, absent uint64) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return absent, nil
	}
	number, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, malformed("%s: %q is not a whole number", name, text)
	}
	return number, nil
}

// parseWait reads a duration such as 5s, or a number of seconds.
func parseWait(text string, longest time.Duration) (time.Duration, error) {
	if text == "" {
		return longest, nil
	}
	wait, err := time.ParseDuration(text)
	if seconds, failed := strconv.ParseFloat(text, 64); failed == nil {
		wait, err = time.Duration(seconds*float64(time.Second)), nil
	}
	if err != nil || wait < 0 {
		return 0, malformed("wait: %q is not a duration such as 5s", text)
	}
	return min(wait, longest), nil
}

func newSample(from *peerpb.Sample) sample {
	made := sample{
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
	for _, part := range from.GetVersions() {
		made.Versions = append(made.Versions, versions{From: part.GetFrom(), Until: part.GetUntil(), Version: part.GetVersion()})
	}
	return made
}
