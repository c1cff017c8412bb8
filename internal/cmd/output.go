package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const outputJSON = "json"

// outputFlag chooses how a command prints its data.
type outputFlag struct {
	Output string `enum:"table,json" default:"table" help:"How to print: table or json."`
}

// row is one line of a table.
type row []string

func (o *outputFlag) isJSON() bool { return o.Output == outputJSON }

func printTable(w io.Writer, header row, rows []row) error {
	writer := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, cells := range rows {
		fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
	return eris.Wrap(writer.Flush(), "print table")
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "print JSON")
}

// printMessage prints a message as JSON. protojson varies its white space; printJSON
// reindents it, so that the output is stable.
func printMessage(w io.Writer, message proto.Message) error {
	text, err := protojson.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "print JSON")
	}
	return printJSON(w, json.RawMessage(text))
}

func formatTime(seconds int64) string {
	return time.Unix(seconds, 0).UTC().Format(time.RFC3339)
}
