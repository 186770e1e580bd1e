// Package chart draws figures as SVG.
package chart

import (
	"fmt"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Bar is a figure with its error, in the unit of the axis.
type Bar struct {
	Name  string
	Value float64
	Error float64
}

// Sizes of a chart.
const (
	width    = 16 * vg.Centimeter
	barWidth = 0.5 * vg.Centimeter
	perBar   = 1.1 * vg.Centimeter
	margins  = 3 * vg.Centimeter
)

// Bars draws horizontal bars with error bars, the first on top.
func Bars(out io.Writer, title, axis string, bars []Bar) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, axis
	values, points := make(plotter.Values, len(bars)), errorBars{}
	names := make([]string, len(bars))
	for i, bar := range bars {
		// The first position is the lowest one.
		at := len(bars) - 1 - i
		values[at], names[at] = bar.Value, bar.Name
		points.XYs = append(points.XYs, plotter.XY{X: bar.Value, Y: float64(at)})
		points.XErrors = append(points.XErrors, struct{ Low, High float64 }{bar.Error, bar.Error})
	}
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("bars: %w", err)
	}
	chart.Horizontal = true
	whiskers, err := plotter.NewXErrorBars(points)
	if err != nil {
		return fmt.Errorf("error bars: %w", err)
	}
	p.Add(plotter.NewGrid(), chart, whiskers)
	p.NominalY(names...)
	canvas := vgsvg.New(width, margins+perBar*vg.Length(len(bars)))
	p.Draw(draw.New(canvas))
	if _, err := canvas.WriteTo(out); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}

// errorBars are points with what may lie to their left and right.
type errorBars struct {
	plotter.XYs
	plotter.XErrors
}
