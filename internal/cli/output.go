package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/cell"
)

// tablePadding is the number of spaces between two columns.
const tablePadding = 2

// print writes v as JSON if that is asked for, and the table otherwise.
func (a *app) print(cmd *cli.Command, v any, t table) error {
	if cmd.Bool(flagJSON) {
		return a.printJSON(v)
	}
	w := tabwriter.NewWriter(a.streams.Out, 0, 0, tablePadding, ' ', 0)
	for _, row := range t {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.streams.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table is rows of columns, the first row being the head.
type table [][]string

// add appends a row of columns.
func (t *table) add(columns ...any) {
	row := make([]string, len(columns))
	for i, c := range columns {
		row[i] = fmt.Sprint(c)
	}
	*t = append(*t, row)
}

// formatUsage writes what is used of a total in each dimension that the total has.
func formatUsage(used, total cell.Resources) string {
	dimensions := []struct {
		name        string
		used, total int64
	}{
		{"cpu", used.MilliCPU, total.MilliCPU},
		{"mem", used.MemoryMiB, total.MemoryMiB},
		{"acc", used.Accelerators, total.Accelerators},
		{"slots", used.Slots, total.Slots},
	}
	var parts []string
	for _, d := range dimensions {
		if d.total > 0 {
			parts = append(parts, fmt.Sprintf("%s %d%%", d.name, 100*d.used/d.total))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}
