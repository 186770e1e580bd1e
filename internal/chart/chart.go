// Package chart renders bar charts as SVG.
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

// Bar is a named value and its error, in the unit of the axis.
type Bar struct {
	Name  string
	Value float64
	Error float64
}

// Dimensions of a chart.
const (
	width     = 16 * vg.Centimeter
	barWidth  = 0.5 * vg.Centimeter
	rowHeight = 1.1 * vg.Centimeter
	margins   = 3 * vg.Centimeter
)

// Bars writes an SVG chart of horizontal bars with error bars. The first bar is on top.
func Bars(out io.Writer, title, axis string, bars []Bar) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = title, axis
	values, points := make(plotter.Values, len(bars)), errorBars{}
	names := make([]string, len(bars))
	for i, bar := range bars {
		// Position 0 is at the bottom of the chart.
		position := len(bars) - 1 - i
		values[position], names[position] = bar.Value, bar.Name
		points.XYs = append(points.XYs, plotter.XY{X: bar.Value, Y: float64(position)})
		points.XErrors = append(points.XErrors, struct{ Low, High float64 }{bar.Error, bar.Error})
	}
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("create bars: %w", err)
	}
	chart.Horizontal = true
	xErrors, err := plotter.NewXErrorBars(points)
	if err != nil {
		return fmt.Errorf("create error bars: %w", err)
	}
	p.Add(plotter.NewGrid(), chart, xErrors)
	p.NominalY(names...)
	canvas := vgsvg.New(width, margins+rowHeight*vg.Length(len(bars)))
	p.Draw(draw.New(canvas))
	if _, err := canvas.WriteTo(out); err != nil {
		return fmt.Errorf("write chart: %w", err)
	}
	return nil
}

// errorBars are points with an error to their left and right.
type errorBars struct {
	plotter.XYs
	plotter.XErrors
}
