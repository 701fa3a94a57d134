package soak

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// processStart is a start of a daemon.
type processStart struct {
	at    time.Time
	build string
	// logOffset is the size of the log at the start.
	logOffset int64
}

// buildAt returns the build that wrote a log at an offset, empty if none is known.
func (p *process) buildAt(offset int64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range slices.Backward(p.starts) {
		if offset >= s.logOffset {
			return s.build
		}
	}
	return ""
}

// daemons returns all daemons.
func (s *system) daemons() []*process { return slices.Concat(s.cores, s.entries) }

// buildOfLog returns the build that wrote a log at an offset, empty in a run with one build.
func (s *system) buildOfLog(file string, offset int64) string {
	for _, p := range s.daemons() {
		if s.opts.Upgrade != nil && filepath.Base(p.logFile) == filepath.Base(file) {
			return p.buildAt(offset)
		}
	}
	return ""
}

// describe returns the name of a daemon, with its build in a run with several.
func (s *system) describe(p *process) string {
	if s.opts.Upgrade == nil {
		return p.node.Name
	}
	return p.node.Name + inBrackets(p.currentBuild())
}

// inBrackets returns " (text)", nothing if there is none.
func inBrackets(text string) string {
	if text == "" {
		return ""
	}
	return " (" + text + ")"
}

// decisions are the lines of logs that tell how a request was placed and ended.
type decisions struct {
	// placed and ended name the daemon, its build and what it logged. A request that the entry
	// sent without a grant has none from the core.
	placed, ended []string
	// builds are those of the core daemons that placed it.
	builds []string
}

func (d decisions) String() string {
	return strings.Join(slices.Concat(d.placed, d.ended), ", ")
}

// placer describes who placed the request.
func (d decisions) placer() string {
	if len(d.builds) == 0 {
		return "not placed by the core"
	}
	return "placed by a core daemon of " + d.builds[len(d.builds)-1]
}

// placedFields and endedFields are the fields of log lines that findings quote.
var (
	placedFields = []string{"attempt", "upstream", "lease"}
	endedFields  = []string{"service", "status", "reason", "placed_by", "stream", "trail"}
)

// failure is the end of requests that entries of a build did not serve.
type failure struct {
	phase         phase
	build, reason string
}

// logFindings is what the logs tell of requests.
type logFindings struct {
	// decisions are those about the requests that were asked for.
	decisions map[string]decisions
	// failures counts the requests that were not served though their callers stayed.
	failures map[failure]int
}

// readLogs reads from the logs how some requests were placed and ended, and why others were
// not served.
func (s *system) readLogs(ids map[string]bool) logFindings {
	found := logFindings{map[string]decisions{}, map[failure]int{}}
	for _, p := range s.daemons() {
		text, err := os.ReadFile(p.logFile)
		if err != nil {
			s.check.report("reading the log of %s: %v", p.node.Name, err)
			continue
		}
		offset := int64(0)
		for line := range bytes.Lines(text) {
			s.readLine(p, string(line), offset, ids, found)
			offset += int64(len(line))
		}
	}
	return found
}

func (s *system) readLine(p *process, line string, offset int64, ids map[string]bool, found logFindings) {
	event, id, build := logField(line, "event"), logField(line, "id"), p.buildAt(offset)
	if event == "request.ended" && logField(line, "status") != "200" {
		if p, stayed := s.check.phaseOf(id); stayed {
			found.failures[failure{p, build, logField(line, "reason")}]++
		}
	}
	if !ids[id] {
		return
	}
	d := found.decisions[id]
	switch event {
	case "request.placed":
		d.builds = append(d.builds, build)
		d.placed = append(d.placed, fmt.Sprintf("placed by %s (%s): %s", p.node.Name, build, quoteFields(line, placedFields)))
	case "request.ended":
		d.ended = append(d.ended, fmt.Sprintf("ended at %s (%s): %s", p.node.Name, build, quoteFields(line, endedFields)))
	default:
		return
	}
	found.decisions[id] = d
}

// logField returns the value of a field of a log line, empty if it has none.
func logField(line, name string) string {
	_, value, found := strings.Cut(line, " "+name+"=")
	if !found {
		return ""
	}
	if quoted, isQuoted := strings.CutPrefix(value, `"`); isQuoted {
		value, _, _ = strings.Cut(quoted, `"`)
		return value
	}
	value, _, _ = strings.Cut(strings.TrimSuffix(value, "\n"), " ")
	return value
}

func quoteFields(line string, names []string) string {
	var words []string
	for _, name := range names {
		if value := logField(line, name); value != "" {
			words = append(words, name+"="+value)
		}
	}
	return strings.Join(words, " ")
}
