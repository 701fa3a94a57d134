package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// contactTime is the time after the begin of a cut from which callers of the entry must be
	// served, and after any other impairment in which nothing is demanded of it.
	contactTime = 3 * time.Second
	// Callers of cut entries are not served if first tries there are served less than
	// cutServedShare as often as at the others, and more than allowedFailures and one in
	// failureDivisor fail.
	cutServedShare  = 2.0 / 3
	allowedFailures = 10
	failureDivisor  = 50
)

// cutTry is a caller's first try at an entry.
type cutTry struct {
	entry           int
	sentAt, endedAt time.Time
	served          bool
	// builds names the builds of the entry and of the core; empty without an upgrade.
	builds string
}

// entrySpan is a time in which something was done to some entries.
type entrySpan struct {
	kind     faultKind
	entries  []int
	from, to time.Time
}

// overlaps reports whether the span has a time in common with that from one time to another.
func (e *entrySpan) overlaps(entry int, from, to time.Time) bool {
	return slices.Contains(e.entries, entry) && e.from.Before(to) && e.to.After(from)
}

// cutCheck compares first tries at entries that are cut off from all runners with those at
// the others.
type cutCheck struct {
	mu    sync.Mutex
	tries []cutTry
	// cuts holds the cuts, impairments all else that was done to entries or to the core.
	cuts, impairments []*entrySpan
}

func (c *cutCheck) tried(t cutTry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, t)
}

// cutBegan records a cut, and returns the function that records its end.
func (c *cutCheck) cutBegan(kind faultKind, entries []int) (ended func()) {
	return c.begin(&c.cuts, &entrySpan{kind: kind, entries: entries, from: time.Now()})
}

// disturbed records a fault of the core or of an entry itself, and returns the function that
// records its end. Such entries are not compared, nor are any while the core is not stable.
func (c *cutCheck) disturbed(f fault, entries int) (ended func()) {
	span := &entrySpan{kind: f.kind, from: time.Now()}
	switch f.kind {
	case killEntry, stopEntry, pauseEntry:
		span.entries = []int{f.target % entries}
	case killCore, stopCore, pauseCore, wipeCore, killAllCores, killAll, loseCores:
		for i := range entries {
			span.entries = append(span.entries, i)
		}
	default:
		return func() {}
	}
	return c.begin(&c.impairments, span)
}

// begin adds a span that lasts until ended is called.
func (c *cutCheck) begin(list *[]*entrySpan, span *entrySpan) (ended func()) {
	const forever = 24 * time.Hour
	c.mu.Lock()
	defer c.mu.Unlock()
	span.to = span.from.Add(forever)
	*list = append(*list, span)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		span.to = time.Now()
	}
}

func endsOneCore(k faultKind) bool {
	return slices.Contains([]faultKind{killCore, stopCore, pauseCore, wipeCore}, k)
}

// comparison counts first tries at cut entries and at the others.
type comparison struct {
	served, all, othersServed, others int
	// ofBuilds counts the tries at cut entries by their builds.
	ofBuilds map[string]share
}

// share is a number of tries and how many of them were served.
type share struct{ served, all int }

// broken reports whether callers of cut entries were not served.
func (c comparison) broken() bool {
	rarer := float64(c.served)*float64(c.others) < cutServedShare*float64(c.othersServed)*float64(c.all)
	return rarer && c.all-c.served > allowedFailures+c.all/failureDivisor
}

func (c comparison) String() string {
	text := fmt.Sprintf("%d of %d first tries were served at cut entries, %d of %d at the others", c.served, c.all, c.othersServed, c.others)
	for _, builds := range slices.Sorted(maps.Keys(c.ofBuilds)) {
		text += fmt.Sprintf("; cut entries of %s: %d of %d", builds, c.ofBuilds[builds].served, c.ofBuilds[builds].all)
	}
	return text
}

// compare counts the tries during some cuts, from contactTime after each began, at entries
// without any of the impairments. The caller holds mu.
func (c *cutCheck) compare(cuts, impairments []*entrySpan) (result comparison) {
	result.ofBuilds = map[string]share{}
	for _, t := range c.tries {
		before := t.sentAt.Add(-contactTime)
		if slices.ContainsFunc(impairments, func(i *entrySpan) bool { return i.overlaps(t.entry, before, t.endedAt) }) {
			continue
		}
		during := func(cut *entrySpan) bool {
			return !t.sentAt.Before(cut.from.Add(contactTime)) && t.sentAt.Before(cut.to)
		}
		if !slices.ContainsFunc(cuts, during) {
			continue
		}
		served := 0
		if t.served {
			served = 1
		}
		switch {
		case slices.ContainsFunc(cuts, func(cut *entrySpan) bool { return during(cut) && slices.Contains(cut.entries, t.entry) }):
			result.all++
			result.served += served
			if t.builds != "" {
				s := result.ofBuilds[t.builds]
				result.ofBuilds[t.builds] = share{s.served + served, s.all + 1}
			}
		case !slices.ContainsFunc(c.cuts, func(cut *entrySpan) bool { return cut.overlaps(t.entry, before, t.endedAt) }):
			result.others++
			result.othersServed += served
		}
	}
	return result
}

// check adds a finding for each cut, and one for all cuts together, in which callers of cut
// entries were not served.
func (c *cutCheck) check(findings *checker, out io.Writer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.cuts) == 0 {
		return
	}
	total := c.compare(c.cuts, c.impairments)
	// The rule demands nothing while a core daemon is down, but others can help then.
	ofEntries := slices.DeleteFunc(slices.Clone(c.impairments), func(i *entrySpan) bool { return endsOneCore(i.kind) })
	fmt.Fprintf(out, "%d cuts: %s; with those beside faults of single core daemons: %s\n", len(c.cuts), total, c.compare(c.cuts, ofEntries))
	if total.broken() {
		findings.report("recover, cut: %s in all cuts", total)
	}
	for _, cut := range c.cuts {
		if one := c.compare([]*entrySpan{cut}, c.impairments); one.broken() {
			findings.report("recover, cut: %s in %s of entries %v from %s to %s", one, cut.kind, cut.entries,
				cut.from.Format("15:04:05.000"), cut.to.Format("15:04:05.000"))
		}
	}
}
