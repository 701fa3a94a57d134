package timeline

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// WriteText writes a table with one line for each event, with the time since the
// first event in milliseconds.
func WriteText(w io.Writer, events []*pb.Event) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "TIME\tSINCE_MS\tPROCESS\tEVENT\tREQUEST\tATTEMPT\tUPSTREAM\tLEASE\tDETAILS")
	for _, r := range eventRows(events) {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n",
			r.Time, r.Since, r.Process, r.Kind, r.Request, r.Attempt, r.Upstream, r.Lease, r.Details)
	}
	return tw.Flush()
}

// WriteHTML writes a self-contained page with a table of one column for each
// process and one row for each event.
func WriteHTML(w io.Writer, title string, events []*pb.Event) error {
	page := struct {
		Title     string
		Processes []string
		Rows      []eventRow
	}{Title: title, Rows: eventRows(events)}
	columns := map[string]int{}
	for i := range page.Rows {
		r := &page.Rows[i]
		if _, ok := columns[r.Process]; !ok {
			columns[r.Process] = len(page.Processes)
			page.Processes = append(page.Processes, r.Process)
		}
		r.Before = make([]struct{}, columns[r.Process])
	}
	for i := range page.Rows {
		page.Rows[i].After = make([]struct{}, len(page.Processes)-len(page.Rows[i].Before)-1)
	}
	return pageTemplate.Execute(w, page)
}

type eventRow struct {
	// Since is the time since the first event in milliseconds.
	Time, Since, Process, Kind, Request, Upstream, Lease, Details string

	Attempt uint32
	Slow    bool
	// Before and After are the empty cells on the two sides of the event's cell.
	Before, After []struct{}
}

// slowThreshold is the time since the previous event above which the page marks a
// row as slow. For comparison, the TTFT target is 760 ms.
const slowThreshold = 100 * time.Millisecond

func eventRows(events []*pb.Event) []eventRow {
	out := make([]eventRow, 0, len(events))
	for i, e := range events {
		details := make([]string, len(e.Attributes))
		for j, a := range e.Attributes {
			details[j] = a.Key + "=" + a.Value
		}
		us := e.Time.GetWallUs()
		r := eventRow{
			Time:    time.UnixMicro(us).UTC().Format("15:04:05.000000"),
			Since:   fmt.Sprintf("%.3f", float64(us-events[0].Time.GetWallUs())/1000),
			Process: e.Process, Kind: e.Kind, Request: e.RequestId, Attempt: e.Attempt,
			Upstream: e.Upstream, Lease: e.Lease, Details: strings.Join(details, " "),
		}
		if i > 0 {
			r.Slow = time.Duration(us-events[i-1].Time.GetWallUs())*time.Microsecond > slowThreshold
		}
		out = append(out, r)
	}
	return out
}

var pageTemplate = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>
body{font:14px sans-serif;margin:1.5em;color:#222}
table{border-collapse:collapse}
th{position:sticky;top:0;background:#eef2f6;text-align:left}
th,td{padding:.25em .7em;border-right:1px solid #d5dce3;vertical-align:top}
tr.slow td{border-top:3px solid #d9822b}
td.t{font-variant-numeric:tabular-nums;text-align:right;white-space:nowrap;color:#555}
.e{background:#e4f0e8;border-radius:3px;padding:.1em .4em;white-space:nowrap}
.d{color:#555;font-size:12px}
</style></head><body><h1>{{.Title}}</h1>
<p>Milliseconds since the first event. A thick line marks a wait of over 100 ms.</p>
<table><thead><tr><th>ms</th>{{range .Processes}}<th>{{.}}</th>{{end}}</tr></thead><tbody>
{{range .Rows}}<tr{{if .Slow}} class="slow"{{end}}><td class="t">{{.Since}}</td>{{range .Before}}<td></td>{{end}}<td><span class="e">{{.Kind}}</span>
<div class="d">{{.Request}}{{if .Attempt}} attempt {{.Attempt}}{{end}} {{.Upstream}} {{.Lease}} {{.Details}}</div></td>{{range .After}}<td></td>{{end}}</tr>
{{end}}</tbody></table></body></html>
`))
