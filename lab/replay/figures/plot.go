//nolint:misspell // The plotting library spells its names the American way.
package figures

import (
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/merlindock/merlindock/lab/replay"
)

// Dimensions and colours of a plot.
const (
	width    = 24 * vg.Centimeter
	height   = 11 * vg.Centimeter
	barWidth = 9 // points
	// oracleGrey distinguishes the oracle from the policies that can be deployed.
	oracleGrey = 0x90
)

// PlotHitRate draws the hit rate of every policy under every workload into a
// file. The extension of its name selects the format.
func PlotHitRate(rows []Row, file string) error {
	return draw(rows, file, "Prefix hit rate by policy", "tokens reused / reusable", false,
		func(r Row) float64 { return r.HitRate })
}

// PlotFirstToken draws the 99th percentile of the time to the first token of
// interactive requests, on a logarithmic scale, into a file whose extension
// selects the format.
func PlotFirstToken(rows []Row, file string) error {
	return draw(rows, file, "First token of interactive requests, p99, by policy", "seconds", true,
		func(r Row) float64 { return r.P99 / 1000 })
}

func draw(rows []Row, file, title, axis string, logarithmic bool, value func(Row) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = axis
	p.Legend.Top = true
	if logarithmic {
		p.Y.Scale = logScale{}
		p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	policies := replay.Policies()
	for i, name := range policies {
		var values plotter.Values
		for _, r := range rows {
			if r.Policy == name {
				values = append(values, value(r))
			}
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return fmt.Errorf("figures: %w", err)
		}
		bars.Color = plotutil.Color(i)
		if name == replay.PolicyOracle {
			bars.Color = color.Gray{Y: oracleGrey}
		}
		bars.LineStyle.Width = 0
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(string(name), bars)
	}
	var names []string
	for _, l := range Workloads() {
		names = append(names, l.Name)
	}
	p.NominalX(names...)
	p.X.Max += 1
	if logarithmic {
		p.Y.Min = 0.5
	}
	return p.Save(width, height, file)
}

// logScale is a logarithmic axis that maps the base of a bar, which is zero, to
// the lower end of the axis.
type logScale struct{}

func (logScale) Normalize(low, high, x float64) float64 {
	if x <= low {
		return 0
	}
	return math.Log(x/low) / math.Log(high/low)
}
