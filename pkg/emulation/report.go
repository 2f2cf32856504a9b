package emulation

import (
	"embed"
	"encoding/json"
	"html/template"
	"io"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/process/chart"
)

// WriteJSON writes results as one JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	if err := json.NewEncoder(w).Encode(results); err != nil {
		return errors.Wrap(err, "write results")
	}
	return nil
}

//go:embed report.html
var reportFiles embed.FS

// resultWithCharts is a result with its charts as SVG, as report.html uses them.
type resultWithCharts struct {
	Result
	Benefit, Waits template.HTML
}

// WriteHTML writes results as one self-contained HTML page with charts.
func WriteHTML(w io.Writer, results []Result) error {
	t, err := template.New("report.html").ParseFS(reportFiles, "report.html")
	if err != nil {
		return errors.Wrap(err, "read report template")
	}
	var charted []resultWithCharts
	for _, r := range results {
		d, err := r.withCharts()
		if err != nil {
			return err
		}
		charted = append(charted, d)
	}
	return t.Execute(w, charted)
}

func (r Result) withCharts() (resultWithCharts, error) {
	d := resultWithCharts{Result: r}
	var seconds []float64
	benefit, median, high := chart.Series{Colour: chart.Green}, chart.Series{Colour: chart.Green}, chart.Series{Colour: chart.Orange}
	for n, w := range r.Windows {
		seconds = append(seconds, float64(n)*windowLength.Seconds())
		benefit.Values = append(benefit.Values, w.Benefit())
		median.Values = append(median.Values, w.MedianMilliseconds)
		high.Values = append(high.Values, w.P99Milliseconds)
	}
	var err error
	if d.Benefit, err = chart.Lines("benefit in 2 s", seconds, []chart.Series{benefit}); err != nil {
		return resultWithCharts{}, err
	}
	d.Waits, err = chart.Lines("wait in ms", seconds, []chart.Series{median, high})
	return d, err
}
