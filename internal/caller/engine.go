package caller

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// bytesPerToken is a rough figure for the tokens of a prompt, until its end tells them.
	bytesPerToken = 4
	// assumedTokens stands for the answer of a request that sets no max_tokens.
	assumedTokens = 256
)

// completion serves POST /v1/completions.
func (h *Handler) completion(c *call) error {
	body, err := readBody(c.writer, c.request, h.MaxBodyBytes)
	if err != nil {
		return err
	}
	completion, deliver, err := parseCompletion(body)
	if err != nil {
		return err
	}
	return c.generate(peerpb.Kind_KIND_COMPLETION, completion.sampling, deliver, completion)
}

// chat serves POST /v1/chat/completions.
func (h *Handler) chat(c *call) error {
	body, err := readBody(c.writer, c.request, h.MaxBodyBytes)
	if err != nil {
		return err
	}
	chat, deliver, err := parseChat(body)
	if err != nil {
		return err
	}
	return c.generate(peerpb.Kind_KIND_CHAT, chat.sampling, deliver, chat)
}

// generate sends a checked request to an engine. The engine sees body alone,
// which holds the known fields.
func (c *call) generate(kind peerpb.Kind, fields sampling, deliver delivery, body any) error {
	if err := c.mayUse("the model", fields.Model, c.grant.Plan().GetModels()); err != nil {
		return err
	}
	text, err := json.Marshal(body)
	if err != nil {
		return malformed("the body can't be passed on")
	}
	if err := c.keepKey(string(text)); err != nil {
		return err
	}
	request := peerpb.RunRequest_builder{
		Pool:       fields.Model,
		Kind:       kind,
		Method:     http.MethodPost,
		Body:       text,
		Idempotent: true,
	}.Build()
	shape := shapeOf(kind)
	tokens := int64(len(text)/bytesPerToken) + fields.MaxTokens
	if fields.MaxTokens == 0 {
		tokens += assumedTokens
	}
	if deliver.Stream {
		return c.run(request, newEventAnswer(c, shape, deliver.StreamOptions.IncludeUsage), tokens)
	}
	return c.run(request, &jsonAnswer{call: c, shape: shape}, tokens)
}

// model is one model in the answer of GET /v1/models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models: the models of the account's plan.
func (h *Handler) models(c *call) error {
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range slices.Sorted(slices.Values(c.grant.Plan().GetModels())) {
		list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "bramleyhatch"})
	}
	return writeJSON(c.writer, list)
}

func writeJSON(w http.ResponseWriter, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return refusal.Unknown(http.StatusInternalServerError, "internal", "the answer can't be written")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(append(text, '\n'))
	return nil
}
