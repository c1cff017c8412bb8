package cmd

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/operator"
	"github.com/bramleyhatch/bramleyhatch/internal/secure"
)

// entryFlags name the entry that a command speaks to and the operator's token.
type entryFlags struct {
	Entry     string        `required:"" env:"BRAMLEYHATCH_ENTRY" placeholder:"ADDRESS" help:"Callers' address of any entry."`
	Token     string        `required:"" env:"BRAMLEYHATCH_TOKEN" help:"Operator's token; better given by the environment, since others can read arguments."`
	Authority string        `type:"existingfile" env:"BRAMLEYHATCH_AUTHORITY" help:"PEM file of the authority that signed the entry's certificate for callers; the system's authorities if not given."`
	Timeout   time.Duration `default:"15s" help:"Longest wait for an answer of the entry."`
}

func (f *entryFlags) client() (*operator.Client, error) {
	if f.Authority == "" {
		return operator.NewClient(f.Entry, f.Token, f.Timeout, nil), nil
	}
	config, err := secure.OperatorTLSConfig(f.Authority)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(f.Entry, f.Token, f.Timeout, config), nil
}
