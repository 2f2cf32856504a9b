package dayreport

import (
	"embed"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/chart"
)

//go:embed page.html
var pageFiles embed.FS

// page is the data of the page's template.
type page struct {
	Report
	Served, Waits template.HTML
}

// WriteHTML writes the report as a self-contained HTML page with plots.
func (r Report) WriteHTML(w io.Writer) error {
	t, err := template.New("page.html").ParseFS(pageFiles, "page.html")
	if err != nil {
		return errors.Wrap(err, "read page template")
	}
	served, err := r.chart("requests in 2 s",
		series{chart.Green, func(b Bin) float64 { return float64(b.Answered) }},
		series{chart.Orange, func(b Bin) float64 { return float64(b.Slow) }},
		series{chart.Red, func(b Bin) float64 { return float64(b.Unanswered()) }},
		series{chart.Blue, func(b Bin) float64 { return float64(b.Refused) }},
	)
	if err != nil {
		return err
	}
	waits, err := r.chart("wait in ms",
		series{chart.Green, func(b Bin) float64 { return float64(b.Median.Milliseconds()) }},
		series{chart.Orange, func(b Bin) float64 { return float64(b.P99.Milliseconds()) }},
	)
	if err != nil {
		return err
	}
	return t.Execute(w, page{Report: r, Served: served, Waits: waits})
}

// series is one curve of a chart over the report's bins.
type series struct {
	colour color.Color
	value  func(Bin) float64
}

func (r Report) chart(unit string, curves ...series) (template.HTML, error) {
	seconds := make([]float64, len(r.Bins))
	drawn := make([]chart.Series, len(curves))
	for i, b := range r.Bins {
		seconds[i] = b.From.Seconds()
		for n, c := range curves {
			drawn[n].Colour = c.colour
			drawn[n].Values = append(drawn[n].Values, c.value(b))
		}
	}
	return chart.Lines(unit, seconds, drawn)
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// WriteTable writes the report as aligned plain text.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, section := range []struct {
		heading string
		rows    []Row
	}{{"Class", r.Classes}, {"DataCentre", r.DataCentres}, {"Server", r.Servers}} {
		fmt.Fprintf(t, "%s\tForwarded\tAnswered\tSlow\tUnanswered\tRefused\tMedian\tP99\n", section.heading)
		for _, row := range section.rows {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\n", row.Name, row.Forwarded, row.Answered, row.Slow, row.Unanswered(), row.Refused, row.Median, row.P99)
		}
		fmt.Fprintln(t)
	}
	for _, reason := range r.Reasons {
		fmt.Fprintf(t, "%d\t%s\n", reason.Times, reason.Name)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}
