package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/logging"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

// keeperCmd runs a keeper.
type keeperCmd struct {
	Settings string `required:"" type:"existingfile" env:"BRAMLEYHATCH_SETTINGS" help:"Settings file of the keeper."`
}

// Help gives an example.
func (keeperCmd) Help() string {
	return "Example:\n  bramleyhatch keeper --settings keeper.ini"
}

// Run serves until SIGTERM or SIGINT.
func (k *keeperCmd) Run(c *config) error {
	var loaded settingspb.Keeper
	if err := settings.Load(k.Settings, &loaded); err != nil {
		return err
	}
	stopLog, err := logging.Start(c.stdout)
	if err != nil {
		return err
	}
	defer stopLog()
	ctx, end := stopContext()
	defer end()
	go watchSettings(ctx, k.Settings, &loaded)
	process := &bramleyhatch.Keeper{Settings: &loaded}
	return process.Run(ctx)
}
