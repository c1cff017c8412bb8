package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
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
func (e *entryCmd) Run() error {
	var loaded settingspb.Entry
	if err := settings.Load(e.Settings, &loaded); err != nil {
		return err
	}
	ctx, end := stopContext()
	defer end()
	entry := &bramleyhatch.Entry{Settings: &loaded}
	return entry.Run(ctx)
}
