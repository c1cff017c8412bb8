package rollout

import (
	"context"
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/refusal"
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
// entry can take them. Exported fields are set before the first call.
type Client struct {
	Locate func(duty string) (*Location, bool)
	Peers  *Peers
}

// Announce tells the holder of the trainer's steps of a newer version, then
// whoever orders the samplers of its model.
func (c *Client) Announce(ctx context.Context, request *peerpb.AnnounceRequest) error {
	for _, duty := range []string{TrainerDuty(request.GetTrainer()), WeightDuty(request.GetModel())} {
		client, err := c.holder(duty)
		if err != nil {
			return err
		}
		request.SetDuty(duty)
		reply, err := client.Announce(ctx, request)
		if err := answered(duty, reply.GetRefusal(), err); err != nil {
			return err
		}
	}
	return nil
}

// Open opens a step.
func (c *Client) Open(ctx context.Context, request *peerpb.OpenRequest) (*peerpb.OpenReply, error) {
	duty := TrainerDuty(request.GetTrainer())
	client, err := c.holder(duty)
	if err != nil {
		return nil, err
	}
	reply, err := client.Open(ctx, request)
	return reply, answered(duty, reply.GetRefusal(), err)
}

// Pull acknowledges what comes before a place and returns the samples from it on.
func (c *Client) Pull(ctx context.Context, request *peerpb.PullRequest) (*peerpb.PullReply, error) {
	duty := TrainerDuty(request.GetTrainer())
	client, err := c.holder(duty)
	if err != nil {
		return nil, err
	}
	reply, err := client.Pull(ctx, request)
	return reply, answered(duty, reply.GetRefusal(), err)
}

func (c *Client) holder(duty string) (peerpb.StepClient, error) {
	location, ok := c.Locate(duty)
	if !ok {
		return nil, refusal.NotRun(http.StatusServiceUnavailable, "no_holder", "no process holds %s yet", duty).After(retry)
	}
	return c.Peers.Client(location.Address())
}

// answered turns what came of a call into an error. All calls of trainers may
// be sent again, so a lost answer costs no more than that.
func answered(duty string, refused *peerpb.Refusal, err error) error {
	switch {
	case err != nil:
		return refusal.Unknown(http.StatusServiceUnavailable, "holder_unreachable", "the holder of %s gave no answer, send the same again", duty).After(retry)
	case refused != nil:
		return refusal.FromMessage(refused)
	default:
		return nil
	}
}
