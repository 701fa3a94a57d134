package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/proto"
)

// table collects rows and prints them in aligned columns.
type table struct {
	rows [][]string
}

func newTable(header ...string) *table {
	return &table{rows: [][]string{header}}
}

func (t *table) addRow(cells ...string) {
	for i, cell := range cells {
		if cell == "" {
			cells[i] = "-"
		}
	}
	t.rows = append(t.rows, cells)
}

func (t *table) print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	for _, cells := range t.rows {
		if _, err := fmt.Fprintln(tw, strings.Join(cells, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

func (c *cli) printJSON(m proto.Message) error {
	raw, err := stableJSON(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "%s\n", raw)
	return err
}

// shortEnumName returns the last word of an enum value's name in lower case.
func shortEnumName(name string) string {
	return strings.ToLower(name[strings.LastIndex(name, "_")+1:])
}

func formatTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
