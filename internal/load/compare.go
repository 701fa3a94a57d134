package load

import (
	"context"

	"github.com/pkg/errors"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// System starts the router inside this process.
type System interface {
	// Start starts all daemons with the named policy and the given routes, and
	// returns when the entries accept announcements.
	Start(ctx context.Context, policy string, routes []*pb.Route) (Instance, error)
}

// Instance is a running router.
type Instance interface {
	// Entries are the base URLs of its entries.
	Entries() []string
	// Close stops it; nothing of it remains for the next instance.
	Close() error
}

// Compared is the merged report of one policy.
type Compared struct {
	Policy string
	Report *Report
}

// Compare runs each policy the given number of times, alternating, each time
// with a new system, new stand-ins and the seed of the round. Every policy
// sees the same arrivals.
func Compare(ctx context.Context, system System, o Options, policies []string, rounds int) ([]Compared, error) {
	var compared []Compared
	for _, p := range policies {
		compared = append(compared, Compared{Policy: p, Report: newReport()})
	}
	for round := range rounds {
		for i := range compared {
			one := o
			one.Seed = o.Seed + uint64(round)
			report, err := RunSystem(ctx, system, one, compared[i].Policy)
			if err != nil {
				return nil, errors.Wrapf(err, "round %d of policy %s", round+1, compared[i].Policy)
			}
			compared[i].Report.merge(report)
		}
	}
	return compared, nil
}

// RunSystem makes one run against a system that it starts and stops.
func RunSystem(ctx context.Context, system System, o Options, policy string) (*Report, error) {
	instance, err := system.Start(ctx, policy, o.Workload.Routes())
	if err != nil {
		return nil, errors.Wrap(err, "starting the system")
	}
	o.Entries, o.Upstreams = instance.Entries(), nil
	report, err := Run(ctx, o)
	if closeErr := instance.Close(); err == nil && closeErr != nil {
		err = errors.Wrap(closeErr, "stopping the system")
	}
	return report, err
}

// Merge adds up the reports of all policies.
func Merge(compared []Compared) *Report {
	sum := newReport()
	for _, c := range compared {
		sum.merge(c.Report)
	}
	return sum
}
