package rollout

import (
	"context"
	"net/http"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pause"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
)

// Codes of refusals after which the same call is sent again.
const (
	codeNoHolder    = "no_holder"
	codeUnreachable = "holder_unreachable"
)

// Location is the process that holds a duty.
type Location struct {
	process string
	address string
}

// NewLocation returns a process and its peer address.
func NewLocation(process, address string) *Location {
	return &Location{process: process, address: address}
}

// Address returns the peer address.
func (l *Location) Address() string { return l.address }

// Process returns the name.
func (l *Location) Process() string { return l.process }

// TrainerDuty returns the name of the duty that runs a trainer's steps.
func TrainerDuty(trainer string) string { return "trainer/" + trainer }

// WeightDuty returns the name of the duty that orders a model's weights.
func WeightDuty(model string) string { return "weight/" + model }

// Client passes a trainer's calls on to the process that holds its steps. Any
// entry can take them. Each call is idempotent, so while the duty changes hands
// the client sends it again, and the trainer sees no failure.
// Exported fields are set before the first call.
type Client struct {
	Locate func(duty string) (*Location, bool)
	Peers  *Peers
	// HolderTimeout is how long a call waits for a holder.
	HolderTimeout time.Duration
}

// Announce tells the holder of the trainer's steps of a newer version, then
// whoever orders the samplers of its model.
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

// Pull acknowledges what comes before a place and returns the samples from it on.
func (c *Client) Pull(ctx context.Context, request *peerpb.PullRequest) (reply *peerpb.PullReply, err error) {
	err = c.call(ctx, TrainerDuty(request.GetTrainer()), func(client peerpb.StepClient) (*peerpb.Refusal, error) {
		reply, err = client.Pull(ctx, request)
		return reply.GetRefusal(), err
	})
	return reply, err
}

// call sends a call to the holder of a duty, again and to the newest known one
// as long as there is none or it gives no answer.
func (c *Client) call(ctx context.Context, duty string, send func(peerpb.StepClient) (*peerpb.Refusal, error)) error {
	end := time.Now().Add(c.HolderTimeout)
	gap := leastPause
	for {
		err := c.try(duty, send)
		if err == nil || !mayTryAgain(err) || time.Now().Add(gap).After(end) || !pause.For(ctx, gap) {
			return err
		}
		gap = min(2*gap, retry)
	}
}

func (c *Client) try(duty string, send func(peerpb.StepClient) (*peerpb.Refusal, error)) error {
	location, ok := c.Locate(duty)
	if !ok {
		return refusal.NotRun(http.StatusServiceUnavailable, codeNoHolder, "no process holds %s yet", duty).WithRetryAfter(retry)
	}
	client, err := c.Peers.Client(location.Address())
	if err != nil {
		return unreachable(duty)
	}
	refused, err := send(client)
	switch {
	case err != nil:
		return unreachable(duty)
	case refused != nil:
		return refusal.FromMessage(refused)
	default:
		return nil
	}
}

func unreachable(duty string) error {
	return refusal.Unknown(http.StatusServiceUnavailable, codeUnreachable, "the holder of %s gave no answer, send the same again", duty).WithRetryAfter(retry)
}

func mayTryAgain(err error) bool {
	code := refusal.Of(err).Code
	return code == codeNoHolder || code == codeUnreachable
}
