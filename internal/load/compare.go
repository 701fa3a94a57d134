package load

import (
	"context"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// System is a way to start the router in this process.
type System interface {
	// Start starts all daemons with the named policy and the given routes. It
	// returns when the entries accept announcements of upstreams.
	Start(ctx context.Context, policy string, routes []*pb.Route) (Instance, error)
}

// Instance is a running router.
type Instance interface {
	// Entries are the base URLs of its entries.
	Entries() []string
	// Close stops the router and leaves no state for the next instance.
	Close() error
}

// PolicyReport is the merged report of one policy.
type PolicyReport struct {
	Policy string
	Report *Report
}

// Compare runs each policy once per round, alternating, each time with a new
// router and new stand-ins. Within a round all policies have the same seed and
// so the same arrivals.
func Compare(ctx context.Context, system System, o Options, policies []string, rounds int) ([]PolicyReport, error) {
	var compared []PolicyReport
	for _, p := range policies {
		compared = append(compared, PolicyReport{Policy: p, Report: newReport()})
	}
	for round := range rounds {
		for i := range compared {
			options := o
			options.Seed = o.Seed + uint64(round)
			report, err := RunSystem(ctx, system, options, compared[i].Policy)
			if err != nil {
				return nil, errors.Wrapf(err, "round %d of policy %s", round+1, compared[i].Policy)
			}
			compared[i].Report.merge(report)
		}
	}
	return compared, nil
}

// RunSystem starts the router with a policy, makes one run against it and
// stops it.
func RunSystem(ctx context.Context, system System, o Options, policy string) (*Report, error) {
	instance, err := system.Start(ctx, policy, o.Workload.Routes())
	if err != nil {
		return nil, errors.Wrap(err, "starting the router")
	}
	o.Entries, o.Upstreams = instance.Entries(), nil
	report, err := Run(ctx, o)
	if closeErr := instance.Close(); err == nil && closeErr != nil {
		err = errors.Wrap(closeErr, "stopping the router")
	}
	return report, err
}

// Merge adds up the reports of all policies.
func Merge(compared []PolicyReport) *Report {
	sum := newReport()
	for _, c := range compared {
		sum.merge(c.Report)
	}
	return sum
}
