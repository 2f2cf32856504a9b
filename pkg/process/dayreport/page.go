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

// page is what the template is given.
type page struct {
	Report
	Served, Waits template.HTML
}

// WriteHTML writes the report as one self-contained page with plots.
func (r Report) WriteHTML(w io.Writer) error {
	t, err := template.New("page.html").ParseFS(pageFiles, "page.html")
	if err != nil {
		return errors.Wrap(err, "read page template")
	}
	served, err := r.chart("requests in 2 s",
		line{chart.Green, func(b Bin) float64 { return float64(b.Answered) }},
		line{chart.Orange, func(b Bin) float64 { return float64(b.Slow) }},
		line{chart.Red, func(b Bin) float64 { return float64(b.Unanswered()) }},
		line{chart.Blue, func(b Bin) float64 { return float64(b.Refused) }},
	)
	if err != nil {
		return err
	}
	waits, err := r.chart("wait in ms",
		line{chart.Green, func(b Bin) float64 { return float64(b.Median.Milliseconds()) }},
		line{chart.Orange, func(b Bin) float64 { return float64(b.P99.Milliseconds()) }},
	)
	if err != nil {
		return err
	}
	return t.Execute(w, page{Report: r, Served: served, Waits: waits})
}

// line is one line of a chart over the report's bins.
type line struct {
	colour color.Color
	value  func(Bin) float64
}

func (r Report) chart(unit string, lines ...line) (template.HTML, error) {
	seconds := make([]float64, len(r.Bins))
	series := make([]chart.Series, len(lines))
	for i, b := range r.Bins {
		seconds[i] = b.From.Seconds()
		for n, l := range lines {
			series[n].Colour = l.colour
			series[n].Values = append(series[n].Values, l.value(b))
		}
	}
	return chart.Lines(unit, seconds, series)
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// WriteTable writes the report as text.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, part := range []struct {
		head string
		rows []Row
	}{{"Class", r.Classes}, {"DataCentre", r.DataCentres}, {"Server", r.Servers}} {
		fmt.Fprintf(t, "%s\tForwarded\tAnswered\tSlow\tUnanswered\tRefused\tMedian\tP99\n", part.head)
		for _, row := range part.rows {
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
