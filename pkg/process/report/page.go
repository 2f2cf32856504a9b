package report

import (
	"bytes"
	"embed"
	"html/template"
	"image/color"
	"io"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
)

// Size of a plot on the page.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

//go:embed page.html
var pageFiles embed.FS

// pageRow is one class on the page, with the plots of its burn rates as SVG.
type pageRow struct {
	Row
	Requests template.HTML
	Flows    template.HTML
}

// page is the data of the template.
type page struct {
	Report
	Rows []pageRow
}

// WriteHTML writes r as one self-contained HTML page with plots of the burn
// rates.
func (r Report) WriteHTML(w io.Writer) error {
	t, err := template.New("page.html").Funcs(template.FuncMap{"percent": percent}).ParseFS(pageFiles, "page.html")
	if err != nil {
		return errors.Wrap(err, "read page template")
	}
	p := page{Report: r}
	for _, row := range r.Rows {
		drawn, err := drawRow(r.At, row)
		if err != nil {
			return err
		}
		p.Rows = append(p.Rows, drawn)
	}
	return t.Execute(w, p)
}

func percent(share float64) float64 { return share * 100 }

func drawRow(now time.Time, row Row) (pageRow, error) {
	requests, err := drawBurn("Burn rate of requests", now, row.Points, row.Share)
	if err != nil {
		return pageRow{}, err
	}
	flows, err := drawBurn("Burn rate of flows", now, row.FlowPoints, row.FlowShare)
	return pageRow{Row: row, Requests: requests, Flows: flows}, err
}

// drawBurn draws the burn rate of each minute and a line at a burn rate of 1,
// as SVG. It returns nothing if there are no points.
func drawBurn(title string, now time.Time, points []Point, share float64) (template.HTML, error) {
	if len(points) == 0 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Tick.Marker = plot.TimeTicks{Format: "15:04", Time: utc}
	p.X.Min = float64(now.Add(-budget.SlowWindow).Unix())
	p.X.Max = float64(now.Unix())
	p.Y.Min = 0
	curve := make(plotter.XYs, 0, len(points))
	for _, point := range points {
		curve = append(curve, plotter.XY{X: float64(point.At.Unix()), Y: point.Burn(share)})
	}
	line, err := plotter.NewLine(curve)
	if err != nil {
		return "", errors.Wrap(err, "draw burn rate")
	}
	line.Color = color.RGBA{B: 160, A: 255}
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Color = color.RGBA{R: 200, A: 255}
	p.Add(plotter.NewGrid(), line, limit)
	p.Y.Max = max(p.Y.Max, 2)
	return svg(p)
}

func utc(t float64) time.Time { return time.Unix(int64(t), 0).UTC() }

// svg renders the plot without the XML declaration, so that it can be
// embedded in a page.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "render plot")
	}
	image := b.Bytes()
	if start := bytes.Index(image, []byte("<svg")); start >= 0 {
		image = image[start:]
	}
	// The SVG has only numbers and fixed titles, so it needs no escaping.
	return template.HTML(image), nil
}
