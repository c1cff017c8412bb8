package cmd

import (
	"context"
	"fmt"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
)

// drainCmd drains a backend server or an entry.
type drainCmd struct {
	entryFlags
	Name   string `arg:"" help:"Backend server, or process."`
	Resume bool   `help:"Take work again."`
}

// RefusedError says that a process refused what an operator asked.
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

// Run tells the process.
func (d *drainCmd) Run(c *config) error {
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
		state = "takes work again"
	}
	fmt.Fprintf(c.stdout, "%s %s\n", reply.GetProcess(), state)
	return nil
}
