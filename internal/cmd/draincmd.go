package cmd

import (
	"context"
	"fmt"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
)

// drainCmd drains a backend server or an entry.
type drainCmd struct {
	entryFlags
	Name   string `arg:"" help:"Name of a backend server or process."`
	Resume bool   `help:"Accept new work again."`
}

// RefusedError reports that a process refused an operator's request.
type RefusedError struct {
	Process string
	Reason  string
}

// Error names the process and its reason.
func (e *RefusedError) Error() string { return e.Process + " refused: " + e.Reason }

// Help gives an example.
func (drainCmd) Help() string {
	return "Example:\n  bramleyhatch drain sampler-3\n  bramleyhatch drain sampler-3 --resume"
}

// Run asks the process to drain, or to accept new work again.
func (d *drainCmd) Run(out *streams) error {
	request := operatorpb.DrainRequest_builder{Name: d.Name, Resume: d.Resume}.Build()
	client, err := d.client()
	if err != nil {
		return err
	}
	reply, err := client.Drain(context.Background(), request)
	if err != nil {
		return err
	}
	if reply.HasRefusal() {
		return &RefusedError{Process: reply.GetProcess(), Reason: reply.GetRefusal().GetMessage()}
	}
	state := "drains"
	if d.Resume {
		state = "accepts new work again"
	}
	fmt.Fprintf(out.stdout, "%s %s\n", reply.GetProcess(), state)
	return nil
}
