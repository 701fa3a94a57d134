package route

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

func validRoute() *pb.Route {
	return &pb.Route{
		Name: "orders", Path: "/kiritani/orders", Kind: pb.RouteKind_ROUTE_KIND_PLAIN, Service: "orderdesk", Region: "dohoku",
		RequestClass:  pb.RequestClass_REQUEST_CLASS_URGENT,
		NonRepeatable: []*pb.CallRule{{Method: "POST", PathPrefix: "/reservations"}},
	}
}

// Guards against reporting only the first of several invalid fields, and against
// findings that name the wrong field.
func TestValidationReportsEveryField(t *testing.T) {
	require.NoError(t, ValidateRoute(validRoute()).Err())
	r := validRoute()
	r.Name, r.Path, r.Region = "Orders", "/a//b", ""
	r.NonRepeatable = append(r.NonRepeatable, &pb.CallRule{Method: "post"}, &pb.CallRule{PathPrefix: "x"})
	r.Callers = []*pb.CallerIdentity{{Organisation: "o", TokenSha256: make([]byte, 32)}, {TokenSha256: make([]byte, 32)}, {Organisation: "o", TokenSha256: []byte("x")}}
	r.Models = []string{"m"}
	r.MaxWaitMs = 120_000
	r.Weights = &pb.PolicyWeights{Goodput: -1}
	r.Cutover = &pb.Cutover{ToService: "other", FromService: "orderdesk"}
	var fields []string
	for _, f := range ValidateRoute(r).Items() {
		fields = append(fields, f.Field)
	}
	require.ElementsMatch(t, []string{
		"name", "path", "region", "max_wait_ms", "models", "non_repeatable[1].method", "non_repeatable[2].path_prefix",
		"callers[1].organisation", "callers[1].token_sha256", "callers[2].token_sha256", "weights.goodput", "cutover.to_service",
	}, fields)
}

// Guards against two routes with the same path or name, and against accepting a
// change that makes the configuration invalid.
func TestChangesAgainstTheConfiguration(t *testing.T) {
	other := validRoute()
	other.Name = "other"
	err := ValidateConfig(&pb.Config{Routes: []*pb.Route{validRoute(), other, validRoute()}}).Err()
	require.ErrorContains(t, err, `routes[1].path: "/kiritani/orders" is the path of routes[0]`)
	require.ErrorContains(t, err, `routes[2].name: "orders" is the name of routes[0]`)

	current := &pb.Config{Routes: []*pb.Route{validRoute()}}
	change := &pb.ConfigChange{RequestId: "r", Change: &pb.ConfigChange_PutRoute{PutRoute: other}}
	require.ErrorContains(t, ValidateChange(current, change).Err(), "put_route.path")
	change.Change = &pb.ConfigChange_PutRoute{PutRoute: validRoute()}
	require.NoError(t, ValidateChange(current, change).Err())
	change.Change = &pb.ConfigChange_Cutover{Cutover: &pb.RouteCutover{Route: "orders", ToService: "orderdesk"}}
	require.ErrorContains(t, ValidateChange(current, change).Err(), "cutover.to_service")
	change.Change = &pb.ConfigChange_AddDrain{AddDrain: &pb.Drain{UpstreamId: "u", Place: "p"}}
	require.ErrorContains(t, ValidateChange(current, change).Err(), "add_drain.upstream_id")
	require.ErrorContains(t, ValidateChange(current, &pb.ConfigChange{RequestId: "r"}).Err(), "change: must be set")
}

// Guards against matching a route with a shorter path, or one that is not a prefix
// at a segment boundary. The expected route is found by a search over all routes.
func TestMatchTakesTheLongestPrefixAtASegment(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "ab", "b", "c"})
	pathOf := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "segments"), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		c := &pb.Config{}
		for _, p := range rapid.SliceOfNDistinct(pathOf, 0, 6, rapid.ID[string]).Draw(t, "routes") {
			c.Routes = append(c.Routes, &pb.Route{Path: p})
		}
		p := pathOf.Draw(t, "path")
		want := ""
		for _, r := range c.Routes {
			prefix := strings.TrimSuffix(r.Path, "/")
			if (p == prefix || strings.HasPrefix(p, prefix+"/")) && len(r.Path) > len(want) {
				want = r.Path
			}
		}
		got, rest, ok := NewTable(c).Match(p)
		require.Equal(t, want != "", ok)
		if ok {
			require.Equal(t, want, got.Path)
			require.Equal(t, p, strings.TrimSuffix(want, "/")+rest)
		}
	})
}

// Guards against a caller claiming another organisation on a route that lists its
// callers, and against new requests reaching the old service of a cutover.
func TestOrganisationDefaultsAndCutover(t *testing.T) {
	r := validRoute()
	r.Cutover = &pb.Cutover{ToService: "orderdesk2", FromService: "orderdesk"}
	unrestricted := proto.Clone(r).(*pb.Route)
	unrestricted.Path = "/open"
	token := sha256.Sum256([]byte("secret"))
	r.Callers = []*pb.CallerIdentity{{Organisation: "brno", TokenSha256: token[:]}}
	table := NewTable(&pb.Config{Routes: []*pb.Route{r, unrestricted}})
	restricted, _, _ := table.Match("/kiritani/orders/1")
	require.Equal(t, "orderdesk2/dohoku", restricted.Pool)
	require.Equal(t, uint32(DefaultMaxBodyBytes), restricted.MaxBodyBytes)
	require.Equal(t, DefaultDeadline, restricted.Deadline())

	org, ok := restricted.Organisation(http.Header{"Authorization": {"bearer secret"}})
	require.True(t, ok)
	require.Equal(t, "brno", org)
	for _, v := range []string{"", "Bearer", "Bearer ", "Bearer other", "Basic secret"} {
		_, ok = restricted.Organisation(http.Header{"Authorization": {v}, "X-Organisation": {"brno"}})
		require.False(t, ok, v)
	}
	openToAll, _, _ := table.Match("/open")
	org, _ = openToAll.Organisation(http.Header{"X-Organisation": {"o1"}})
	require.Equal(t, "o1", org)
	org, _ = openToAll.Organisation(nil)
	require.Equal(t, DefaultOrganisation, org)
}

// Guards against a non-repeatable call that bypasses its rule by a different
// spelling of the method or path, and is then retried.
func TestNonRepeatableRules(t *testing.T) {
	r, _, _ := NewTable(&pb.Config{Routes: []*pb.Route{validRoute()}}).Match("/kiritani/orders")
	require.True(t, r.NonRepeatable("POST", "/reservations"))
	require.True(t, r.NonRepeatable("post", "/reservations/7"))
	require.False(t, r.NonRepeatable("GET", "/reservations"))
	require.False(t, r.NonRepeatable("POST", "/stock"))
	for _, p := range []string{"/a/../reservations", "//reservations", "/./reservations", "/a\\..\\b", "a", "", "/a//"} {
		require.False(t, CleanPath(p), p)
	}
	for _, p := range []string{"/", "/a", "/a/", "/a/b.c"} {
		require.True(t, CleanPath(p), p)
	}
}
