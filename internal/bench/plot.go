package bench

import (
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes a chart of the highest latency over time to a PNG file.
func (r *Report) Plot(name string) error {
	p := plot.New()
	p.Title.Text = "highest latency in each 100 ms, measured from when requests were due"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "milliseconds"
	points := make(plotter.XYs, len(r.Worst))
	for at, millis := range r.Worst {
		points[at].X, points[at].Y = float64(at)*sampleBucket.Seconds(), millis
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Trace(err)
	}
	p.Add(plotter.NewGrid(), line)
	return errors.Trace(p.Save(plotWidth, plotHeight, name))
}
