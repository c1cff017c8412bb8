package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
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
func (k *keeperCmd) Run(out *streams) error {
	var loaded settingspb.Keeper
	process := &bramleyhatch.Keeper{Settings: &loaded}
	return runProcess(out, k.Settings, &loaded, process.Run)
}
