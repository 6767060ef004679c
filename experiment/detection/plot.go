package detection

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Range of the time axis in seconds. The upper end leaves room for the legend.
const plotFastest, plotSlowest = 0.1, 20

func timeTicks() plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for _, v := range []float64{0.1, 0.2, 0.5, 1, 2, 3, 5, 10, 20} {
		ticks = append(ticks, plot.Tick{Value: v, Label: fmt.Sprint(v)})
	}
	return ticks
}

// PlotCurve plots detection time against false ejections, both on logarithmic
// axes, to a file. The extension (.svg or .png) selects the format. Points without
// any false ejection are drawn as rings at the upper 95% bound.
func PlotCurve(path string, points []CurvePoint) error {
	p := plot.New()
	p.Title.Text = "Detection time against false ejections, by threshold (nats)"
	p.X.Label.Text = "false ejections per server-day (rings: none seen, 95% upper bound)"
	p.Y.Label.Text = "detection time in seconds, 10 requests/s a server"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, timeTicks()
	p.Y.Min, p.Y.Max = plotFastest, plotSlowest
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	series := []struct {
		name  string
		value func(CurvePoint) time.Duration
		color color.Color
		label bool
	}{
		{"full stall, median", func(c CurvePoint) time.Duration { return c.StallMedian }, color.RGBA{B: 200, A: 255}, true},
		{"full stall, p99", func(c CurvePoint) time.Duration { return c.StallP99 }, color.RGBA{R: 110, G: 150, B: 255, A: 255}, false},
		{"30% errors, median", func(c CurvePoint) time.Duration { return c.ErrorsMedian }, color.RGBA{R: 200, A: 255}, false},
		{"30% errors, p99", func(c CurvePoint) time.Duration { return c.ErrorsP99 }, color.RGBA{R: 255, G: 150, B: 110, A: 255}, false},
	}
	for _, s := range series {
		if err := addSeries(p, s.name, s.color, s.label, s.value, points); err != nil {
			return fmt.Errorf("plot %s: %w", s.name, err)
		}
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}

func addSeries(p *plot.Plot, name string, c color.Color, labelled bool, value func(CurvePoint) time.Duration, points []CurvePoint) error {
	var line, seen, bounds plotter.XYs
	var labels plotter.XYLabels
	for _, point := range points {
		v := value(point)
		if v == 0 {
			continue
		}
		rate, bound := point.FalseRate()
		xy := plotter.XY{X: rate, Y: v.Seconds()}
		if line = append(line, xy); bound {
			bounds = append(bounds, xy)
		} else {
			seen = append(seen, xy)
		}
		labels.XYs = append(labels.XYs, xy)
		labels.Labels = append(labels.Labels, fmt.Sprintf(" %.3g", point.Threshold))
	}
	l, err := plotter.NewLine(line)
	if err != nil {
		return err
	}
	l.Color = c
	p.Add(l)
	p.Legend.Add(name, l)
	if err := addMarks(p, seen, c, draw.CircleGlyph{}); err != nil {
		return err
	}
	if err := addMarks(p, bounds, c, draw.RingGlyph{}); err != nil {
		return err
	}
	if !labelled {
		return nil
	}
	text, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	p.Add(text)
	return nil
}

func addMarks(p *plot.Plot, at plotter.XYs, c color.Color, shape draw.GlyphDrawer) error {
	if len(at) == 0 {
		return nil
	}
	marks, err := plotter.NewScatter(at)
	if err != nil {
		return err
	}
	marks.GlyphStyle = draw.GlyphStyle{Color: c, Radius: vg.Points(2.5), Shape: shape}
	p.Add(marks)
	return nil
}
