package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/logging"
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
func (e *entryCmd) Run(c *config) error {
	var loaded settingspb.Entry
	if err := settings.Load(e.Settings, &loaded); err != nil {
		return err
	}
	stopLog, err := logging.Start(c.stdout)
	if err != nil {
		return err
	}
	defer stopLog()
	ctx, end := stopContext()
	defer end()
	go watchSettings(ctx, e.Settings, &loaded)
	entry := &bramleyhatch.Entry{Settings: &loaded}
	return entry.Run(ctx)
}
