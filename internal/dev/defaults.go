package dev

import (
	"fmt"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/standin"
)

// Names of the default services and routes.
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

// DefaultRoutes are a drafting route, an urgent route to the same engines and
// a plain route whose commits may not be repeated.
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

// DefaultUpstreams are stand-in engines and plain services of uneven speed.
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
