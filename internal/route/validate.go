package route

import (
	"crypto/sha256"
	"fmt"
	"math"
	"net/textproto"
	"regexp"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/finding"
)

// Limits of route fields. They prevent one route from exhausting an entry.
const (
	MaxPathBytes           = 255
	MaxServiceBytes        = 63
	MaxModels              = 64
	MaxCallRules           = 64
	MaxCallers             = 4096
	MaxDeadline            = time.Hour
	MaxBodyBytes           = 64 << 20
	MaxOutputTokens        = 1 << 20
	maxNameBytes           = 255
	maxLatencyTargetMillis = 600_000
	maxWeight              = 1000.0
	labelRule              = "must have 1 to 63 lower-case letters, digits and hyphens, and start and end with a letter or digit"
	printableRule          = "must have no spaces or control characters"
)

var (
	labelPattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	pathPattern   = regexp.MustCompile(`^[A-Za-z0-9._~/-]+$`)
	methodPattern = regexp.MustCompile(`^[A-Z][A-Z0-9-]{0,31}$`)
	headerPattern = regexp.MustCompile(`^[A-Za-z0-9-]{1,63}$`)
)

// reservedPaths are served by the entry itself.
var reservedPaths = []string{"/livez", "/readyz", "/upstreams", "/debug"}

// ValidateConfig returns all findings about a configuration.
func ValidateConfig(c *pb.Config) *finding.List {
	l := &finding.List{}
	names := map[string]int{}
	paths := map[string]int{}
	for i, r := range c.GetRoutes() {
		field := fmt.Sprintf("routes[%d]", i)
		l.Merge(field+".", ValidateRoute(r))
		if first, ok := names[r.GetName()]; ok {
			l.Addf(field+".name", "%q is the name of routes[%d]", r.GetName(), first)
		} else {
			names[r.GetName()] = i
		}
		key := strings.TrimSuffix(r.GetPath(), "/")
		if first, ok := paths[key]; ok {
			l.Addf(field+".path", "%q is the path of routes[%d]", r.GetPath(), first)
		} else {
			paths[key] = i
		}
	}
	drains := map[string]int{}
	for i, d := range c.GetDrains() {
		field := fmt.Sprintf("drains[%d]", i)
		l.Merge(field+".", ValidateDrain(d))
		key := d.GetUpstreamId() + "\x00" + d.GetPlace()
		if first, ok := drains[key]; ok {
			l.Addf(field, "repeats drains[%d]", first)
		} else {
			drains[key] = i
		}
	}
	return l
}

// ValidateChange returns all findings about a change to a valid configuration.
// Field names are relative to the change. It does not check the version, and does
// not report unknown routes and drains, for which changes have separate results.
func ValidateChange(current *pb.Config, ch *pb.ConfigChange) *finding.List {
	l := &finding.List{}
	if ch.GetRequestId() == "" {
		l.Addf("request_id", "must not be empty")
	}
	switch change := ch.GetChange().(type) {
	case *pb.ConfigChange_PutRoute:
		l.Merge("put_route.", ValidateRoute(change.PutRoute))
		checkPathUnused(l, current, change.PutRoute)
	case *pb.ConfigChange_DeleteRoute:
		if change.DeleteRoute == "" {
			l.Addf("delete_route", "must name a route")
		}
	case *pb.ConfigChange_AddDrain:
		l.Merge("add_drain.", ValidateDrain(change.AddDrain))
	case *pb.ConfigChange_RemoveDrain:
		l.Merge("remove_drain.", ValidateDrain(change.RemoveDrain))
	case *pb.ConfigChange_Cutover:
		checkCutover(l, current, change.Cutover)
	default:
		l.Addf("change", "must be set")
	}
	return l
}

func checkPathUnused(l *finding.List, current *pb.Config, r *pb.Route) {
	for _, other := range current.GetRoutes() {
		if other.GetName() != r.GetName() && strings.TrimSuffix(other.GetPath(), "/") == strings.TrimSuffix(r.GetPath(), "/") {
			l.Addf("put_route.path", "%q is the path of route %q", r.GetPath(), other.GetName())
		}
	}
}

func checkCutover(l *finding.List, current *pb.Config, c *pb.RouteCutover) {
	if c.GetRoute() == "" {
		l.Addf("cutover.route", "must name a route")
	}
	checkLabel(l, "cutover.to_service", c.GetToService())
	for _, r := range current.GetRoutes() {
		if r.GetName() == c.GetRoute() && r.GetService() == c.GetToService() {
			l.Addf("cutover.to_service", "the route already uses service %q", c.GetToService())
		}
	}
}

// ValidateDrain returns all findings about a drain.
func ValidateDrain(d *pb.Drain) *finding.List {
	l := &finding.List{}
	if (d.GetUpstreamId() == "") == (d.GetPlace() == "") {
		l.Addf("upstream_id", "exactly one of upstream_id and place must be set")
	}
	checkName(l, "upstream_id", d.GetUpstreamId(), true)
	checkName(l, "place", d.GetPlace(), true)
	return l
}

// ValidateRoute returns all findings about a route.
func ValidateRoute(r *pb.Route) *finding.List {
	l := &finding.List{}
	if !labelPattern.MatchString(r.GetName()) {
		l.Addf("name", labelRule)
	}
	checkPath(l, r.GetPath())
	checkLabel(l, "service", r.GetService())
	checkLabel(l, "region", r.GetRegion())
	checkEnums(l, r)
	checkLimits(l, r)
	checkKind(l, r)
	checkCallers(l, r)
	checkWeights(l, r.GetWeights())
	if c := r.GetCutover(); c != nil {
		checkLabel(l, "cutover.to_service", c.ToService)
		checkLabel(l, "cutover.from_service", c.FromService)
		if c.ToService != r.GetService() {
			l.Addf("cutover.to_service", "must equal service %q", r.GetService())
		}
		if c.FromService == c.ToService {
			l.Addf("cutover.from_service", "must differ from to_service")
		}
	}
	return l
}

func checkPath(l *finding.List, p string) {
	switch {
	case !strings.HasPrefix(p, "/"):
		l.Addf("path", "must start with a slash")
		return
	case len(p) > MaxPathBytes:
		l.Addf("path", "must have at most %d bytes", MaxPathBytes)
	case p != "/" && strings.HasSuffix(p, "/"):
		l.Addf("path", "must not end with a slash")
	case !pathPattern.MatchString(p):
		l.Addf("path", "must have only letters, digits, and the characters . _ ~ - /")
	case !CleanPath(p):
		l.Addf("path", "must have no empty, \".\" or \"..\" segment")
	}
	for _, reserved := range reservedPaths {
		if p == reserved || strings.HasPrefix(p, reserved+"/") {
			l.Addf("path", "%s is reserved for the entry", reserved)
		}
	}
}

// checkLabel checks a service or region. They form a pool name and therefore
// must not contain a slash.
func checkLabel(l *finding.List, field, v string) {
	if !labelPattern.MatchString(v) {
		l.Addf(field, labelRule)
	}
}

func checkName(l *finding.List, field, v string, optional bool) {
	if v == "" {
		if !optional {
			l.Addf(field, "must not be empty")
		}
		return
	}
	if len(v) > maxNameBytes {
		l.Addf(field, "must have at most %d bytes", maxNameBytes)
	}
	if strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		l.Addf(field, printableRule)
	}
}

func checkEnums(l *finding.List, r *pb.Route) {
	if r.GetKind() != pb.RouteKind_ROUTE_KIND_ENGINE && r.GetKind() != pb.RouteKind_ROUTE_KIND_PLAIN {
		l.Addf("kind", "must be ROUTE_KIND_ENGINE or ROUTE_KIND_PLAIN")
	}
	class := r.GetRequestClass()
	if class != pb.RequestClass_REQUEST_CLASS_URGENT && class != pb.RequestClass_REQUEST_CLASS_DRAFT {
		l.Addf("request_class", "must be REQUEST_CLASS_URGENT or REQUEST_CLASS_DRAFT")
	}
	if _, ok := pb.IsolationMode_name[int32(r.GetIsolation())]; !ok {
		l.Addf("isolation", "must be ISOLATION_MODE_REFUSE or ISOLATION_MODE_CONTINUE_WITH_LAST")
	}
}

func checkLimits(l *finding.List, r *pb.Route) {
	deadline := time.Duration(r.GetDeadlineMs()) * time.Millisecond
	if deadline > MaxDeadline {
		l.Addf("deadline_ms", "must be at most %d", MaxDeadline.Milliseconds())
	}
	if deadline == 0 {
		deadline = DefaultDeadline
	}
	if time.Duration(r.GetMaxWaitMs())*time.Millisecond >= deadline {
		l.Addf("max_wait_ms", "must be less than the deadline of %d ms", deadline.Milliseconds())
	}
	if r.GetTtftTargetMs() > maxLatencyTargetMillis {
		l.Addf("ttft_target_ms", "must be at most %d", maxLatencyTargetMillis)
	}
	if r.GetTpotTargetMs() > maxLatencyTargetMillis {
		l.Addf("tpot_target_ms", "must be at most %d", maxLatencyTargetMillis)
	}
	if r.GetMaxBodyBytes() > MaxBodyBytes {
		l.Addf("max_body_bytes", "must be at most %d", MaxBodyBytes)
	}
	if r.GetMaxOutputTokens() > MaxOutputTokens {
		l.Addf("max_output_tokens", "must be at most %d", MaxOutputTokens)
	}
}

func checkKind(l *finding.List, r *pb.Route) {
	engine := r.GetKind() == pb.RouteKind_ROUTE_KIND_ENGINE
	if engine && len(r.GetModels()) == 0 {
		l.Addf("models", "an engine route must name at least one model")
	}
	if !engine && len(r.GetModels()) > 0 {
		l.Addf("models", "only an engine route names models")
	}
	if len(r.GetModels()) > MaxModels {
		l.Addf("models", "must have at most %d entries", MaxModels)
	}
	seen := map[string]int{}
	for i, m := range r.GetModels() {
		field := fmt.Sprintf("models[%d]", i)
		checkName(l, field, m, false)
		if first, ok := seen[m]; ok {
			l.Addf(field, "repeats models[%d]", first)
			continue
		}
		seen[m] = i
	}
	if engine && len(r.GetNonRepeatable()) > 0 {
		l.Addf("non_repeatable", "only a plain route has call rules")
	}
	checkCallRules(l, r.GetNonRepeatable())
}

func checkCallRules(l *finding.List, rules []*pb.CallRule) {
	if len(rules) > MaxCallRules {
		l.Addf("non_repeatable", "must have at most %d entries", MaxCallRules)
	}
	for i, rule := range rules {
		field := fmt.Sprintf("non_repeatable[%d]", i)
		if rule.GetMethod() != "" && !methodPattern.MatchString(rule.GetMethod()) {
			l.Addf(field+".method", "must be an HTTP method in upper case, or empty")
		}
		if p := rule.GetPathPrefix(); p != "" && (!strings.HasPrefix(p, "/") || !pathPattern.MatchString(p) || !CleanPath(p)) {
			l.Addf(field+".path_prefix", "must be a path that starts with a slash and has no empty, \".\" or \"..\" segment, or empty")
		}
	}
}

func checkCallers(l *finding.List, r *pb.Route) {
	if len(r.GetCallers()) > MaxCallers {
		l.Addf("callers", "must have at most %d entries", MaxCallers)
	}
	tokens := map[string]int{}
	for i, c := range r.GetCallers() {
		field := fmt.Sprintf("callers[%d]", i)
		checkName(l, field+".organisation", c.GetOrganisation(), false)
		if len(c.GetTokenSha256()) != sha256.Size {
			l.Addf(field+".token_sha256", "must have %d bytes", sha256.Size)
			continue
		}
		if first, ok := tokens[string(c.TokenSha256)]; ok {
			l.Addf(field+".token_sha256", "repeats callers[%d]", first)
			continue
		}
		tokens[string(c.TokenSha256)] = i
	}
	if h := r.GetOrganisationHeader(); h != "" && !headerPattern.MatchString(h) {
		l.Addf("organisation_header", "must be a header name of letters, digits and hyphens")
	}
	if strings.EqualFold(textproto.CanonicalMIMEHeaderKey(r.GetOrganisationHeader()), "Authorization") {
		l.Addf("organisation_header", "must not be Authorization, which is a secret")
	}
	checkName(l, "default_organisation", r.GetDefaultOrganisation(), true)
}

func checkWeights(l *finding.List, w *pb.PolicyWeights) {
	for _, f := range []struct {
		field string
		value float64
	}{{"weights.goodput", w.GetGoodput()}, {"weights.wasted_prefill", w.GetWastedPrefill()}} {
		if math.IsNaN(f.value) || f.value < 0 || f.value > maxWeight {
			l.Addf(f.field, "must be from 0 to %g", maxWeight)
		}
	}
}
