package review

import (
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes a timeline to a PNG file, with one row per incident and one point per event.
func (r Review) Plot(name string) error {
	p := plot.New()
	p.Title.Text = "incidents over time"
	p.X.Label.Text = "seconds"
	var labels []string
	for row, i := range r.Incidents {
		points := make(plotter.XYs, len(i.Events))
		for n, e := range i.Events {
			points[n].X, points[n].Y = e.At.Sub(r.From).Seconds(), float64(row)
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return errors.Trace(err)
		}
		p.Add(line, dots)
		labels = append(labels, i.Name)
	}
	p.Add(plotter.NewGrid())
	if len(labels) > 0 {
		p.NominalY(labels...)
	}
	return errors.Trace(p.Save(plotWidth, plotHeight, name))
}
