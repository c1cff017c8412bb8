package bramleyhatch

import (
	"context"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

// Entry is the process on an entry host.
// Exported fields are set before Run.
type Entry struct {
	Settings *settingspb.Entry

	*Process
}

// Run serves until the context ends and all running requests have ended.
func (e *Entry) Run(ctx context.Context) error {
	e.Process = newProcess(e.Settings.GetProcess(), e.Settings.GetSecure())
	e.AddRoutes(e.healthRoutes()...)
	e.addOperators()
	e.addDuties()
	e.addCallers()
	e.addTrainers()
	return e.run(ctx, e.Settings.GetCaller())
}
