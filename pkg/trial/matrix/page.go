package matrix

import (
	"fmt"
	"strings"

	"github.com/tanagerweir/tanagerweir/pkg/trial"
)

// Page returns the Markdown page that lists promises, faults and steps and
// which promises each cell checks.
func Page() string {
	var b strings.Builder
	b.WriteString("# Fault matrix\n\nGenerated from `pkg/trial/matrix`. Each cell runs one step under one fault, " +
		"which occurs once or twice, and checks the promises whose numbers it shows. Cells drawn from a seed run pairs of " +
		"faults. A fault occurs within 2 s of the step and lasts 1 s to 7 s, as drawn from the seed.\n\n" +
		"- In CI: `go test ./pkg/trial/matrix`\n" +
		"- More cells: `weirctl bench matrix --seed 1 --cells 1000 --format json`\n" +
		"- Cells that fail because of a known fault are listed in `KNOWN-RED.txt`.\n\n")
	b.WriteString("## Promises\n\n")
	for i, p := range trial.Promises() {
		fmt.Fprintf(&b, "%d. **%s**: %s.\n", i+1, p, checkDescription(p))
	}
	b.WriteString("\n## Faults\n\n| Fault | What happens |\n| --- | --- |\n")
	for _, f := range Faults() {
		fmt.Fprintf(&b, "| %s | %s |\n", f.Name, f.Description)
	}
	b.WriteString("\n## Steps\n\nIn every step some flows are open, others begin, and requests are sent.\n\n| Step | What is done |\n| --- | --- |\n")
	for _, s := range Steps() {
		fmt.Fprintf(&b, "| %s | %s |\n", s.Name, s.Description)
	}
	writeCoverage(&b)
	writeUnchecked(&b)
	return b.String()
}

// writeCoverage writes the table of cells with the numbers of the promises that
// each one checks.
func writeCoverage(b *strings.Builder) {
	b.WriteString("\n## Cells\n\n| Fault |")
	for _, s := range Steps() {
		fmt.Fprintf(b, " %s |", s.Name)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(Steps())+1) + "\n")
	for _, f := range Faults() {
		fmt.Fprintf(b, "| %s |", f.Name)
		for _, s := range Steps() {
			fmt.Fprintf(b, " %s |", promiseNumbers(f, s))
		}
		b.WriteString("\n")
	}
}

// promiseNumbers returns the numbers of the promises that are checked for the
// step under the fault, separated by spaces.
func promiseNumbers(f Fault, s Step) string {
	var checked []string
	for i, p := range trial.Promises() {
		if Unchecked(p, f, s) == "" {
			checked = append(checked, fmt.Sprint(i+1))
		}
	}
	return strings.Join(checked, " ")
}

// writeUnchecked writes for each promise how many cells do not check it, and
// the reason.
func writeUnchecked(b *strings.Builder) {
	b.WriteString("\n## Not checked, and why\n\n| Promise | Cells | Why |\n| --- | --- | --- |\n")
	for _, p := range trial.Promises() {
		cells := make(map[string]int)
		var reasons []string
		for _, f := range Faults() {
			for _, s := range Steps() {
				reason := Unchecked(p, f, s)
				if reason == "" {
					continue
				}
				if cells[reason] == 0 {
					reasons = append(reasons, reason)
				}
				cells[reason]++
			}
		}
		for _, reason := range reasons {
			fmt.Fprintf(b, "| %s | %d of %d | %s |\n", p, cells[reason], len(Faults())*len(Steps()), reason)
		}
	}
}
