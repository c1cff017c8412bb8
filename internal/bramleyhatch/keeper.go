package bramleyhatch

import (
	"context"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

// Keeper is the process on a host with a disk. Exported fields are set before Run.
type Keeper struct {
	Settings *settingspb.Keeper

	*Process
}

// Run serves until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	k.Process = newProcess(k.Settings.GetProcess(), &settingspb.Secure{})
	return k.run(ctx, nil)
}
