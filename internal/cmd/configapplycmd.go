package cmd

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/operator"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
)

const (
	maxApplyAttempts    = 3
	inForcePollInterval = 200 * time.Millisecond
)

// configApplyCmd replaces both lists.
type configApplyCmd struct {
	entryFlags
	listFiles
	outputFlag
	Base uint64        `required:"" help:"Number of the lists that the edit is based on, as config show and config diff print it; 0 for the first."`
	Wait time.Duration `default:"15s" help:"Longest wait until the lists are in force at every entry."`
}

// NotInForceError reports that accepted lists are not in force at every entry yet.
type NotInForceError struct {
	Revision uint64
	// Missing is the number of entries without the revision.
	Missing int
}

// Error gives the revision and the number of entries.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but not yet in force at %d entries", e.Revision, e.Missing)
}

// Help gives an example.
func (configApplyCmd) Help() string {
	return "Example:\n  bramleyhatch config apply --base 12\n\n" +
		"If the lists have changed since, nothing is applied and the differences\n" +
		"to the current lists are printed."
}

// Run applies the lists and prints at which entries they are in force.
func (c *configApplyCmd) Run(out *streams) error {
	wanted, err := c.read()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := c.put(client, wanted)
	var refused *operator.Error
	if errors.As(err, &refused) && refused.Status == http.StatusConflict {
		printConflict(out.stderr, refused.Problem, wanted)
	}
	if err != nil {
		return err
	}
	entries, missing := waitInForce(client, reply.GetRevision(), c.Wait)
	if err := c.print(out.stdout, reply, entries); err != nil {
		return err
	}
	if missing > 0 {
		return &NotInForceError{Revision: reply.GetRevision(), Missing: missing}
	}
	return nil
}

// put retries the edit if its outcome is unknown: the edit's identity keeps it from
// being applied twice.
func (c *configApplyCmd) put(client *operator.Client, wanted *listpb.Config) (*operatorpb.ChangeReply, error) {
	request := operatorpb.PutRequest_builder{
		Base:     c.Base,
		Accounts: wanted.GetAccounts(),
		Plans:    wanted.GetPlans(),
		Pools:    wanted.GetPools(),
		Id:       rand.Text(),
	}.Build()
	var reply *operatorpb.ChangeReply
	var err error
	for range maxApplyAttempts {
		reply, err = client.Put(context.Background(), request)
		if !isUncertain(err) {
			break
		}
	}
	return reply, err
}

func (c *configApplyCmd) print(w io.Writer, reply *operatorpb.ChangeReply, entries []*operatorpb.Force) error {
	if c.isJSON() {
		return printMessage(w, operatorpb.StatusReply_builder{Force: entries}.Build())
	}
	fmt.Fprintf(w, "lists %d accepted at revision %d\n", reply.GetLists(), reply.GetRevision())
	return printInForce(w, entries, reply.GetRevision())
}

func isUncertain(err error) bool {
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return true
	}
	var refused *operator.Error
	return errors.As(err, &refused) && refused.Status == http.StatusGatewayTimeout
}

// waitInForce polls the entries until each has the revision, or the wait is over.
func waitInForce(client *operator.Client, revision uint64, wait time.Duration) ([]*operatorpb.Force, int) {
	deadline := time.Now().Add(wait)
	for {
		reply, err := client.RevisionsInForce(context.Background())
		missing := countMissing(reply.GetProcesses(), revision)
		if err != nil {
			missing = 1
		}
		if missing == 0 || time.Now().After(deadline) {
			return reply.GetProcesses(), missing
		}
		time.Sleep(inForcePollInterval)
	}
}

func countMissing(entries []*operatorpb.Force, revision uint64) int {
	missing := 0
	for _, entry := range entries {
		if entry.GetRevision() < revision {
			missing++
		}
	}
	return missing
}

func printInForce(w io.Writer, entries []*operatorpb.Force, revision uint64) error {
	var rows []row
	for _, entry := range entries {
		state := "in force"
		if entry.GetRevision() < revision {
			state = "not yet"
		}
		if entry.GetProblem() != "" {
			state = "no answer: " + entry.GetProblem()
		}
		rows = append(rows, row{entry.GetProcess(), entry.GetZone(), strconv.FormatUint(entry.GetRevision(), 10), state})
	}
	return printTable(w, row{"ENTRY", "ZONE", "REVISION", "STATE"}, rows)
}

func printConflict(w io.Writer, problem *operatorpb.Problem, wanted *listpb.Config) {
	current := problem.GetPresent()
	fmt.Fprintf(w, "lists %d (revision %d) are accepted now; your files differ from them by:\n", current.GetLists(), problem.GetRevision())
	for _, change := range lists.Diff(current, wanted) {
		fmt.Fprintln(w, change)
	}
}
