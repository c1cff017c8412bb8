package cmd

import (
	"context"
	"strconv"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/statepb"
)

// usageCmd shows closed usage windows.
type usageCmd struct {
	entryFlags
	outputFlag
	Window string `help:"Start of a window, in seconds since 1970 UTC or as 2026-01-31T12:00:00Z; all windows if not given."`
}

// Help gives an example.
func (usageCmd) Help() string {
	return "Example:\n  bramleyhatch usage --entry 10.0.0.1:8080 --window 2026-01-31T12:00:00Z --output json"
}

// Run prints the figures in the store, which equal the reported figures.
func (u *usageCmd) Run(out *streams) error {
	start, err := parseWindow(u.Window)
	if err != nil {
		return err
	}
	client, err := u.client()
	if err != nil {
		return err
	}
	reply, err := client.Usage(context.Background(), start)
	if err != nil {
		return err
	}
	if u.isJSON() {
		return printMessage(out.stdout, reply)
	}
	return printTable(out.stdout,
		row{"WINDOW", "STATE", "ACCOUNT", "POOL", "REQUESTS", "PROMPT", "OUTPUT", "LATE FROM"}, usageRows(reply))
}

func parseWindow(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if seconds, err := strconv.ParseInt(text, 10, 64); err == nil {
		return seconds, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, &UsageError{Problem: "--window: " + strconv.Quote(text) + " is neither seconds since 1970 nor a time such as 2026-01-31T12:00:00Z"}
	}
	return at.Unix(), nil
}

func usageRows(reply *operatorpb.UsageReply) []row {
	var rows []row
	for _, window := range reply.GetWindows() {
		state := "closed"
		if window.GetReported() {
			state = "reported"
		}
		if len(window.GetFigures()) == 0 {
			rows = append(rows, row{formatTime(window.GetStart()), state, "none"})
		}
		for _, figure := range window.GetFigures() {
			rows = append(rows, figureRow(window, state, figure))
		}
	}
	return rows
}

func figureRow(window *statepb.Window, state string, figure *statepb.Figure) row {
	late := ""
	if figure.GetLate() != 0 {
		late = formatTime(figure.GetLate())
	}
	return row{
		formatTime(window.GetStart()),
		state,
		figure.GetAccount(),
		figure.GetPool(),
		strconv.FormatUint(figure.GetRequests(), 10),
		strconv.FormatUint(figure.GetPromptTokens(), 10),
		strconv.FormatUint(figure.GetOutputTokens(), 10),
		late,
	}
}
