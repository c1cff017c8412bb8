package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/member"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

const (
	// minHashPrefix prevents a short hash prefix from matching an unintended key.
	minHashPrefix = 8
	dutyPrefix    = "duty/"
)

// NotFoundError is returned when no object has the name that an operator gave.
type NotFoundError struct {
	Name string
}

// Error returns the unknown name in quotes.
func (e *NotFoundError) Error() string { return "nothing is known as " + strconv.Quote(e.Name) }

// NotReadyError is returned instead of a NotFoundError while this process doesn't know the
// state that holds the name. The command has changed nothing and may be repeated.
type NotReadyError struct {
	Problem string
}

// Error returns the problem.
func (e *NotReadyError) Error() string { return e.Problem }

// config returns the configuration in the store, or the configuration in force at this
// process while the store is unavailable.
func (s *Server) config(ctx context.Context, _ string, _ *http.Request) (proto.Message, error) {
	config, revision, err := s.Editor.Config(ctx)
	if err == nil {
		return operatorpb.ConfigReply_builder{Config: config, Revision: revision}.Build(), nil
	}
	config, revision = s.View.Config()
	if config == nil {
		return nil, err
	}
	klog.Warningf("operator: reading the configuration from the store failed; returning the lists in force at this process: %v", err)
	return operatorpb.ConfigReply_builder{Config: config, Revision: revision}.Build(), nil
}

func (s *Server) put(ctx context.Context, operator string, r *http.Request) (proto.Message, error) {
	request := &operatorpb.PutRequest{}
	if err := readBody(r, request); err != nil {
		return nil, err
	}
	wanted := listpb.Config_builder{
		Accounts: request.GetAccounts(),
		Plans:    request.GetPlans(),
		Pools:    request.GetPools(),
	}.Build()
	edit := lists.Edit{Base: request.GetBase(), Lists: wanted, Operator: operator, ID: request.GetId()}
	config, revision, err := s.Editor.Put(ctx, edit)
	if err != nil {
		return nil, err
	}
	return operatorpb.ChangeReply_builder{Revision: revision, Lists: config.GetLists(), Stored: true}.Build(), nil
}

func (s *Server) revisionsInForce(ctx context.Context, _ string, _ *http.Request) (proto.Message, error) {
	return operatorpb.ForceReply_builder{Processes: s.Peers.RevisionsInForce(ctx, peerpb.Role_ROLE_ENTRY)}.Build(), nil
}

func (s *Server) grant(ctx context.Context, operator string, r *http.Request) (proto.Message, error) {
	request := &operatorpb.GrantRequest{}
	if err := readBody(r, request); err != nil {
		return nil, err
	}
	revision, err := s.Editor.Grant(ctx, request.GetHash(), request.GetAccount(), operator)
	if err != nil {
		return nil, err
	}
	return operatorpb.ChangeReply_builder{Revision: revision, Stored: true}.Build(), nil
}

// withdraw revokes the key here and, by gossip, at all processes before it
// updates the store, so that a store outage doesn't keep a leaked key valid.
func (s *Server) withdraw(ctx context.Context, operator string, r *http.Request) (proto.Message, error) {
	request := &operatorpb.WithdrawRequest{}
	if err := readBody(r, request); err != nil {
		return nil, err
	}
	hash, err := s.completeHash(request.GetHash())
	if err != nil {
		return nil, err
	}
	withdrawal := peerpb.Withdrawal_builder{Key: hash, Operator: operator, Time: time.Now().Unix()}.Build()
	s.Members.Withdraw(withdrawal)
	revision, err := s.Editor.Withdraw(ctx, []*peerpb.Withdrawal{withdrawal})
	if err != nil {
		klog.Warningf("operator: storing a withdrawal failed; it is in force but not stored yet: %v", err)
		return operatorpb.ChangeReply_builder{}.Build(), nil
	}
	return operatorpb.ChangeReply_builder{Revision: revision, Stored: true}.Build(), nil
}

// completeHash returns the hash of the only known key whose hash starts with the
// prefix.
func (s *Server) completeHash(prefix string) (string, error) {
	prefix = strings.ToLower(prefix)
	if len(prefix) == hashLength && strings.Trim(prefix, "0123456789abcdef") == "" {
		return prefix, nil
	}
	if len(prefix) < minHashPrefix {
		return "", &lists.InvalidError{Problem: "give at least 8 digits of the key's hash"}
	}
	config, _ := s.View.Config()
	if config == nil {
		return "", &NotReadyError{Problem: "no configuration is known yet: give the whole hash of the key, or try again"}
	}
	var matches []string
	for _, key := range config.GetKeys() {
		if strings.HasPrefix(key.GetHash(), prefix) {
			matches = append(matches, key.GetHash())
		}
	}
	switch len(matches) {
	case 0:
		return "", &NotFoundError{Name: prefix}
	case 1:
		return matches[0], nil
	default:
		return "", &lists.InvalidError{Problem: "several keys start with " + prefix}
	}
}

func (s *Server) status(ctx context.Context, _ string, _ *http.Request) (proto.Message, error) {
	now := time.Now()
	reply := operatorpb.StatusReply_builder{
		Isolated: s.Members.IsIsolated(now),
		StoreAge: s.Members.StoreAge(now).Milliseconds(),
	}.Build()
	reply.SetProcesses(s.Members.All())
	reply.SetServers(s.servers())
	reply.SetForce(s.Peers.RevisionsInForce(ctx, peerpb.Role_ROLE_ENTRY))
	holders, err := s.holders(ctx)
	if err != nil {
		reply.SetProblem(err.Error())
	}
	reply.SetHolders(holders)
	return reply, nil
}

// servers returns the backend servers of all pools according to the fleet facts.
func (s *Server) servers() []*statepb.Server {
	var found []*statepb.Server
	for _, fact := range s.Members.Facts(member.FactFleet) {
		fleet := &statepb.Fleet{}
		if err := proto.Unmarshal(fact.GetValue(), fleet); err != nil {
			klog.Warningf("operator: decoding fleet fact %s failed: %v", fact.GetName(), err)
			continue
		}
		found = append(found, fleet.GetServers()...)
	}
	return found
}

func (s *Server) holders(ctx context.Context) ([]*operatorpb.Holder, error) {
	listed, err := s.Store.List(ctx, dutyPrefix)
	if err != nil {
		return nil, err
	}
	var found []*operatorpb.Holder
	for _, value := range listed.Values {
		holder, err := duty.ParseHolder(value)
		if err != nil {
			klog.Warningf("operator: decoding duty holder %s failed: %v", value.Key, err)
			continue
		}
		found = append(found, operatorpb.Holder_builder{
			Duty:    strings.TrimPrefix(value.Key, dutyPrefix),
			Process: holder.GetProcess(),
			Fence:   holder.GetFence(),
			Since:   holder.GetSince(),
		}.Build())
	}
	return found, nil
}

func (s *Server) explain(ctx context.Context, _ string, r *http.Request) (proto.Message, error) {
	id := r.URL.Query().Get("id")
	if id == "" {
		return nil, &lists.InvalidError{Problem: "no identity given"}
	}
	decisions, silent := s.Peers.Explain(ctx, id)
	slices.SortStableFunc(decisions, func(a, b *peerpb.Decision) int { return cmp.Compare(a.GetTime(), b.GetTime()) })
	return operatorpb.ExplainReply_builder{Decisions: decisions, Silent: silent}.Build(), nil
}

func (s *Server) drain(ctx context.Context, operator string, r *http.Request) (proto.Message, error) {
	request := &operatorpb.DrainRequest{}
	if err := readBody(r, request); err != nil {
		return nil, err
	}
	process := findProcess(s.Members, request.GetName())
	if process == nil {
		return nil, s.processNotFound(request.GetName())
	}
	refusal, err := s.Peers.Drain(ctx, process, operator, request.GetResume())
	if err != nil {
		return nil, err
	}
	return operatorpb.DrainReply_builder{Process: process.GetName(), Refusal: refusal}.Build(), nil
}

// processNotFound returns the error for the name of an unknown process. A process that has
// just started knows only itself until the first exchange with another one.
func (s *Server) processNotFound(name string) error {
	if len(s.Members.All()) <= 1 {
		return &NotReadyError{Problem: "no other process is known yet, try again"}
	}
	return &NotFoundError{Name: name}
}

// findProcess returns the process with the name, or the process of the backend server
// with the name, or nil.
func findProcess(members *member.Members, name string) *peerpb.Process {
	for _, role := range []peerpb.Role{peerpb.Role_ROLE_ENTRY, peerpb.Role_ROLE_SIDECAR} {
		for _, process := range members.Processes(role) {
			if process.GetName() == name || (name != "" && process.GetServer() == name) {
				return process
			}
		}
	}
	return nil
}
