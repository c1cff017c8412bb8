// Package trainer serves the HTTP interface of trainers: opening a step, pulling its
// samples and announcing weights.
package trainer

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// noConfigRetryAfter is the delay before the first configuration is known. An entry
// usually knows it a few milliseconds after its start; Retry-After has whole seconds.
const noConfigRetryAfter = time.Second

// Grants looks up the grants of keys.
type Grants interface {
	Grant(hash string) (lists.Grant, bool)
	// HasConfig reports whether the configuration that holds the grants is known.
	HasConfig() bool
	OnWithdrawal(hash string, end func()) (stop func())
}

// Steps forwards calls to the holder of a trainer's steps.
type Steps interface {
	Announce(ctx context.Context, request *peerpb.AnnounceRequest) error
	Open(ctx context.Context, request *peerpb.OpenRequest) (*peerpb.OpenReply, error)
	Pull(ctx context.Context, request *peerpb.PullRequest) (*peerpb.PullReply, error)
}

// Handler serves trainers. Exported fields must be set before Routes.
type Handler struct {
	Grants Grants
	Steps  Steps
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// BodyTimeout is the time in which a body has to arrive.
	BodyTimeout time.Duration
	// MaxPullWait is the maximum wait of a pull.
	MaxPullWait time.Duration
}

// call is an authorized request of a trainer.
type call struct {
	writer  http.ResponseWriter
	request *http.Request
	ctx     context.Context
	trainer string
	key     string
	grant   lists.Grant
}

// Routes returns the HTTP routes.
func (h *Handler) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/trainers/:trainer/steps", Handler: h.handle(h.open)},
		{Method: http.MethodGet, Path: "/v1/trainers/:trainer/samples", Handler: h.handle(h.pull)},
		{Method: http.MethodPost, Path: "/v1/trainers/:trainer/weights", Handler: h.handle(h.announce)},
	}
}

func (h *Handler) handle(serve func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := h.authorize(w, r, serve); err != nil {
			refusal.Write(w, err)
		}
	}
}

// authorize looks up the key and serves the call until the key is withdrawn. The watch
// begins before the lookup, so that a key withdrawn between the two still ends the
// call. It begins only once a configuration is known: without one, the withdrawal of any
// key would end the call.
func (h *Handler) authorize(w http.ResponseWriter, r *http.Request, serve func(*call) error) error {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	key = strings.TrimSpace(key)
	if !ok || key == "" {
		return refusal.NotRun(http.StatusUnauthorized, "missing_key", "send your key as Authorization: Bearer KEY")
	}
	if !h.Grants.HasConfig() {
		return refusal.NoConfiguration(noConfigRetryAfter)
	}
	hash := lists.HashKey(key)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer h.Grants.OnWithdrawal(hash, cancel)()
	grant, ok := h.Grants.Grant(hash)
	if !ok {
		return refusal.NotRun(http.StatusUnauthorized, "unknown_key", "the key is unknown or was withdrawn")
	}
	trainer := pathvar.Vars(r)["trainer"]
	if !slices.Contains(grant.Plan().GetTrainers(), trainer) {
		return refusal.NotRun(http.StatusForbidden, "trainer_not_allowed", "the plan doesn't allow the trainer %q", trainer)
	}
	err := serve(&call{writer: w, request: r, ctx: ctx, trainer: trainer, key: key, grant: grant})
	if err != nil && ctx.Err() != nil && r.Context().Err() == nil {
		return refusal.Unknown(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn")
	}
	return err
}

func (c *call) checkModel(model string) error {
	if slices.Contains(c.grant.Plan().GetModels(), model) {
		return nil
	}
	return refusal.NotRun(http.StatusForbidden, "model_not_allowed", "the plan doesn't allow the model %q", model)
}
