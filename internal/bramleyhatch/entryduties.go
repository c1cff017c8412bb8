package bramleyhatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"

	"github.com/bramleyhatch/bramleyhatch/internal/duty"
	"github.com/bramleyhatch/bramleyhatch/internal/fleet"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/peerpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/usage"
)

// addDuties adds usage accounting and the duties held under leases.
func (e *Entry) addDuties() {
	e.addLedger()
	e.addReporter()
	e.addZones()
}

// addLedger adds the copies of usage counters that this entry holds for other
// processes. When the entry stops, it pushes the copies to its peers, since the
// processes that sent them may have exited.
func (e *Entry) addLedger() {
	settings := e.Settings.GetUsage()
	e.ledger = &usage.Ledger{}
	e.pool.OnCounts = e.ledger.Merge
	server := &usage.Server{Ledger: e.ledger}
	e.AddService(func(registrar grpc.ServiceRegistrar) { peerpb.RegisterUsageServer(registrar, server) })
	pusher := &usage.Pusher{
		Source:            e.ledger,
		Directory:         e.members,
		Peers:             &usage.GRPCPeers{Credentials: e.credentials()},
		ReportedRetention: settings.GetRetain().AsDuration(),
		MaxRetention:      settings.GetKeep().AsDuration(),
	}
	e.AddTask("usage", pusher.Run)
}

// addReporter adds the duty that closes and reports usage windows.
func (e *Entry) addReporter() {
	e.AddTask("report", func(ctx context.Context) error {
		if err := checkDuty(e.Settings.GetDuty()); err != nil {
			return err
		}
		return e.elector(usage.DutyName).Run(ctx, func(ctx context.Context, term *duty.Term) error {
			return e.newReporter().Run(ctx, term)
		})
	})
}

func (e *Entry) newReporter() *usage.Reporter {
	reporter := e.Process.newReporter(e.Settings.GetUsage(), e.Settings.GetDuty())
	reporter.Platform = e.platform
	reporter.Collector = &usage.Collector{Directory: e.members, Peers: &usage.GRPCPeers{Credentials: e.credentials()}}
	reporter.Offer = e.members.Offer
	return reporter
}

// newReporter returns a reporter with the values of the settings. The caller sets
// the clients of the platform and of other processes.
func (p *Process) newReporter(settings *settingspb.Usage, duties *settingspb.Duty) *usage.Reporter {
	return &usage.Reporter{
		Process:         p.Settings.GetName(),
		Decisions:       p.Decisions,
		Window:          settings.GetWindow().AsDuration(),
		Settle:          settings.GetSettle().AsDuration(),
		MaxLateness:     settings.GetRetain().AsDuration(),
		WindowRetention: settings.GetKeep().AsDuration(),
		Interval:        duties.GetInterval().AsDuration(),
		Lease:           duties.GetLease().AsDuration(),
		ReportTimeout:   duties.GetOrder().AsDuration(),
	}
}

// addZones adds one duty per zone; the holder of a zone's duty sends orders to
// the zone's backend servers.
func (e *Entry) addZones() {
	group := &duty.Group{
		Names:    e.zoneDuties,
		Run:      e.runZone,
		Interval: e.Settings.GetDuty().GetInterval().AsDuration(),
	}
	e.AddTask("order", group.Start)
}

// zoneDuties returns the duties of all zones that the lists or known processes name.
func (e *Entry) zoneDuties() []string {
	var names []string
	for _, role := range []peerpb.Role{peerpb.Role_ROLE_ENTRY, peerpb.Role_ROLE_SIDECAR} {
		for _, process := range e.members.Processes(role) {
			names = append(names, fleet.DutyPrefix+process.GetZone())
		}
	}
	config, _ := e.view.Config()
	for _, pool := range config.GetPools() {
		for _, zone := range pool.GetZones() {
			names = append(names, fleet.DutyPrefix+zone)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (e *Entry) runZone(ctx context.Context, name string) error {
	settings := e.Settings.GetDuty()
	zone := &fleet.Zone{
		Name:      strings.TrimPrefix(name, fleet.DutyPrefix),
		Process:   e.Process.Settings.GetName(),
		Platform:  e.platform,
		Members:   e.members,
		Sidecars:  &fleet.SidecarClient{Credentials: e.credentials()},
		Decisions: e.Decisions,
		Pools:     e.pools,
		Scale: fleet.Scaler{
			Target:          settings.GetTarget(),
			ScaleDownDelay:  settings.GetCalm().AsDuration(),
			Slack:           settings.GetSlack(),
			ZoneLossTimeout: settings.GetLoss().AsDuration(),
		},
		Interval:     settings.GetInterval().AsDuration(),
		Lease:        settings.GetLease().AsDuration(),
		OrderTimeout: settings.GetOrder().AsDuration(),
		DrainTimeout: settings.GetDrain().AsDuration(),
	}
	return e.elector(name).Run(ctx, zone.Run)
}

// pools returns the pools of the lists.
func (e *Entry) pools() []*listpb.Pool {
	config, _ := e.view.Config()
	return config.GetPools()
}

// elector returns the elector that acquires and renews a duty's lease for this entry.
func (e *Entry) elector(name string) *duty.Elector {
	settings := e.Settings.GetDuty()
	return &duty.Elector{
		Store:      e.platform,
		Name:       name,
		Process:    e.Process.Settings.GetName(),
		Address:    e.advertised(),
		Lease:      settings.GetLease().AsDuration(),
		Margin:     settings.GetMargin().AsDuration(),
		Rank:       func() int { return e.rank(name) },
		IsStopping: e.shutdown.isStopping.Load,
		Decisions:  e.Decisions,
	}
}

// rank returns this entry's position among the live entries that may acquire a
// duty.
func (e *Entry) rank(name string) int {
	var candidates []string
	for _, process := range e.members.Processes(peerpb.Role_ROLE_ENTRY) {
		if process.GetState() == peerpb.State_STATE_LIVE {
			candidates = append(candidates, process.GetName())
		}
	}
	return duty.Rank(name, e.Process.Settings.GetName(), candidates)
}

// checkDuty rejects a margin that leaves no time between two renewals: every term
// would end before its first renewal, and no process would hold a duty for long.
func checkDuty(settings *settingspb.Duty) error {
	lease, margin := settings.GetLease().AsDuration(), settings.GetMargin().AsDuration()
	if margin > lease/2 {
		return &DutyError{Lease: lease, Margin: margin}
	}
	return nil
}

// DutyError reports that the lease and margin settings are inconsistent.
type DutyError struct {
	Lease  time.Duration
	Margin time.Duration
}

// Error names both settings.
func (e *DutyError) Error() string {
	return "[duty] margin: " + e.Margin.String() + " is more than half of lease, " + e.Lease.String()
}
