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

// statusCmd shows what an entry knows of the system.
type statusCmd struct {
	entryFlags
	outputFlag
}

// Help gives an example.
func (statusCmd) Help() string {
	return "Example:\n  bramleyhatch status --entry 10.0.0.1:8080 --output json"
}

// Run prints processes, revisions in force and holders of duties.
func (s *statusCmd) Run(c *config) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	reply, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	if s.isJSON() {
		return printMessage(c.stdout, reply)
	}
	return printStatus(c.stdout, reply)
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
	if err := printForce(w, reply.GetForce(), newest(reply.GetForce())); err != nil {
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
		plainName(process.GetRole().String(), "ROLE_"),
		plainName(process.GetState().String(), "STATE_"),
		stateReason(process),
		process.GetServer(),
		process.GetPool(),
		process.GetAddress(),
	}
}

// stateReason says why a process is in its state.
func stateReason(process *peerpb.Process) string {
	switch process.GetState() {
	case peerpb.State_STATE_SUSPECT:
		return "gives no answer"
	case peerpb.State_STATE_FAILED:
		return "gave no answer until " + formatTime(process.GetEnded())
	case peerpb.State_STATE_LEFT:
		return "stopped in good order at " + formatTime(process.GetEnded())
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

func plainName(name, prefix string) string {
	return strings.ToLower(strings.TrimPrefix(name, prefix))
}

func newest(force []*operatorpb.Force) uint64 {
	var revision uint64
	for _, one := range force {
		revision = max(revision, one.GetRevision())
	}
	return revision
}
