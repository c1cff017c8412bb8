package member

import (
	"context"

	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
)

// Drain sets this entry to draining, or back to live if the request resumes it.
func (e *Exchanger) Drain(_ context.Context, request *peerpb.DrainRequest) (*peerpb.DrainReply, error) {
	state := peerpb.State_STATE_DRAINING
	if request.GetResume() {
		state = peerpb.State_STATE_LIVE
	}
	klog.Infof("member: operator %s sets the state to %s", request.GetOperator(), state)
	e.Members.SetState(state)
	return &peerpb.DrainReply{}, nil
}

// Explain returns the decisions that this process recorded for an identity.
func (e *Exchanger) Explain(_ context.Context, request *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	reply := &peerpb.ExplainReply{}
	if e.Decisions == nil {
		return reply, nil
	}
	name := e.Members.Self().GetName()
	for _, entry := range e.Decisions.Find(request.GetId()) {
		decision := peerpb.Decision_builder{
			Process: name,
			Time:    entry.Time().UnixNano(),
			Part:    entry.Part(),
			Text:    entry.Text(),
		}.Build()
		reply.SetDecisions(append(reply.GetDecisions(), decision))
	}
	return reply, nil
}

// Status returns this process's record and the revisions of the facts in force here.
func (e *Exchanger) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	return peerpb.StatusReply_builder{Process: e.Members.Self(), Facts: e.Members.Digest()}.Build(), nil
}
