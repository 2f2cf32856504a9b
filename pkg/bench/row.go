// Package bench defines the result rows that all of weirctl's benchmarks
// return, and writes them as JSON or as a table.
//
// A benchmark drives the production decision cores. Each row is one measure of
// one design, with the bound that users stated, if any.
//
// # Usage
//
//	rows := []bench.Row{bench.AtMost(bench.Tanagerweir, "MisroutedPackets", 0, "packets", 0)}
//	err := bench.WriteJSON(os.Stdout, rows)
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Tanagerweir is the value of Row.Design for this project's own design.
const Tanagerweir = "Tanagerweir"

// Row is one measure of one design. Its fields are encoded in JSON under
// their Go names.
type Row struct {
	Design  string
	Measure string
	Value   float64
	Unit    string
	// Bound is the target that users stated, nil without one.
	Bound *float64
	// Holds reports whether Value is within Bound. It is true without a bound.
	Holds bool
}

// Measured returns a row without a bound, whose Holds is true.
func Measured(design, measure string, value float64, unit string) Row {
	return Row{Design: design, Measure: measure, Value: value, Unit: unit, Holds: true}
}

// AtMost returns a row that holds if the value doesn't exceed the bound.
func AtMost(design, measure string, value float64, unit string, bound float64) Row {
	return Row{Design: design, Measure: measure, Value: value, Unit: unit, Bound: &bound, Holds: value <= bound}
}

// AtLeast returns a row that holds if the value isn't below the bound.
func AtLeast(design, measure string, value float64, unit string, bound float64) Row {
	return Row{Design: design, Measure: measure, Value: value, Unit: unit, Bound: &bound, Holds: value >= bound}
}

// WriteJSON writes the rows to w as one indented JSON array.
func WriteJSON(w io.Writer, rows []Row) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(rows)
}

// WriteTable writes the rows to w as an aligned text table with a header line.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "DESIGN\tMEASURE\tVALUE\tUNIT\tBOUND\tHOLDS")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%s\t%.6g\t%s\t%s\t%t\n", r.Design, r.Measure, r.Value, r.Unit, formatBound(r.Bound), r.Holds)
	}
	return t.Flush()
}

// formatBound formats a bound for a table, as - if there is none.
func formatBound(b *float64) string {
	if b == nil {
		return "-"
	}
	return fmt.Sprintf("%.6g", *b)
}
