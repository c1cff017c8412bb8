package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/logging"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

// sidecarCmd runs a sidecar.
type sidecarCmd struct {
	Settings string `required:"" type:"existingfile" help:"Settings file of the sidecar."`
}

// Help gives an example.
func (sidecarCmd) Help() string {
	return "Example:\n  bramleyhatch sidecar --settings sidecar.ini"
}

// Run serves until SIGTERM or SIGINT, then drains.
func (s *sidecarCmd) Run(c *config) error {
	var loaded settingspb.Sidecar
	if err := settings.Load(s.Settings, &loaded); err != nil {
		return err
	}
	stopLog, err := logging.Start(c.stdout)
	if err != nil {
		return err
	}
	defer stopLog()
	ctx, end := stopContext()
	defer end()
	go watchSettings(ctx, s.Settings, &loaded)
	sidecar := &bramleyhatch.Sidecar{Settings: &loaded}
	return sidecar.Run(ctx)
}
