package bramleyhatch

import (
	"context"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/sidecar"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// Entry is the process on an entry host.
// Exported fields are set before Run.
type Entry struct {
	Settings *settingspb.Entry

	*Process

	platform *platform.Client
	view     *lists.View
	pool     *sidecar.Pool
	ledger   *usage.Ledger
}

// Run serves until the context ends and all running requests have ended.
func (e *Entry) Run(ctx context.Context) error {
	e.Process = newProcess(e.Settings.GetProcess(), e.Settings.GetSecure())
	if err := e.loadIdentity(); err != nil {
		return err
	}
	e.platform = newPlatform(e.Settings.GetPlatform())
	e.view = &lists.View{}
	e.addMembers(peerpb.Role_ROLE_ENTRY, nil, e.Settings.GetMember(), e.platform)
	e.pool = &sidecar.Pool{
		Members:     e.members,
		Credentials: e.credentials(),
		Decisions:   e.Decisions,
		ReadTimeout: e.Settings.GetCaller().GetSilence().AsDuration(),
	}
	e.AddRoutes(e.healthRoutes()...)
	if err := e.addOperators(); err != nil {
		return err
	}
	e.addDuties()
	e.addCallers()
	e.addTrainers()
	return e.run(ctx, e.Settings.GetCaller())
}

func newPlatform(settings *settingspb.Platform) *platform.Client {
	return platform.NewClient(settings.GetAddress(), settings.GetTimeout().AsDuration())
}
