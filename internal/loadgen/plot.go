package loadgen

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Series is a report and its label in a plot.
type Series struct {
	Label  string
	Report *Report
}

var plottedPercents = []float64{0, 10, 20, 30, 40, 50, 60, 70, 80, 85, 90, 92, 94, 95, 96, 97, 98, 98.5, 99, 99.5, 99.8, 99.9}

// WritePlot plots latency by percentile, with one line per series. The suffix of
// path, such as .png, selects the file format.
func WritePlot(path, title string, series ...Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "percent of complete responses"
	p.Y.Label.Text = "latency from intended send time, ms"
	p.Legend.Top = true
	p.Legend.Left = true
	lines := make([]any, 0, 2*len(series))
	for _, s := range series {
		points := make(plotter.XYs, 0, len(plottedPercents))
		for _, percent := range plottedPercents {
			points = append(points, plotter.XY{X: percent, Y: quantile(s.Report.histogram, percent)})
		}
		lines = append(lines, s.Label, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("loadgen: plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("loadgen: plot: %w", err)
	}
	return nil
}
