package cmd

import (
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
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
func (s *sidecarCmd) Run(out *streams) error {
	var loaded settingspb.Sidecar
	process := &bramleyhatch.Sidecar{Settings: &loaded}
	return runProcess(out, s.Settings, &loaded, process.Run)
}
