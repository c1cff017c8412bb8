package trainer

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	maxTokens      = 1 << 20
	maxTemperature = 2
)

// bodyCodes are the codes of requests whose bodies can't be read.
var bodyCodes = listen.BodyCodes{TooLarge: "body_too_large", Cut: "invalid_request"}

// openBody is the body of POST /v1/trainers/TRAINER/steps.
type openBody struct {
	Step        *uint64     `json:"step"`
	Model       string      `json:"model"`
	Staleness   uint64      `json:"staleness"`
	MaxTokens   uint32      `json:"max_tokens"`
	Temperature *float64    `json:"temperature"`
	Groups      []openGroup `json:"groups"`
}

type openGroup struct {
	Prompt  string `json:"prompt"`
	Samples uint32 `json:"samples"`
}

// openAnswer is the response: the number of the step's slots and their first place.
type openAnswer struct {
	Step  uint64 `json:"step"`
	Slots uint32 `json:"slots"`
	Place uint64 `json:"place"`
}

// announceBody is the body of POST /v1/trainers/TRAINER/weights.
type announceBody struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

func invalidRequest(format string, arguments ...any) error {
	return refusal.NotRun(http.StatusBadRequest, "invalid_request", format, arguments...)
}

// open serves POST /v1/trainers/TRAINER/steps.
func (h *Handler) open(c *call) error {
	var body openBody
	if err := h.decodeBody(c, &body); err != nil {
		return err
	}
	if err := body.check(); err != nil {
		return err
	}
	if err := c.checkModel(body.Model); err != nil {
		return err
	}
	reply, err := h.Steps.Open(c.ctx, body.request(c))
	if err != nil {
		return err
	}
	return writeAnswer(c, openAnswer{Step: *body.Step, Slots: reply.GetSlots(), Place: reply.GetPlace()})
}

// announce serves POST /v1/trainers/TRAINER/weights.
func (h *Handler) announce(c *call) error {
	var body announceBody
	if err := h.decodeBody(c, &body); err != nil {
		return err
	}
	if body.Version == 0 {
		return invalidRequest("version: must be 1 or more")
	}
	if err := c.checkModel(body.Model); err != nil {
		return err
	}
	request := peerpb.AnnounceRequest_builder{
		Account: c.grant.Account(),
		Trainer: c.trainer,
		Model:   body.Model,
		Version: body.Version,
	}.Build()
	if err := h.Steps.Announce(c.ctx, request); err != nil {
		return err
	}
	return writeAnswer(c, body)
}

func (b *openBody) check() error {
	switch {
	case b.Step == nil:
		return invalidRequest("step: is missing")
	case b.Model == "":
		return invalidRequest("model: is missing")
	case b.MaxTokens > maxTokens:
		return invalidRequest("max_tokens: must be at most %d", maxTokens)
	case b.Temperature != nil && (*b.Temperature < 0 || *b.Temperature > maxTemperature):
		return invalidRequest("temperature: must be from 0 to %d", maxTemperature)
	case len(b.Groups) == 0:
		return invalidRequest("groups: is empty")
	}
	for i, group := range b.Groups {
		if group.Samples == 0 {
			return invalidRequest("groups[%d].samples: must be 1 or more", i)
		}
		if !utf8.ValidString(group.Prompt) {
			return invalidRequest("groups[%d].prompt: is not UTF-8", i)
		}
	}
	return nil
}

func (b *openBody) request(c *call) *peerpb.OpenRequest {
	request := peerpb.OpenRequest_builder{
		Account:     c.grant.Account(),
		Trainer:     c.trainer,
		Step:        *b.Step,
		Model:       b.Model,
		Staleness:   b.Staleness,
		MaxTokens:   b.MaxTokens,
		Temperature: 1,
		Weight:      c.grant.Plan().GetWeight(),
		Priority:    c.grant.Plan().GetPriority(),
	}.Build()
	if b.Temperature != nil {
		request.SetTemperature(*b.Temperature)
	}
	prompts := make([]*peerpb.Prompt, 0, len(b.Groups))
	for _, group := range b.Groups {
		prompts = append(prompts, peerpb.Prompt_builder{Text: group.Prompt, Samples: group.Samples}.Build())
	}
	request.SetPrompts(prompts)
	return request
}

// decodeBody decodes a body. It rejects a body that contains the caller's key, because
// prompts go to backend servers, which must never see keys.
func (h *Handler) decodeBody(c *call, body any) error {
	listen.ReservationOf(c.ctx).Assign(c.grant.Account())
	data, err := listen.ReadBody(c.request, h.MaxBodyBytes, time.Now().Add(h.BodyTimeout))
	if err != nil {
		return listen.RefuseBody(err, bodyCodes)
	}
	// The decoded body is copied into the message for the step's holder.
	if err := listen.TakeMemory(c.request, 2*budget.JSONBytes(data), bodyCodes); err != nil {
		return err
	}
	if strings.Contains(string(data), c.key) {
		return invalidRequest("the body holds the key")
	}
	if err := json.Unmarshal(data, body); err != nil {
		return invalidRequest("the body is not as expected: %v", err)
	}
	return nil
}

// writeAnswer answers the call unless its key was withdrawn meanwhile.
func writeAnswer(c *call, answer any) error {
	if err := c.ctx.Err(); err != nil {
		return err
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	c.writer.Header().Set("Content-Type", "application/json")
	_, _ = c.writer.Write(append(text, '\n'))
	return nil
}
