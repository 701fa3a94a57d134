// Package changeset applies configuration changes. The control store and every
// daemon use the same function, so that a daemon that receives only changes
// computes the configuration that the store holds.
package changeset

import (
	"cmp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Result is the outcome of one change.
type Result struct {
	Code pb.ChangeOutcome_Code
	// Config is the configuration after an accepted change.
	Config *pb.Config
	// Findings say what is wrong with an invalid change.
	Findings []*pb.Finding
}

// Apply returns the result of one change to cfg. cfg is not modified, and the
// new configuration shares its unchanged parts. The base version is not checked.
func Apply(cfg *pb.Config, change *pb.ConfigChange) Result {
	next := &pb.Config{
		Version: cfg.GetVersion() + 1,
		Routes:  slices.Clone(cfg.GetRoutes()),
		Drains:  slices.Clone(cfg.GetDrains()),
	}
	switch c := change.GetChange().(type) {
	case *pb.ConfigChange_PutRoute:
		return putRoute(next, c.PutRoute)
	case *pb.ConfigChange_DeleteRoute:
		return deleteRoute(next, c.DeleteRoute)
	case *pb.ConfigChange_AddDrain:
		return addDrain(next, c.AddDrain)
	case *pb.ConfigChange_RemoveDrain:
		return removeDrain(next, c.RemoveDrain)
	case *pb.ConfigChange_Cutover:
		return cutover(next, c.Cutover)
	}
	return invalid("change", "is empty; one of put_route, delete_route, add_drain, remove_drain and cutover is required")
}

// FindRoute returns the route of the given name, nil when there is none.
func FindRoute(cfg *pb.Config, name string) *pb.Route {
	if i, ok := searchRoutes(cfg.GetRoutes(), name); ok {
		return cfg.Routes[i]
	}
	return nil
}

func searchRoutes(routes []*pb.Route, name string) (int, bool) {
	return slices.BinarySearchFunc(routes, name, func(r *pb.Route, name string) int {
		return strings.Compare(r.Name, name)
	})
}

func putRoute(next *pb.Config, r *pb.Route) Result {
	if r.GetName() == "" {
		return invalid("put_route.name", "is empty")
	}
	for _, other := range next.Routes {
		if other.Name != r.Name && other.Path == r.Path {
			return invalid("put_route.path", "is already used by route "+other.Name)
		}
	}
	i, ok := searchRoutes(next.Routes, r.Name)
	if ok {
		next.Routes[i] = r
		return accepted(next)
	}
	next.Routes = slices.Insert(next.Routes, i, r)
	return accepted(next)
}

func deleteRoute(next *pb.Config, name string) Result {
	i, ok := searchRoutes(next.Routes, name)
	if !ok {
		return notFound("delete_route", "no route is named "+name)
	}
	next.Routes = slices.Delete(next.Routes, i, i+1)
	return accepted(next)
}

func addDrain(next *pb.Config, d *pb.Drain) Result {
	if (d.GetUpstreamId() == "") == (d.GetPlace() == "") {
		return invalid("add_drain", "needs exactly one of upstream_id and place")
	}
	if findDrain(next, d) < 0 {
		next.Drains = append(next.Drains, d)
		slices.SortFunc(next.Drains, compareDrains)
	}
	return accepted(next)
}

func removeDrain(next *pb.Config, d *pb.Drain) Result {
	i := findDrain(next, d)
	if i < 0 {
		return notFound("remove_drain", "nothing is drained under "+d.GetUpstreamId()+d.GetPlace())
	}
	next.Drains = slices.Delete(next.Drains, i, i+1)
	return accepted(next)
}

func cutover(next *pb.Config, c *pb.RouteCutover) Result {
	i, ok := searchRoutes(next.Routes, c.GetRoute())
	if !ok {
		return notFound("cutover.route", "no route is named "+c.GetRoute())
	}
	old := next.Routes[i]
	if c.ToService == "" || c.ToService == old.Service {
		return invalid("cutover.to_service", "must name a service other than the present one, "+old.Service)
	}
	updated := proto.Clone(old).(*pb.Route)
	updated.Service = c.ToService
	updated.Cutover = &pb.Cutover{ToService: c.ToService, FromService: old.Service}
	next.Routes[i] = updated
	return accepted(next)
}

func findDrain(cfg *pb.Config, d *pb.Drain) int {
	return slices.IndexFunc(cfg.Drains, func(o *pb.Drain) bool { return compareDrains(o, d) == 0 })
}

func compareDrains(a, b *pb.Drain) int {
	return cmp.Or(strings.Compare(a.GetPlace(), b.GetPlace()), strings.Compare(a.GetUpstreamId(), b.GetUpstreamId()))
}

func accepted(next *pb.Config) Result {
	return Result{Code: pb.ChangeOutcome_ACCEPTED, Config: next}
}

func invalid(field, message string) Result {
	return Result{Code: pb.ChangeOutcome_INVALID, Findings: []*pb.Finding{{Field: field, Message: message}}}
}

func notFound(field, message string) Result {
	return Result{Code: pb.ChangeOutcome_NOT_FOUND, Findings: []*pb.Finding{{Field: field, Message: message}}}
}
