package dayreport

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot on the page.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
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
	served, err := r.plot("requests in 2 s", map[string]func(Bin) float64{
		"answered":   func(b Bin) float64 { return float64(b.Answered) },
		"slow":       func(b Bin) float64 { return float64(b.Slow) },
		"unanswered": func(b Bin) float64 { return float64(b.Unanswered()) },
		"refused":    func(b Bin) float64 { return float64(b.Refused) },
	})
	if err != nil {
		return err
	}
	waits, err := r.plot("wait in ms", map[string]func(Bin) float64{
		"answered": func(b Bin) float64 { return float64(b.Median.Milliseconds()) },
		"slow":     func(b Bin) float64 { return float64(b.P99.Milliseconds()) },
	})
	if err != nil {
		return err
	}
	return t.Execute(w, page{Report: r, Served: served, Waits: waits})
}

// lines are the names of a plot's lines in their order, with their colours.
var lines = []struct {
	name   string
	colour color.Color
}{
	{"answered", color.RGBA{G: 120, B: 60, A: 255}},
	{"slow", color.RGBA{R: 220, G: 140, A: 255}},
	{"unanswered", color.RGBA{R: 200, A: 255}},
	{"refused", color.RGBA{R: 90, G: 90, B: 160, A: 255}},
}

func (r Report) plot(unit string, values map[string]func(Bin) float64) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.Y.Min = 0
	for _, l := range lines {
		value, drawn := values[l.name]
		if !drawn {
			continue
		}
		points := make(plotter.XYs, len(r.Bins))
		for i, b := range r.Bins {
			points[i].X, points[i].Y = b.From.Seconds(), value(b)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", errors.Wrapf(err, "plot %q", l.name)
		}
		line.Color = l.colour
		p.Add(line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "draw")
	}
	return template.HTML(b.String()), nil // drawn here, from numbers only
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
