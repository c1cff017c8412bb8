package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

// entryCmd runs an entry.
type entryCmd struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the entry."`
}

// Help gives an example.
func (entryCmd) Help() string {
	return "Example:\n  bramleyhatch entry --settings entry.ini"
}

// Run serves until SIGTERM or SIGINT, then drains.
func (e *entryCmd) Run(out *streams) error {
	var loaded settingspb.Entry
	process := &bramleyhatch.Entry{Settings: &loaded}
	return runProcess(out, e.Settings, &loaded, process.Run)
}
