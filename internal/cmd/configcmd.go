package cmd

import (
	"context"
	"fmt"
	"strconv"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
)

// configCmd groups the commands for the two lists.
type configCmd struct {
	Check   configCheckCmd   `cmd:"" help:"Check the files of the two lists without an entry."`
	Diff    configDiffCmd    `cmd:"" help:"Show what the files would change."`
	Apply   configApplyCmd   `cmd:"" help:"Replace both lists and wait until they are in force everywhere."`
	Show    configShowCmd    `cmd:"" help:"Show the accepted lists, or write them to files."`
	History configHistoryCmd `cmd:"" help:"Show who changed what."`
}

// listFiles names the files of the two lists.
type listFiles struct {
	Accounts string `default:"accounts.ini" type:"path" help:"File of the first list."`
	Plans    string `default:"plans.ini" type:"path" help:"File of the second list."`
}

func (f *listFiles) read() (*listpb.Config, error) {
	return lists.ReadFiles(f.Accounts, f.Plans)
}

// configCheckCmd checks the two files.
type configCheckCmd struct {
	listFiles
}

// Help gives an example.
func (configCheckCmd) Help() string {
	return "Example:\n  bramleyhatch config check --accounts accounts.ini --plans plans.ini"
}

// Run prints each fault with file, section and key.
func (c *configCheckCmd) Run(out *streams) error {
	checked, err := c.read()
	if err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "no faults: %d accounts, %d plans, %d pools\n",
		len(checked.GetAccounts()), len(checked.GetPlans()), len(checked.GetPools()))
	return nil
}

// configDiffCmd compares the files with the accepted lists.
type configDiffCmd struct {
	entryFlags
	listFiles
	outputFlag
}

// Help gives an example.
func (configDiffCmd) Help() string {
	return "Example:\n  bramleyhatch config diff --entry 10.0.0.1:8080"
}

// diffOutput is the JSON output of config diff.
type diffOutput struct {
	Base        uint64             `json:"base"`
	Differences []lists.Difference `json:"differences"`
}

// Run prints the differences and the number to give as --base.
func (c *configDiffCmd) Run(out *streams) error {
	wanted, err := c.read()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	current, err := client.Config(context.Background())
	if err != nil {
		return err
	}
	changes := lists.Diff(current.GetConfig(), wanted)
	base := current.GetConfig().GetLists()
	if c.isJSON() {
		return printJSON(out.stdout, diffOutput{Base: base, Differences: changes})
	}
	for _, change := range changes {
		fmt.Fprintln(out.stdout, change)
	}
	fmt.Fprintf(out.stdout, "%d differences to lists %d; apply with --base %d\n", len(changes), base, base)
	return nil
}

// configShowCmd shows the accepted lists.
type configShowCmd struct {
	entryFlags
	outputFlag
	Write string `type:"existingdir" placeholder:"FOLDER" help:"Write accounts.ini and plans.ini into this folder."`
}

// Help gives an example.
func (configShowCmd) Help() string {
	return "Example:\n  bramleyhatch config show --write ."
}

// Run prints the lists, or writes them to files.
func (c *configShowCmd) Run(out *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.Config(context.Background())
	if err != nil {
		return err
	}
	accepted := reply.GetConfig()
	if c.Write != "" {
		if err := lists.WriteFiles(c.Write, accepted); err != nil {
			return err
		}
		fmt.Fprintf(out.stdout, "wrote lists %d; apply with --base %d\n", accepted.GetLists(), accepted.GetLists())
		return nil
	}
	if c.isJSON() {
		return printMessage(out.stdout, reply)
	}
	fmt.Fprintf(out.stdout, "# lists %d, revision %d\n\n%s\n%s",
		accepted.GetLists(), reply.GetRevision(), lists.FormatAccounts(accepted), lists.FormatPlans(accepted))
	return nil
}

// configHistoryCmd shows the newest changes.
type configHistoryCmd struct {
	entryFlags
	outputFlag
}

// Help gives an example.
func (configHistoryCmd) Help() string {
	return "Example:\n  bramleyhatch config history"
}

// Run prints the newest changes, oldest first.
func (c *configHistoryCmd) Run(out *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	reply, err := client.Config(context.Background())
	if err != nil {
		return err
	}
	changes := reply.GetConfig().GetChanges()
	if c.isJSON() {
		return printMessage(out.stdout, listpb.Config_builder{Changes: changes}.Build())
	}
	var rows []row
	for _, change := range changes {
		number := strconv.FormatUint(change.GetLists(), 10)
		rows = append(rows, row{formatTime(change.GetTime()), number, change.GetOperator(), change.GetSummary()})
	}
	return printTable(out.stdout, row{"TIME", "LISTS", "OPERATOR", "CHANGE"}, rows)
}
