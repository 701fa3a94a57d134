package dev

import (
	"fmt"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/standin"
)

// Names of the default services and their model.
const (
	DraftService = "draftwell"
	DeskService  = "orderdesk"
	Model        = "draftwell-small"
)

const (
	draftMaxWaitMillis  = 30_000
	draftDeadlineMillis = 120_000
	deskDeadlineMillis  = 10_000
)

// DefaultRoutes returns a draft route, an urgent route to the same engines, and a
// plain route with non-repeatable commit calls.
func DefaultRoutes() []*pb.Route {
	return []*pb.Route{
		{
			Name: "draft", Path: "/draft", Kind: pb.RouteKind_ROUTE_KIND_ENGINE, Service: DraftService, Region: Region,
			Models: []string{Model}, RequestClass: pb.RequestClass_REQUEST_CLASS_DRAFT,
			MaxWaitMs: draftMaxWaitMillis, DeadlineMs: draftDeadlineMillis,
		},
		{
			Name: "desk", Path: "/desk", Kind: pb.RouteKind_ROUTE_KIND_ENGINE, Service: DraftService, Region: Region,
			Models: []string{Model}, RequestClass: pb.RequestClass_REQUEST_CLASS_URGENT,
			DeadlineMs: deskDeadlineMillis,
		},
		{
			Name: "orders", Path: "/orders", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, Service: DeskService, Region: Region,
			RequestClass: pb.RequestClass_REQUEST_CLASS_URGENT, DeadlineMs: deskDeadlineMillis,
			NonRepeatable: []*pb.CallRule{{Method: "POST", PathPrefix: "/commits"}},
		},
	}
}

// DefaultUpstreams returns the settings of the given numbers of stand-in engines
// and plain services. Each has its own seed within its role.
func DefaultUpstreams(prefill, decode, plain int) []standin.Settings {
	var out []standin.Settings
	add := func(role, service string, n int) {
		for i := range n {
			s := standin.Settings{
				ID: fmt.Sprintf("%s-%s-%d", service, role, i+1), Service: service, Role: role, Place: "local",
				Seed: uint64(i + 1),
			}
			if role != standin.RolePlain {
				s.Models = []string{Model}
			}
			out = append(out, s)
		}
	}
	add(standin.RolePrefill, DraftService, prefill)
	add(standin.RoleDecode, DraftService, decode)
	add(standin.RolePlain, DeskService, plain)
	return out
}
