package caller

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

const (
	// bytesPerToken is the estimated size of a token, used until the end of the response
	// reports the number of tokens of the prompt.
	bytesPerToken = 4
	// assumedOutputTokens is the estimated output of a request without max_tokens.
	assumedOutputTokens = 256
)

// completion serves POST /v1/completions.
func (h *Handler) completion(c *call) error {
	body, err := c.readBody()
	if err != nil {
		return err
	}
	completion, options, err := parseCompletion(body)
	if err != nil {
		return err
	}
	return c.generate(peerpb.Kind_KIND_COMPLETION, completion.sampling, options, completion)
}

// chat serves POST /v1/chat/completions.
func (h *Handler) chat(c *call) error {
	body, err := c.readBody()
	if err != nil {
		return err
	}
	chat, options, err := parseChat(body)
	if err != nil {
		return err
	}
	return c.generate(peerpb.Kind_KIND_CHAT, chat.sampling, options, chat)
}

// generate sends a validated request to an engine. The engine receives only body,
// which holds the known fields.
func (c *call) generate(kind peerpb.Kind, fields sampling, options responseOptions, body any) error {
	if err := c.checkPlan("the model", fields.Model, c.grant.Plan().GetModels()); err != nil {
		return err
	}
	text, err := json.Marshal(body)
	if err != nil {
		return invalidRequest("the body can't be passed on")
	}
	if err := c.rejectKeyLeak(string(text)); err != nil {
		return err
	}
	request := peerpb.RunRequest_builder{
		Pool:       fields.Model,
		Kind:       kind,
		Method:     http.MethodPost,
		Body:       text,
		Idempotent: true,
	}.Build()
	format := formatOf(kind)
	tokens := int64(len(text)/bytesPerToken) + fields.MaxTokens
	if fields.MaxTokens == 0 {
		tokens += assumedOutputTokens
	}
	if options.Stream {
		return c.run(request, newEventResponse(c, format, options.StreamOptions.IncludeUsage), tokens)
	}
	return c.run(request, &jsonResponse{call: c, format: format}, tokens)
}

// model is a model in the response to GET /v1/models.
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
