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

// print writes v as JSON if the flag --json is set, and the table otherwise.
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

// table holds the rows of a table; the first row is the header.
type table [][]string

// add appends a row of columns.
func (t *table) add(columns ...any) {
	row := make([]string, len(columns))
	for i, c := range columns {
		row[i] = fmt.Sprint(c)
	}
	*t = append(*t, row)
}

// formatUsage returns the percentage of the total that is used, for each resource that the total has.
func formatUsage(used, total cell.Resources) string {
	resources := []struct {
		name        string
		used, total int64
	}{
		{"cpu", used.MilliCPU, total.MilliCPU},
		{"mem", used.MemoryMiB, total.MemoryMiB},
		{"acc", used.Accelerators, total.Accelerators},
		{"slots", used.Slots, total.Slots},
	}
	var parts []string
	for _, r := range resources {
		if r.total > 0 {
			parts = append(parts, fmt.Sprintf("%s %d%%", r.name, 100*r.used/r.total))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}
