package cmd

import (
	"strings"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/authority"
)

// certificatesCmd writes certificates for tests and trials.
type certificatesCmd struct {
	Folder string   `arg:"" type:"existingdir" help:"Folder to write the files to."`
	Names  []string `arg:"" help:"Processes as NAME:ROLE, where ROLE is entry or sidecar."`
}

func (certificatesCmd) Help() string {
	return "Example:\n  standin certificates /tmp/keys e1:entry s1:sidecar"
}

// Run writes authority.pem, and NAME.pem and NAME.key for each process.
func (c *certificatesCmd) Run() error {
	standIn := &authority.Authority{Folder: c.Folder}
	if err := standIn.Init(); err != nil {
		return err
	}
	for _, pair := range c.Names {
		name, role, _ := strings.Cut(pair, ":")
		if err := standIn.Issue(name, role); err != nil {
			return err
		}
	}
	return nil
}
