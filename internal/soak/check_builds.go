package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// phase is a part of a run with an upgrade.
type phase int

const (
	beforeUpgrade phase = iota
	// duringUpgrade lasts from the first step until the last one is over.
	duringUpgrade
	afterUpgrade
)

func (p phase) String() string {
	return [...]string{"before the upgrade", "during the upgrade", "after the upgrade"}[p]
}

// minServedOfDay is the share of requests that must be served over a day: the users' gate
// allows 60% to be refused or to fail.
const minServedOfDay = 0.4

// server is an entry that served a request.
type server struct {
	// build is that of the entry.
	build, description string
	phase              phase
	sentAt             time.Time
	// undisturbed is set if no fault was in progress from contactTime before the request
	// until its end.
	undisturbed bool
}

// requestFinding is a finding about requests, of which the first took the wrong step.
type requestFinding struct {
	// index is that of the finding.
	index int
	kind  string
	ids   []string
}

// servedBy records the entry that a request is sent to.
func (c *checker) servedBy(id string, s server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers[id] = s
}

// requestEnded records the outcome of a request. The caller holds mu.
func (c *checker) requestEnded(id string, o outcome) {
	c.outcomes[id] = o
	if s, known := c.servers[id]; known {
		s.undisturbed = c.activeFaults == 0 && c.lastFaultEvent.Before(s.sentAt.Add(-contactTime))
		c.servers[id] = s
	}
}

// addRequestFinding adds a finding about a request, with the builds that served it and the
// ones before it that the finding is about. The caller holds mu.
func (c *checker) addRequestFinding(ids []string, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	for _, id := range ids {
		if s, known := c.servers[id]; known {
			text += fmt.Sprintf("; %s at %s", id, s.description)
		}
	}
	kind, _, _ := strings.Cut(text, ":")
	c.requestFindings = append(c.requestFindings, requestFinding{len(c.findings), kind, ids})
	c.addFinding("%s", text)
}

// attribute adds to each finding about requests what the logs tell of them.
func (c *checker) attribute(decisions map[string]decisions) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.requestFindings {
		for _, id := range f.ids {
			if d, known := decisions[id]; known {
				c.findings[f.index] += fmt.Sprintf("; %s %s", id, d)
			}
		}
	}
}

// requestsWithFindings returns the ids of the requests that findings are about.
func (c *checker) requestsWithFindings() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := map[string]bool{}
	for _, f := range c.requestFindings {
		for _, id := range f.ids {
			ids[id] = true
		}
	}
	return ids
}

// servedCount counts requests whose callers did not leave on purpose.
type servedCount struct{ served, all int }

func (n servedCount) String() string { return fmt.Sprintf("%d of %d", n.served, n.all) }

// below reports whether less than a share was served.
func (n servedCount) below(share float64) bool { return float64(n.served) < share*float64(n.all) }

// countBy counts the requests of a run with several builds by a property of their server.
func countBy[K comparable](c *checker, key func(server) (k K, counts bool)) map[K]servedCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[K]servedCount{}
	for id, o := range c.outcomes {
		s, known := c.servers[id]
		if !known || o.left {
			continue
		}
		k, wanted := key(s)
		if !wanted {
			continue
		}
		n := counts[k]
		n.all++
		if o.status == 200 && o.complete {
			n.served++
		}
		counts[k] = n
	}
	return counts
}

// servedByBuild counts the requests that entries of each build have served.
func (c *checker) servedByBuild() map[string]servedCount {
	return countBy(c, func(s server) (string, bool) { return s.build, true })
}

// since describes what entries of each build have served since earlier counts.
func since(earlier, now map[string]servedCount) string {
	var words []string
	for _, build := range slices.Sorted(maps.Keys(now)) {
		n := servedCount{now[build].served - earlier[build].served, now[build].all - earlier[build].all}
		if n.all > 0 {
			words = append(words, fmt.Sprintf("entries of %s %s", build, n))
		}
	}
	return strings.Join(words, ", ")
}

// checkServedDuringUpgrade requires that callers are served during the upgrade while there
// is no other fault.
func (c *checker) checkServedDuringUpgrade() {
	counts := countBy(c, func(s server) (string, bool) { return s.build, s.phase == duringUpgrade && s.undisturbed })
	var total servedCount
	for _, n := range counts {
		total.served += n.served
		total.all += n.all
	}
	if total.below(minServedOfDay) {
		c.report("serve, both builds: %s requests served during the upgrade while there was no fault: %s", total, since(nil, counts))
	}
}

// phaseOf returns the phase in which a request was sent, and whether its caller stayed.
func (c *checker) phaseOf(id string) (p phase, stayed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id].phase, !c.outcomes[id].left
}

// printBuilds prints what each build served in each phase, why it didn't serve the rest, and
// the findings about requests by kind, by the build of the entry and by who had placed the
// request.
func (c *checker) printBuilds(out io.Writer, found logFindings) {
	type group struct {
		phase       phase
		build       string
		undisturbed bool
	}
	for _, undisturbed := range []bool{false, true} {
		counts := countBy(c, func(s server) (group, bool) {
			return group{s.phase, s.build, undisturbed}, !undisturbed || s.undisturbed
		})
		for _, g := range slices.SortedFunc(maps.Keys(counts), func(a, b group) int {
			return strings.Compare(fmt.Sprint(int(a.phase), a.build), fmt.Sprint(int(b.phase), b.build))
		}) {
			words := ""
			if undisturbed {
				words = ", without a fault"
			}
			fmt.Fprintf(out, "%s%s: entries of %s served %s requests\n", g.phase, words, g.build, counts[g])
		}
	}
	for _, f := range slices.SortedFunc(maps.Keys(found.failures), func(a, b failure) int {
		return strings.Compare(fmt.Sprint(int(a.phase), a.build, a.reason), fmt.Sprint(int(b.phase), b.build, b.reason))
	}) {
		fmt.Fprintf(out, "%s: entries of %s did not serve %d requests: %s\n", f.phase, f.build, found.failures[f], f.reason)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	steps := map[string]int{}
	for _, f := range c.requestFindings {
		steps[fmt.Sprintf("%s: entry of %s, %s", f.kind, c.servers[f.ids[0]].build, found.decisions[f.ids[0]].placer())]++
	}
	for _, step := range slices.Sorted(maps.Keys(steps)) {
		fmt.Fprintf(out, "%d findings of %s\n", steps[step], step)
	}
}
