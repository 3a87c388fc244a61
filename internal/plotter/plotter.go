// Package plotter draws line plots as SVG files.
package plotter

import (
	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is one named data series of a plot.
type Series struct {
	Name string
	X, Y []float64
}

const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// Draw writes a plot of the series, with a title and the labels x and y of the
// axes, to an SVG file. It panics if X and Y of a series differ in length.
func Draw(path, title, x, y string, series []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, s := range series {
		if len(s.X) != len(s.Y) {
			panic("plotter: lengths of X and Y differ")
		}
		points := make(plotter.XYs, len(s.X))
		for j := range s.X {
			points[j].X, points[j].Y = s.X[j], s.Y[j]
		}
		plotLine, err := plotter.NewLine(points)
		if err != nil {
			return errors.Annotate(err, "drawing")
		}
		plotLine.Color = plotutil.Color(i)
		plotLine.Dashes = plotutil.Dashes(i / 7)
		p.Add(plotLine)
		p.Legend.Add(s.Name, plotLine)
	}
	return errors.Trace(p.Save(width, height, path))
}
