package rollout

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Refusal codes after which the client retries the same call.
const (
	codeNoHolder          = "no_holder"
	codeHolderUnreachable = "holder_unreachable"
)

// Location is the process that holds a duty.
type Location struct {
	process string
	address string
}

// NewLocation returns the location of a process with its peer address.
func NewLocation(process, address string) *Location {
	return &Location{process: process, address: address}
}

// Address returns the peer address.
func (l *Location) Address() string { return l.address }

// Process returns the name of the process.
func (l *Location) Process() string { return l.process }

// TrainerDuty returns the name of the duty that runs a trainer's steps.
func TrainerDuty(trainer string) string { return "trainer/" + trainer }

// WeightDuty returns the name of the duty that orders samplers to load a
// model's weights.
func WeightDuty(model string) string { return "weight/" + model }

// Client forwards a trainer's calls to the process that holds its steps. Any entry
// process can accept them. Each call is idempotent, so the client retries it while the
// duty moves between processes, and the trainer sees no failure. Exported fields must
// be set before the first call.
type Client struct {
	Locate func(duty string) (*Location, bool)
	Peers  *Peers
	// HolderTimeout is how long a call waits for a holder.
	HolderTimeout time.Duration
}

// Announce sends a newer version to the holder of the trainer's steps, then to the
// process that orders the samplers of its model to load it.
func (c *Client) Announce(ctx context.Context, request *peerpb.AnnounceRequest) error {
	for _, duty := range []string{TrainerDuty(request.GetTrainer()), WeightDuty(request.GetModel())} {
		request.SetDuty(duty)
		err := c.call(ctx, duty, func(client peerpb.StepClient) (*peerpb.Refusal, error) {
			reply, err := client.Announce(ctx, request)
			return reply.GetRefusal(), err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Open opens a step.
func (c *Client) Open(ctx context.Context, request *peerpb.OpenRequest) (reply *peerpb.OpenReply, err error) {
	err = c.call(ctx, TrainerDuty(request.GetTrainer()), func(client peerpb.StepClient) (*peerpb.Refusal, error) {
		reply, err = client.Open(ctx, request)
		return reply.GetRefusal(), err
	})
	return reply, err
}

// Pull acknowledges the places before the requested one and returns the samples from it on.
func (c *Client) Pull(ctx context.Context, request *peerpb.PullRequest) (reply *peerpb.PullReply, err error) {
	err = c.call(ctx, TrainerDuty(request.GetTrainer()), func(client peerpb.StepClient) (*peerpb.Refusal, error) {
		reply, err = client.Pull(ctx, request)
		return reply.GetRefusal(), err
	})
	return reply, err
}

// call sends a call to the newest known holder of a duty and retries it while there is
// no holder or the holder does not answer.
func (c *Client) call(ctx context.Context, duty string, invoke func(peerpb.StepClient) (*peerpb.Refusal, error)) error {
	deadline := time.Now().Add(c.HolderTimeout)
	backoff := minBackoff
	for {
		err := c.tryCall(duty, invoke)
		if err == nil || !isRetryable(err) || time.Now().Add(backoff).After(deadline) || !pause.For(ctx, backoff) {
			return err
		}
		backoff = min(2*backoff, retryAfter)
	}
}

func (c *Client) tryCall(duty string, invoke func(peerpb.StepClient) (*peerpb.Refusal, error)) error {
	location, ok := c.Locate(duty)
	if !ok {
		return refusal.NotRun(http.StatusServiceUnavailable, codeNoHolder, "no process holds %s yet", duty).WithRetryAfter(retryAfter)
	}
	client, err := c.Peers.Client(location.Address())
	if err != nil {
		return holderUnreachableError(duty)
	}
	refused, err := invoke(client)
	switch {
	case err != nil:
		return holderUnreachableError(duty)
	case refused != nil:
		return refusal.FromMessage(refused)
	default:
		return nil
	}
}

func holderUnreachableError(duty string) error {
	return refusal.Unknown(http.StatusServiceUnavailable, codeHolderUnreachable, "the holder of %s gave no answer, send the same again", duty).WithRetryAfter(retryAfter)
}

func isRetryable(err error) bool {
	code := refusal.Of(err).Code
	return code == codeNoHolder || code == codeHolderUnreachable
}
