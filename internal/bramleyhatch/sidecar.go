package bramleyhatch

import (
	"context"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
)

// Sidecar is the process beside a backend server.
// Exported fields are set before Run.
type Sidecar struct {
	Settings *settingspb.Sidecar

	*Process
}

// Run serves until the context ends and all running requests have ended.
func (s *Sidecar) Run(ctx context.Context) error {
	s.Process = newProcess(s.Settings.GetProcess(), s.Settings.GetSecure())
	s.addMembers()
	s.addUsage()
	s.addBackend()
	return s.run(ctx, nil)
}
