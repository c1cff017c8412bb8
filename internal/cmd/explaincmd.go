package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// explainCmd shows the decisions taken for an identity.
type explainCmd struct {
	entryFlags
	outputFlag
	Request string `arg:"" help:"Identity of a request, sample, order or usage window."`
}

// Help gives an example.
func (explainCmd) Help() string {
	return "Example:\n  bramleyhatch explain req-7f3a"
}

// Run prints the decisions, oldest first, and the processes that didn't answer.
func (e *explainCmd) Run(out *streams) error {
	client, err := e.client()
	if err != nil {
		return err
	}
	reply, err := client.Explain(context.Background(), e.Request)
	if err != nil {
		return err
	}
	if e.isJSON() {
		return printMessage(out.stdout, reply)
	}
	var rows []row
	for _, decision := range reply.GetDecisions() {
		at := time.Unix(0, decision.GetTime()).UTC().Format(time.RFC3339Nano)
		rows = append(rows, row{at, decision.GetProcess(), decision.GetPart(), decision.GetText()})
	}
	if len(reply.GetSilent()) > 0 {
		fmt.Fprintf(out.stderr, "no answer from %s\n", strings.Join(reply.GetSilent(), ", "))
	}
	return printTable(out.stdout, row{"TIME", "PROCESS", "PART", "DECISION"}, rows)
}
