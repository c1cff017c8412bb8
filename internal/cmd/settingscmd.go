package cmd

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

// settingsCmd groups the commands for settings files.
type settingsCmd struct {
	Check     settingsCheckCmd     `cmd:"" help:"Check a settings file without running anything."`
	Reference settingsReferenceCmd `cmd:"" help:"Print the reference page of all settings."`
}

// settingsCheckCmd checks one settings file.
type settingsCheckCmd struct {
	Kind string `arg:"" enum:"entry,sidecar,gateway,keeper" help:"Kind of process: entry, sidecar, gateway or keeper."`
	File string `arg:"" type:"existingfile" help:"Settings file."`
}

// Help gives an example.
func (settingsCheckCmd) Help() string {
	return "Example:\n  bramleyhatch settings check entry entry.ini"
}

// Run prints each fault with file, section and key.
func (s *settingsCheckCmd) Run(out *streams) error {
	message := map[string]proto.Message{
		"entry":   &settingspb.Entry{},
		"sidecar": &settingspb.Sidecar{},
		"gateway": &settingspb.Gateway{},
		"keeper":  &settingspb.Keeper{},
	}[s.Kind]
	if err := settings.Load(s.File, message); err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "%s: no faults\n", s.File)
	return nil
}

// settingsReferenceCmd prints all settings with defaults and bounds.
type settingsReferenceCmd struct{}

// Help gives an example.
func (settingsReferenceCmd) Help() string {
	return "Example:\n  bramleyhatch settings reference > docs/reference/settings.md"
}

// Run prints the page in Markdown.
func (settingsReferenceCmd) Run(out *streams) error {
	fmt.Fprint(out.stdout, "# Settings\n\nGenerated from the schema by `bramleyhatch settings reference`.\n\n")
	fmt.Fprint(out.stdout, settings.Reference("Entry", &settingspb.Entry{}))
	fmt.Fprint(out.stdout, "\n"+settings.Reference("Sidecar", &settingspb.Sidecar{}))
	fmt.Fprint(out.stdout, "\n"+settings.Reference("Gateway", &settingspb.Gateway{}))
	fmt.Fprint(out.stdout, "\n"+settings.Reference("Keeper", &settingspb.Keeper{}))
	return nil
}
