// Package operator implements the HTTP interface for operators under
// /operator/v1/ that an entry serves, and its client for the command line.
package operator

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/budget"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Paths of the interface.
const (
	PathConfig   = "/operator/v1/config"
	PathForce    = "/operator/v1/force"
	PathGrant    = "/operator/v1/keys/grant"
	PathWithdraw = "/operator/v1/keys/withdraw"
	PathStatus   = "/operator/v1/status"
	PathExplain  = "/operator/v1/explain"
	PathDrain    = "/operator/v1/drain"
	PathUsage    = "/operator/v1/usage"
)

// notReadyRetryAfter is the Retry-After of commands that need state that is not known yet,
// in seconds. A process usually knows it within a second after its start.
const notReadyRetryAfter = "1"

// maxBodyBytes fits the largest lists that the store accepts, as JSON.
const maxBodyBytes = 4 << 20

// bodyTimeout is the time in which a body has to arrive.
const bodyTimeout = time.Minute

// Editor reads and changes the configuration in the store.
type Editor interface {
	Config(ctx context.Context) (*listpb.Config, uint64, error)
	Grant(ctx context.Context, hash, account, operator string) (uint64, error)
	Put(ctx context.Context, edit lists.Edit) (*listpb.Config, uint64, error)
	Withdraw(ctx context.Context, withdrawals []*peerpb.Withdrawal) (uint64, error)
}

// Store is the part of the platform's store that commands read.
type Store interface {
	List(ctx context.Context, prefix string) (platform.ListReply, error)
}

var _ Editor = &lists.Editor{}

// Server serves the HTTP interface. Exported fields are set before the first request.
type Server struct {
	Editor  Editor
	Store   Store
	Members *member.Members
	View    *lists.View
	Peers   *Peers
	Tokens  *Tokens
	// Timeout bounds each command.
	Timeout time.Duration
}

// command handles a request of an authenticated operator.
type command func(ctx context.Context, operator string, r *http.Request) (proto.Message, error)

// Routes returns the routes of the interface.
func (s *Server) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: PathConfig, Handler: s.handle(s.config)},
		{Method: http.MethodPut, Path: PathConfig, Handler: s.handle(s.put)},
		{Method: http.MethodGet, Path: PathForce, Handler: s.handle(s.revisionsInForce)},
		{Method: http.MethodPost, Path: PathGrant, Handler: s.handle(s.grant)},
		{Method: http.MethodPost, Path: PathWithdraw, Handler: s.handle(s.withdraw)},
		{Method: http.MethodGet, Path: PathStatus, Handler: s.handle(s.status)},
		{Method: http.MethodGet, Path: PathExplain, Handler: s.handle(s.explain)},
		{Method: http.MethodPost, Path: PathDrain, Handler: s.handle(s.drain)},
		{Method: http.MethodGet, Path: PathUsage, Handler: s.handle(s.usage)},
	}
}

func (s *Server) handle(run command) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := s.Tokens.Name(r)
		if name == "" {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeResponse(w, http.StatusUnauthorized, operatorpb.Problem_builder{Message: "no operator has this token"}.Build())
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), s.Timeout)
		defer cancel()
		reply, err := run(ctx, name, r)
		klog.Infof("operator: %s: %s %s: %s", name, r.Method, r.URL.Path, outcome(err))
		if err != nil {
			status, problem := problemFor(err)
			var notReady *NotReadyError
			if errors.As(err, &notReady) {
				w.Header().Set("Retry-After", notReadyRetryAfter)
				w.Header().Set(refusal.HeaderOutcome, "not-run")
			}
			writeResponse(w, status, problem)
			return
		}
		writeResponse(w, http.StatusOK, reply)
	}
}

func outcome(err error) string {
	if err == nil {
		return "done"
	}
	return err.Error()
}

// problemFor maps an error to the HTTP status and body of the response.
func problemFor(err error) (int, *operatorpb.Problem) {
	problem := operatorpb.Problem_builder{Message: err.Error()}.Build()
	var stale *lists.StaleError
	var invalid *lists.InvalidError
	var uncertain *lists.UncertainError
	var notFound *NotFoundError
	switch {
	case errors.As(err, &stale):
		problem.SetPresent(withoutKeys(stale.Present))
		problem.SetRevision(stale.Revision)
		return http.StatusConflict, problem
	case errors.As(err, &invalid):
		return http.StatusUnprocessableEntity, problem
	case errors.As(err, &uncertain):
		return http.StatusGatewayTimeout, problem
	case errors.As(err, &notFound):
		return http.StatusNotFound, problem
	default:
		return http.StatusServiceUnavailable, problem
	}
}

func writeResponse(w http.ResponseWriter, status int, message proto.Message) {
	text, err := protojson.Marshal(message)
	if err != nil {
		klog.Errorf("operator: encoding a response failed: %v", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(text); err != nil {
		klog.V(1).Infof("operator: writing a response failed: %v", err)
	}
}

func readBody(r *http.Request, message proto.Message) error {
	text, err := listen.ReadBody(r, maxBodyBytes, time.Now().Add(bodyTimeout))
	var body *listen.BodyError
	if errors.As(err, &body) && body.Problem == listen.BodyNoMemory {
		return err
	}
	if err != nil {
		return &lists.InvalidError{Problem: "read body: " + err.Error()}
	}
	if err := listen.TakeMemory(r, budget.JSONBytes(text), listen.BodyCodes{TooLarge: "body_too_large"}); err != nil {
		return err
	}
	if err := protojson.Unmarshal(text, message); err != nil {
		return &lists.InvalidError{Problem: "read body: " + err.Error()}
	}
	return nil
}

func withoutKeys(config *listpb.Config) *listpb.Config {
	shown := proto.CloneOf(config)
	shown.SetKeys(nil)
	return shown
}
