// SPDX-License-Identifier: Apache-2.0

package capacity

import (
	"math"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot writes an SVG plot of each slope into a directory. It shows the points, the fitted
// line, and a cross at the planned size.
func Plot(f *Fits, dir string) error {
	for _, s := range Slopes() {
		if err := plotFit(f.ByID(s.id), filepath.Join(dir, s.id+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// plotFit writes the plot of one fit.
func plotFit(f *Fit, file string) error {
	p := plot.New()
	p.Title.Text = f.slope.id
	p.X.Label.Text = f.slope.xUnit
	p.Y.Label.Text = f.slope.yUnit
	measured := make(plotter.XYs, len(f.points))
	maxX := f.slope.planned
	for i, point := range f.points {
		measured[i] = plotter.XY{X: point.x, Y: point.y}
		maxX = math.Max(maxX, point.x)
	}
	points, err := plotter.NewScatter(measured)
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: f.intercept}, {X: maxX, Y: f.At(maxX)}})
	if err != nil {
		return err
	}
	planned, err := plotter.NewScatter(plotter.XYs{{X: f.slope.planned, Y: f.Planned()}})
	if err != nil {
		return err
	}
	planned.Shape = draw.CrossGlyph{}
	planned.Radius = vg.Points(6)
	p.Add(line, points, planned)
	p.Legend.Add("measured", points)
	p.Legend.Add("planned size", planned)
	p.Legend.Top = true
	p.Legend.Left = true
	return p.Save(plotWidth, plotHeight, file)
}
