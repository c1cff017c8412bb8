package cmd

import (
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/operator"
)

// entryFlags name the entry that a command speaks to and the operator's token.
type entryFlags struct {
	Entry   string        `required:"" env:"BRAMLEYHATCH_ENTRY" placeholder:"ADDRESS" help:"Callers' address of any entry."`
	Token   string        `required:"" env:"BRAMLEYHATCH_TOKEN" help:"Operator's token; better given by the environment, since others can read arguments."`
	Timeout time.Duration `default:"15s" help:"Longest wait for an answer of the entry."`
}

func (f *entryFlags) client() *operator.Client {
	return operator.NewClient(f.Entry, f.Token, f.Timeout)
}
