package cmd

import (
	"strings"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/authority"
)

// certificatesCmd writes certificates for trials.
type certificatesCmd struct {
	Folder string   `arg:"" type:"existingdir" help:"Folder for the files."`
	Names  []string `arg:"" help:"Processes as NAME:ROLE, ROLE being entry or sidecar."`
}

// Help gives an example.
func (certificatesCmd) Help() string {
	return "Example:\n  standin certificates /tmp/keys e1:entry s1:sidecar"
}

// Run writes authority.pem, and NAME.pem and NAME.key of each process.
func (c *certificatesCmd) Run() error {
	stand := &authority.Authority{Folder: c.Folder}
	if err := stand.Init(); err != nil {
		return err
	}
	for _, pair := range c.Names {
		name, role, _ := strings.Cut(pair, ":")
		if err := stand.Issue(name, role); err != nil {
			return err
		}
	}
	return nil
}
