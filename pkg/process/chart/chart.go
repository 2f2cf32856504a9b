// Package chart draws line charts over time for reports.
//
// # Usage
//
//	svg, err := chart.Lines("requests in 2 s", seconds, []chart.Series{{Colour: chart.Green, Values: answered}})
package chart

import (
	"bytes"
	"html/template"
	"image/color"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a chart on the page.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
)

// Colours of lines.
var (
	Green  = color.RGBA{G: 120, B: 60, A: 255}
	Orange = color.RGBA{R: 220, G: 140, A: 255}
	Red    = color.RGBA{R: 200, A: 255}
	Blue   = color.RGBA{R: 90, G: 90, B: 160, A: 255}
)

// Series is one line, with a value for each point in time.
type Series struct {
	Colour color.Color
	Values []float64
}

// Lines returns a chart of the series over seconds, as SVG to embed in a page. unit
// labels the vertical axis. Each series needs at least as many values as seconds.
func Lines(unit string, seconds []float64, series []Series) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.Y.Min = 0
	for n, s := range series {
		points := make(plotter.XYs, len(seconds))
		for i, x := range seconds {
			points[i].X, points[i].Y = x, s.Values[i]
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", errors.Wrapf(err, "plot line %d of %q", n, unit)
		}
		line.Color = s.Colour
		p.Add(line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "draw")
	}
	return template.HTML(b.String()), nil // safe to embed: drawn here, from numbers only
}
