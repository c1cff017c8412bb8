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
	applyTries = 3
	forcePause = 200 * time.Millisecond
)

// configApplyCmd replaces both lists.
type configApplyCmd struct {
	entryFlags
	listFiles
	outputFlag
	Base uint64        `required:"" help:"Number of the lists that the edit began from, as config show and config diff print it; 0 for the first."`
	Wait time.Duration `default:"15s" help:"Longest wait until the lists are in force at every entry."`
}

// NotInForceError says that accepted lists are not in force everywhere yet.
type NotInForceError struct {
	Revision uint64
	// Missing is the number of entries without it.
	Missing int
}

// Error names the revision and the number of entries.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("revision %d is accepted, but not yet in force at %d entries", e.Revision, e.Missing)
}

// Help gives an example.
func (configApplyCmd) Help() string {
	return "Example:\n  bramleyhatch config apply --base 12\n\n" +
		"If someone else changed the lists since, nothing is changed and the\n" +
		"differences to the present lists are printed."
}

// Run applies the lists and prints where they are in force and where not yet.
func (c *configApplyCmd) Run(config *config) error {
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
		printStale(config.stderr, refused.Problem, wanted)
	}
	if err != nil {
		return err
	}
	force, missing := waitInForce(client, reply.GetRevision(), c.Wait)
	if err := c.print(config.stdout, reply, force); err != nil {
		return err
	}
	if missing > 0 {
		return &NotInForceError{Revision: reply.GetRevision(), Missing: missing}
	}
	return nil
}

// put sends the edit again if no answer came: the edit's identity keeps it
// from being applied twice.
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
	for range applyTries {
		reply, err = client.Put(context.Background(), request)
		if !isUncertain(err) {
			break
		}
	}
	return reply, err
}

func (c *configApplyCmd) print(w io.Writer, reply *operatorpb.ChangeReply, force []*operatorpb.Force) error {
	if c.isJSON() {
		return printMessage(w, operatorpb.StatusReply_builder{Force: force}.Build())
	}
	fmt.Fprintf(w, "lists %d accepted at revision %d\n", reply.GetLists(), reply.GetRevision())
	return printForce(w, force, reply.GetRevision())
}

func isUncertain(err error) bool {
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return true
	}
	var refused *operator.Error
	return errors.As(err, &refused) && refused.Status == http.StatusGatewayTimeout
}

// waitInForce asks until every entry has the revision, or the wait is over.
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
		time.Sleep(forcePause)
	}
}

func countMissing(force []*operatorpb.Force, revision uint64) int {
	missing := 0
	for _, one := range force {
		if one.GetRevision() < revision {
			missing++
		}
	}
	return missing
}

func printForce(w io.Writer, force []*operatorpb.Force, revision uint64) error {
	var rows []row
	for _, one := range force {
		state := "in force"
		if one.GetRevision() < revision {
			state = "not yet"
		}
		if one.GetProblem() != "" {
			state = "no answer: " + one.GetProblem()
		}
		rows = append(rows, row{one.GetProcess(), one.GetZone(), strconv.FormatUint(one.GetRevision(), 10), state})
	}
	return printTable(w, row{"ENTRY", "ZONE", "REVISION", "STATE"}, rows)
}

func printStale(w io.Writer, problem *operatorpb.Problem, wanted *listpb.Config) {
	present := problem.GetPresent()
	fmt.Fprintf(w, "lists %d (revision %d) are accepted now; your files differ from them by:\n", present.GetLists(), problem.GetRevision())
	for _, one := range lists.Diff(present, wanted) {
		fmt.Fprintln(w, one)
	}
}
