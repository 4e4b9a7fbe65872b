package study

import (
	"bytes"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"yokeroute/internal/htmlreport"
	"yokeroute/internal/testbed/emulator"
)

// Chart is a picture with the words that belong to it.
type Chart struct {
	Name  string
	Title string
	Words string
	SVG   []byte
}

// Charts draws what the results show: latencies, gain over the day, load a server, calls by cause, and the figure
// over what was swept.
func (r *Results) Charts() ([]Chart, error) {
	names, values := r.variants()
	if len(r.Rows) == 0 {
		return nil, nil
	}
	var charts []Chart
	add := func(name, title, words string, p *plot.Plot, err error) error {
		if err != nil {
			return err
		}
		svg, err := drawn(p)
		charts = append(charts, Chart{name, title, words, svg})
		return err
	}
	if r.Kind == "sweep" && len(values) > 1 {
		p, err := r.sweep(names, values)
		if err := add("sweep", r.Figure+" over what was swept", "Bars are the interval in which the mean of all seeds lies at 95%.", p, err); err != nil {
			return nil, err
		}
	}
	for i, value := range values[:min(len(values), mostDays)] {
		suffix, day := "", ""
		if len(values) > 1 {
			suffix, day = fmt.Sprintf("-%d", i+1), ": "+value
		}
		p, err := r.latencies(names, value)
		if err := add("latency"+suffix, "Latency of satisfied lookups"+day, "Share of lookups that took longer, all seeds together; both scales are logarithmic.", p, err); err != nil {
			return nil, err
		}
		p, err = r.overTime(names, value)
		if err := add("gain"+suffix, "Gain over the day"+day, "Gain earned over gain asked for, by the second in which lookups were first asked; the mean of all seeds.", p, err); err != nil {
			return nil, err
		}
		p, err = r.load(names, value)
		if err := add("load"+suffix, "Load of the servers"+day, "Share of their cores' time that servers worked, the busiest first; the mean of all seeds.", p, err); err != nil {
			return nil, err
		}
		p, err = r.causes(names, value)
		if err := add("calls"+suffix, "Part calls by cause"+day, "Part calls a lookup.", p, err); err != nil {
			return nil, err
		}
	}
	return charts, nil
}

// mostDays bounds the days of which all charts are drawn.
const mostDays = 4

func drawn(p *plot.Plot) ([]byte, error) {
	c := vgsvg.New(16*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.Crop(draw.New(c), vg.Millimeter, -4*vg.Millimeter, vg.Millimeter, -3*vg.Millimeter))
	var out bytes.Buffer
	_, err := c.WriteTo(&out)
	return out.Bytes(), err
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	face := font.From(plot.DefaultFont, 9)
	for _, style := range []*draw.TextStyle{&p.X.Label.TextStyle, &p.Y.Label.TextStyle, &p.X.Tick.Label, &p.Y.Tick.Label, &p.Legend.TextStyle} {
		style.Font = face
	}
	p.Legend.Top, p.Legend.Padding, p.Legend.XOffs = true, vg.Millimeter, -3*vg.Millimeter
	p.Add(plotter.NewGrid())
	return p
}

func (r *Results) line(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	ink := htmlreport.Inks[i%len(htmlreport.Inks)]
	l.Color, l.Width = ink.Color, vg.Points(1.4)
	for _, length := range ink.Dashes {
		l.Dashes = append(l.Dashes, vg.Points(length))
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

func (r *Results) latencies(names []string, value string) (*plot.Plot, error) {
	p := newPlot("milliseconds", "share that took longer")
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: 3}, plot.LogTicks{Prec: 3}
	for i, name := range names {
		counts := map[float64]int64{}
		var ups []float64
		total := int64(0)
		for _, one := range r.rowsOf(name, value) {
			for _, b := range one.Result.Buckets {
				if _, seen := counts[b.Up]; !seen {
					ups = append(ups, b.Up)
				}
				counts[b.Up] += b.Count
				total += b.Count
			}
		}
		slices.Sort(ups)
		var points plotter.XYs
		above := total
		for _, up := range ups {
			above -= counts[up]
			if above > 0 && above < total {
				points = append(points, plotter.XY{X: up, Y: float64(above) / float64(total)})
			}
		}
		if err := r.line(p, i, name, points); err != nil {
			return nil, err
		}
	}
	if p.X.Min <= 0 || p.Y.Min <= 0 || math.IsInf(p.X.Min, 1) { // nothing was drawn, and a logarithmic scale needs a range
		p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 1, 1000, 0.001, 1
	}
	if p.X.Min == p.X.Max {
		p.X.Max *= 2
	}
	if p.Y.Min == p.Y.Max {
		p.Y.Min /= 2
	}
	return p, nil
}

func (r *Results) overTime(names []string, value string) (*plot.Plot, error) {
	p := newPlot("second of the day", "gain earned over asked")
	for i, name := range names {
		var asked, earned []float64
		for _, one := range r.rowsOf(name, value) {
			for s, sec := range one.Result.Seconds {
				if s == len(asked) {
					asked, earned = append(asked, 0), append(earned, 0)
				}
				asked[s] += sec.Asked
				earned[s] += sec.Earned
			}
		}
		var points plotter.XYs
		for s := range asked {
			if asked[s] > 0 {
				points = append(points, plotter.XY{X: float64(s), Y: earned[s] / asked[s]})
			}
		}
		if err := r.line(p, i, name, points); err != nil {
			return nil, err
		}
	}
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Legend.Top = false
	return p, nil
}

func (r *Results) load(names []string, value string) (*plot.Plot, error) {
	p := newPlot("server, the busiest first", "share of its cores' time")
	for i, name := range names {
		var use []float64
		rows := r.rowsOf(name, value)
		for _, one := range rows {
			mine := make([]float64, len(one.Result.Servers))
			for s, u := range one.Result.Servers {
				mine[s] = u.Use
			}
			slices.Sort(mine)
			slices.Reverse(mine)
			for s, u := range mine {
				if s == len(use) {
					use = append(use, 0)
				}
				use[s] += u / float64(len(rows))
			}
		}
		points := make(plotter.XYs, len(use))
		for s, u := range use {
			points[s] = plotter.XY{X: float64(s + 1), Y: u}
		}
		if err := r.line(p, i, name, points); err != nil {
			return nil, err
		}
	}
	p.Y.Min = 0
	return p, nil
}

func (r *Results) causes(names []string, value string) (*plot.Plot, error) {
	p := newPlot("", "part calls a lookup")
	var below *plotter.BarChart
	for i, cause := range emulator.CauseNames {
		heights := make(plotter.Values, len(names))
		for v, name := range names {
			rows := r.rowsOf(name, value)
			for _, one := range rows {
				heights[v] += one.Result.Causes[cause] / float64(len(rows))
			}
		}
		bars, err := plotter.NewBarChart(heights, vg.Points(min(40, 300/float64(len(names)))))
		if err != nil {
			return nil, err
		}
		bars.Color, bars.LineStyle.Width = htmlreport.Inks[i%len(htmlreport.Inks)].Color, 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(cause, bars)
	}
	p.NominalX(names...)
	p.Y.Min = 0
	p.Y.Max *= 1.3 // room for the legend
	return p, nil
}

func (r *Results) sweep(names, values []string) (*plot.Plot, error) {
	p := newPlot("", r.Figure)
	for i, name := range names {
		var points plotter.XYs
		var bars plotter.YErrors
		for x, value := range values {
			rows := r.rowsOf(name, value)
			if len(rows) == 0 {
				continue
			}
			mean, half := interval(r.Figure, rows)
			points = append(points, plotter.XY{X: float64(x), Y: mean})
			bars = append(bars, struct{ Low, High float64 }{half, half})
		}
		if err := r.line(p, i, name, points); err != nil {
			return nil, err
		}
		errs, err := plotter.NewYErrorBars(struct {
			plotter.XYs
			plotter.YErrors
		}{points, bars})
		if err != nil {
			return nil, err
		}
		errs.Color = htmlreport.Inks[i%len(htmlreport.Inks)].Color
		p.Add(errs)
	}
	p.NominalX(values...)
	return p, nil
}
