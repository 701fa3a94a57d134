package route

import (
	"crypto/sha256"
	"net/http"
	"path"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// Defaults for route fields that are zero.
const (
	DefaultDeadline           = 120 * time.Second
	DefaultTTFTTargetMillis   = 760
	DefaultTPOTTargetMillis   = 25
	DefaultMaxBodyBytes       = 1 << 20
	DefaultMaxOutputTokens    = 4096
	DefaultOrganisationHeader = "X-Organisation"
	DefaultOrganisation       = "default"
)

// Route is a route with its defaults filled in.
type Route struct {
	*pb.Route
	// Pool is the pool, as "service/region", that receives new requests. During a
	// cutover it is that of the new service.
	Pool string

	// callers maps the SHA-256 of a bearer token to the organisation; nil if the
	// route lists no callers.
	callers map[[sha256.Size]byte]string
}

// Table is a compiled configuration. It is immutable.
type Table struct {
	version uint64
	// byPath is keyed by the path without a trailing slash.
	byPath map[string]*Route
	routes []*Route
}

// PoolName returns the name of the pool for a service in a region.
func PoolName(service, region string) string {
	return service + "/" + region
}

// NewTable compiles a valid configuration; nil results in an empty table.
func NewTable(c *pb.Config) *Table {
	t := &Table{version: c.GetVersion(), byPath: make(map[string]*Route, len(c.GetRoutes()))}
	for _, r := range c.GetRoutes() {
		compiled := compile(r)
		t.routes = append(t.routes, compiled)
		t.byPath[strings.TrimSuffix(r.Path, "/")] = compiled
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 {
	return t.version
}

// Routes returns all routes in the order of the configuration.
func (t *Table) Routes() []*Route {
	return t.routes
}

// Match returns the route with the longest path that is a prefix of p and ends
// at a segment boundary. rest is the remainder of p: empty, or with a leading
// slash.
func (t *Table) Match(p string) (r *Route, rest string, ok bool) {
	for end := len(p); end >= 0; end = strings.LastIndexByte(p[:end], '/') {
		if r, ok := t.byPath[p[:end]]; ok {
			return r, p[end:], true
		}
	}
	return nil, "", false
}

// CleanPath reports whether p starts with a slash and has no empty, "." or ".."
// segment, backslash or NUL; one trailing slash is allowed. An upstream could
// resolve any other path to a different one, which would bypass a call rule.
func CleanPath(p string) bool {
	if p == "" || p[0] != '/' {
		return false
	}
	if strings.ContainsAny(p, "\\\x00") {
		return false
	}
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}

func compile(r *pb.Route) *Route {
	out := proto.Clone(r).(*pb.Route)
	setDefault(&out.DeadlineMs, uint32(DefaultDeadline/time.Millisecond))
	setDefault(&out.TtftTargetMs, DefaultTTFTTargetMillis)
	setDefault(&out.TpotTargetMs, DefaultTPOTTargetMillis)
	setDefault(&out.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&out.MaxOutputTokens, DefaultMaxOutputTokens)
	setDefault(&out.OrganisationHeader, DefaultOrganisationHeader)
	setDefault(&out.DefaultOrganisation, DefaultOrganisation)
	if out.Weights == nil {
		out.Weights = &pb.PolicyWeights{}
	}
	setDefault(&out.Weights.Goodput, 1)
	setDefault(&out.Weights.WastedPrefill, 1)
	service := out.Service
	if to := out.GetCutover().GetToService(); to != "" {
		service = to
	}
	compiled := &Route{Route: out, Pool: PoolName(service, out.Region)}
	compiled.Service = service
	if len(out.Callers) > 0 {
		compiled.callers = make(map[[sha256.Size]byte]string, len(out.Callers))
		for _, c := range out.Callers {
			if len(c.TokenSha256) != sha256.Size {
				continue
			}
			compiled.callers[[sha256.Size]byte(c.TokenSha256)] = c.Organisation
		}
	}
	return compiled
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Deadline returns the time limit from the acceptance of a request to the end of
// its response.
func (r *Route) Deadline() time.Duration {
	return time.Duration(r.DeadlineMs) * time.Millisecond
}

// Organisation returns the organisation of a caller. ok is false if the route
// lists its callers and the bearer token belongs to none of them.
func (r *Route) Organisation(h http.Header) (org string, ok bool) {
	if r.callers != nil {
		token, found := bearerToken(h.Get("Authorization"))
		if !found {
			return "", false
		}
		org, ok = r.callers[sha256.Sum256([]byte(token))]
		return org, ok
	}
	if org = strings.TrimSpace(h.Get(r.OrganisationHeader)); org != "" {
		return org, true
	}
	return r.DefaultOrganisation, true
}

func bearerToken(v string) (string, bool) {
	scheme, token, found := strings.Cut(v, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	token = strings.TrimSpace(token)
	return token, token != ""
}

// NonRepeatable reports whether a rule requires that a call runs at most once.
// rest is the path below the route's path. Methods are compared without case and
// paths as plain string prefixes, so that a call counts as non-repeatable in case
// of doubt.
func (r *Route) NonRepeatable(method, rest string) bool {
	if rest == "" {
		rest = "/"
	}
	for _, rule := range r.Route.NonRepeatable {
		if rule.Method != "" && !strings.EqualFold(rule.Method, method) {
			continue
		}
		if strings.HasPrefix(rest, rule.PathPrefix) || strings.HasPrefix(rest+"/", rule.PathPrefix) {
			return true
		}
	}
	return false
}

// ModelFor returns the route's model with the name given by a caller; an empty
// name selects the first model. ok is false if there is none.
func (r *Route) ModelFor(name string) (model string, ok bool) {
	if name == "" && len(r.Models) > 0 {
		return r.Models[0], true
	}
	for _, m := range r.Models {
		if m == name {
			return m, true
		}
	}
	return "", false
}
