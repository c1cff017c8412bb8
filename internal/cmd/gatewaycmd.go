package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
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
func (g *gatewayCmd) Run(out *streams) error {
	var loaded settingspb.Gateway
	process := &bramleyhatch.Gateway{Settings: &loaded}
	return runProcess(out, g.Settings, &loaded, process.Run)
}
