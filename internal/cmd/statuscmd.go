package cmd

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// statusCmd shows the state of the system as an entry knows it.
type statusCmd struct {
	entryFlags
	outputFlag
}

// Help gives an example.
func (statusCmd) Help() string {
	return "Example:\n  bramleyhatch status --entry 10.0.0.1:8080 --output json"
}

// Run prints processes, revisions in force and holders of duties.
func (s *statusCmd) Run(out *streams) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	reply, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	if s.isJSON() {
		return printMessage(out.stdout, reply)
	}
	return printStatus(out.stdout, reply)
}

func printStatus(w io.Writer, reply *operatorpb.StatusReply) error {
	var processes []row
	slices.SortStableFunc(reply.GetProcesses(), func(a, b *peerpb.Process) int { return strings.Compare(a.GetZone(), b.GetZone()) })
	for _, process := range reply.GetProcesses() {
		processes = append(processes, processRow(process))
	}
	if err := printTable(w, row{"ZONE", "PROCESS", "ROLE", "STATE", "REASON", "SERVER", "POOL", "ADDRESS"}, processes); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := printServers(w, reply.GetServers()); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := printInForce(w, reply.GetForce(), newestRevision(reply.GetForce())); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if reply.GetProblem() != "" {
		fmt.Fprintf(w, "holders of duties are not known: %s\n", reply.GetProblem())
		return nil
	}
	var holders []row
	for _, holder := range reply.GetHolders() {
		fence := strconv.FormatUint(holder.GetFence(), 10)
		holders = append(holders, row{holder.GetDuty(), holder.GetProcess(), fence, formatTime(holder.GetSince())})
	}
	return printTable(w, row{"DUTY", "HOLDER", "FENCE", "SINCE"}, holders)
}

func processRow(process *peerpb.Process) row {
	return row{
		process.GetRegion() + "/" + process.GetZone(),
		process.GetName(),
		enumName(process.GetRole().String(), "ROLE_"),
		enumName(process.GetState().String(), "STATE_"),
		stateReason(process),
		process.GetServer(),
		process.GetPool(),
		process.GetAddress(),
	}
}

// stateReason returns why a process is in its state.
func stateReason(process *peerpb.Process) string {
	switch process.GetState() {
	case peerpb.State_STATE_SUSPECT:
		return "does not answer"
	case peerpb.State_STATE_FAILED:
		return "did not answer by " + formatTime(process.GetEnded())
	case peerpb.State_STATE_LEFT:
		return "shut down cleanly at " + formatTime(process.GetEnded())
	case peerpb.State_STATE_DRAINING:
		return "asked to drain"
	default:
		return "answers"
	}
}

func printServers(w io.Writer, servers []*statepb.Server) error {
	var rows []row
	slices.SortStableFunc(servers, func(a, b *statepb.Server) int { return strings.Compare(a.GetZone(), b.GetZone()) })
	for _, server := range servers {
		rows = append(rows, row{server.GetZone(), server.GetId(), server.GetPool(), server.GetState(), formatTime(server.GetSince())})
	}
	return printTable(w, row{"ZONE", "SERVER", "POOL", "STATE", "SINCE"}, rows)
}

func enumName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}

func newestRevision(entries []*operatorpb.Force) uint64 {
	var revision uint64
	for _, entry := range entries {
		revision = max(revision, entry.GetRevision())
	}
	return revision
}
