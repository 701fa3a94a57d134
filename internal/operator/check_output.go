package operator

import (
	"encoding/json"
	"fmt"
	"strings"
	"unicode"

	"godwitward.example/godwitward/internal/configcheck"
)

// checkReport is the result of "config check".
type checkReport struct {
	version        uint64
	findings       []configcheck.Finding
	compared       bool
	inForceVersion uint64
	differences    []configcheck.Difference
}

// reportJSON is the JSON form of a checkReport.
type reportJSON struct {
	Version  uint64        `json:"version"`
	Errors   int           `json:"errors"`
	Warnings int           `json:"warnings"`
	Findings []findingJSON `json:"findings"`
	// Differences is absent if nothing was compared.
	Differences *differencesJSON `json:"differences,omitempty"`
}

type findingJSON struct {
	Severity configcheck.Severity  `json:"severity"`
	Rule     string                `json:"rule"`
	Place    string                `json:"place"`
	Position *configcheck.Position `json:"position,omitempty"`
	Message  string                `json:"message"`
}

type differencesJSON struct {
	FromVersion uint64           `json:"from_version"`
	Marked      int              `json:"marked"`
	Items       []differenceJSON `json:"items"`
}

type differenceJSON struct {
	Change  configcheck.Change `json:"change"`
	Place   string             `json:"place"`
	Message string             `json:"message"`
	Marked  bool               `json:"marked"`
}

// counts returns the numbers of errors, warnings and marked differences.
func (r *checkReport) counts() (errors, warnings, marked int) {
	for i := range r.findings {
		if r.findings[i].Severity == configcheck.Error {
			errors++
		} else {
			warnings++
		}
	}
	for i := range r.differences {
		if r.differences[i].Marked {
			marked++
		}
	}
	return errors, warnings, marked
}

func (c *cli) printReport(r *checkReport, file string) error {
	if c.output == formatJSON {
		return c.printReportJSON(r)
	}
	return c.printReportText(r, file)
}

func (c *cli) printReportJSON(r *checkReport) error {
	errors, warnings, marked := r.counts()
	out := reportJSON{Version: r.version, Errors: errors, Warnings: warnings, Findings: []findingJSON{}}
	for _, f := range r.findings {
		j := findingJSON{Severity: f.Severity, Rule: f.Rule, Place: f.Place, Message: f.Message}
		if f.Position != (configcheck.Position{}) {
			j.Position = &f.Position
		}
		out.Findings = append(out.Findings, j)
	}
	if r.compared {
		out.Differences = &differencesJSON{FromVersion: r.inForceVersion, Marked: marked, Items: []differenceJSON{}}
		for _, d := range r.differences {
			out.Differences.Items = append(out.Differences.Items, differenceJSON(d))
		}
	}
	encoder := json.NewEncoder(c.stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(&out)
}

func (c *cli) printReportText(r *checkReport, file string) error {
	var out strings.Builder
	if file == stdinFile {
		file = "<stdin>"
	}
	for _, f := range r.findings {
		out.WriteString(file)
		if p := f.Position; p != (configcheck.Position{}) {
			fmt.Fprintf(&out, ":%d:%d", p.Line, p.Column)
		}
		fmt.Fprintf(&out, ": %s: ", f.Severity)
		if f.Place != "" {
			out.WriteString(printable(f.Place) + ": ")
		}
		out.WriteString(printable(f.Message) + "\n")
	}
	errors, warnings, marked := r.counts()
	if r.compared {
		fmt.Fprintf(&out, "version %d in force, version %d checked; marked with !: lowered caps, revoked keys, changed need for a key\n", r.inForceVersion, r.version)
		for _, d := range r.differences {
			mark := ' '
			if d.Marked {
				mark = '!'
			}
			fmt.Fprintf(&out, "%c %-7s %s: %s\n", mark, d.Change, printable(d.Place), printable(d.Message))
		}
	}
	fmt.Fprintf(&out, "%d errors, %d warnings", errors, warnings)
	if r.compared {
		fmt.Fprintf(&out, ", %d differences, %d marked", len(r.differences), marked)
	}
	_, err := fmt.Fprintln(c.stdout, out.String())
	return err
}

// printable replaces characters with which names of a configuration could control a
// terminal or forge a line.
func printable(s string) string {
	return strings.Map(func(ch rune) rune {
		if unicode.IsPrint(ch) {
			return ch
		}
		return unicode.ReplacementChar
	}, s)
}
