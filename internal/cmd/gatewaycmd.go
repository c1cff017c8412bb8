package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/logging"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

// gatewayCmd runs a gateway.
type gatewayCmd struct {
	Settings string `required:"" type:"existingfile" env:"BRAMLEYHATCH_SETTINGS" help:"Settings file of the gateway."`
}

// Help gives an example.
func (gatewayCmd) Help() string {
	return "Example:\n  bramleyhatch gateway --settings gateway.ini"
}

// Run serves until SIGTERM or SIGINT, then drains.
func (g *gatewayCmd) Run(c *config) error {
	var loaded settingspb.Gateway
	if err := settings.Load(g.Settings, &loaded); err != nil {
		return err
	}
	stopLog, err := logging.Start(c.stdout)
	if err != nil {
		return err
	}
	defer stopLog()
	ctx, end := stopContext()
	defer end()
	go watchSettings(ctx, g.Settings, &loaded)
	process := &bramleyhatch.Gateway{Settings: &loaded}
	return process.Run(ctx)
}
