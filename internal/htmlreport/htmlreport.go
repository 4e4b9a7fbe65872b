// Package htmlreport renders reports as single HTML files with a shared style sheet and charts as inline SVG. It draws
// charts itself, since a plotting library would add megabytes to the gatherer's program.
package htmlreport

import (
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strconv"
	"strings"
)

// Style is the style sheet of all reports.
const Style template.CSS = `:root { color-scheme: light; }
body { font: 16px/1.5 Georgia, "Times New Roman", serif; color: #1c1c1c; background: #fff; max-width: 60rem; margin: 0 auto; padding: 1rem; }
h1 { font-size: 1.5rem; line-height: 1.25; } h2 { font-size: 1.15rem; margin-top: 2.2rem; }
p.words, footer { color: #444; font-size: .9rem; }
.wide { overflow-x: auto; }
table { border-collapse: collapse; font: .85rem/1.35 "Helvetica Neue", Arial, sans-serif; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .25rem .55rem; border-bottom: 1px solid #ccc; white-space: nowrap; }
th:first-child, td:first-child, td.left, th.left { text-align: left; } td.long { white-space: normal; text-align: left; }
thead th { border-bottom: 2px solid #444; }
svg { width: 100%; height: auto; max-width: 48rem; display: block; font: 11px "Helvetica Neue", Arial, sans-serif; }
figure { margin: 1rem 0 2rem; break-inside: avoid; }
figcaption { font-size: .9rem; color: #444; }
pre { font-size: .78rem; line-height: 1.4; white-space: pre-wrap; overflow-wrap: anywhere; background: #f5f5f2; padding: .8rem; }
.broken { color: #9c0000; font-weight: bold; }
@media print { body { max-width: none; padding: 0; font-size: 10pt; } .wide { overflow: visible; } table { font-size: 6.5pt; } th, td { padding: .1rem .2rem; } }`

// Point is one point of a line.
type Point struct{ X, Y float64 }

// Line is one line of a chart. Its points go from left to right; NaN parts it.
type Line struct {
	Name   string
	Points []Point
}

// Mark is a labelled vertical line in a chart.
type Mark struct {
	X    float64
	Name string
}

// Chart is a chart of lines.
type Chart struct {
	X, Y  string // what the axes are
	Lines []Line
	Marks []Mark
	Low   float64 // of Y; the least value that there is, if that is lower
	High  float64 // 0 for the greatest value
}

// Ink is the colour and dash pattern of a line.
type Ink struct {
	Color  color.RGBA
	Dashes []float64 // lengths of dash and gap in turns; none for a whole line
}

// Inks differ in hue, darkness and dash pattern, so that lines can be told apart on paper and by colour-blind readers.
var Inks = []Ink{
	{color.RGBA{0x00, 0x3f, 0x5c, 0xff}, nil},
	{color.RGBA{0xd4, 0x5a, 0x00, 0xff}, []float64{6, 3}},
	{color.RGBA{0x2f, 0x7d, 0x4f, 0xff}, []float64{2, 2}},
	{color.RGBA{0x9c, 0x2a, 0x7a, 0xff}, []float64{8, 2, 2, 2}},
	{color.RGBA{0x6b, 0x6b, 0x6b, 0xff}, []float64{4, 4}},
	{color.RGBA{0xb0, 0x8b, 0x00, 0xff}, []float64{1, 2}},
	{color.RGBA{0x3a, 0x6e, 0xc8, 0xff}, []float64{10, 4}},
	{color.RGBA{0x7a, 0x3b, 0x1d, 0xff}, []float64{3, 1}},
}

// stroke returns an ink's SVG attributes.
func (i Ink) stroke() string {
	dashes := strings.Trim(fmt.Sprint(i.Dashes), "[]")
	return fmt.Sprintf(`stroke="#%02x%02x%02x" stroke-width="1.8" stroke-dasharray="%s"`, i.Color.R, i.Color.G, i.Color.B, dashes)
}

// The size of a chart and its margins, in SVG units.
const (
	width, height            = 720.0, 300.0
	left, right, top, bottom = 56.0, 12.0, 24.0, 40.0
)

// SVG renders the chart.
func (c Chart) SVG() template.HTML {
	x0, x1, y0, y1 := math.Inf(1), math.Inf(-1), c.Low, c.High
	for _, l := range c.Lines {
		for _, p := range l.Points {
			if math.IsNaN(p.Y) {
				continue
			}
			x0, x1, y0, y1 = min(x0, p.X), max(x1, p.X), min(y0, p.Y), max(y1, p.Y)
		}
	}
	if x0 >= x1 {
		x0, x1 = min(x0, 0), x0+1
		if math.IsInf(x1, 0) {
			x0, x1 = 0, 1
		}
	}
	if y0 >= y1 {
		y1 = y0 + 1
	}
	px := func(x float64) float64 { return left + (x-x0)/(x1-x0)*(width-left-right) }
	py := func(y float64) float64 { return height - bottom - (y-y0)/(y1-y0)*(height-top-bottom) }
	var b strings.Builder
	put := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	text := template.HTMLEscapeString
	put(`<svg viewBox="0 0 %g %g" role="img" aria-label="%s over %s">`, width, height, text(c.Y), text(c.X))
	for _, y := range ticks(y0, y1) {
		put(`<line x1="%g" x2="%g" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="%g" y="%.1f" text-anchor="end" fill="#444">%s</text>`, left, width-right, py(y), py(y), left-6, py(y)+4, number(y))
	}
	for _, x := range ticks(x0, x1) {
		put(`<line x1="%.1f" x2="%.1f" y1="%g" y2="%g" stroke="#eee"/><text x="%.1f" y="%g" text-anchor="middle" fill="#444">%s</text>`, px(x), px(x), top, height-bottom, px(x), height-bottom+16, number(x))
	}
	for _, m := range c.Marks {
		if m.X >= x0 && m.X <= x1 {
			put(`<line x1="%.1f" x2="%.1f" y1="%g" y2="%g" stroke="#999" stroke-dasharray="3 3"/><text x="%.1f" y="%g" fill="#444">%s</text>`, px(m.X), px(m.X), top, height-bottom, px(m.X)+3, top+10, text(m.Name))
		}
	}
	at := left
	for i, l := range c.Lines {
		stroke := Inks[i%len(Inks)].stroke()
		var path strings.Builder
		pen := "M"
		for _, p := range l.Points {
			if math.IsNaN(p.Y) {
				pen = "M"
				continue
			}
			fmt.Fprintf(&path, "%s%.1f %.1f", pen, px(p.X), py(p.Y))
			pen = "L"
		}
		put(`<path d="%s" fill="none" %s/>`, path.String(), stroke)
		put(`<line x1="%g" x2="%g" y1="12" y2="12" %s/><text x="%g" y="16" fill="#1c1c1c">%s</text>`, at, at+22, stroke, at+26, text(l.Name))
		at += 40 + 6.2*float64(len(l.Name))
	}
	put(`<text x="%g" y="%g" text-anchor="middle" fill="#1c1c1c">%s</text>`, (left+width-right)/2, height-6, text(c.X))
	put(`<text x="14" y="%g" text-anchor="middle" fill="#1c1c1c" transform="rotate(-90 14 %g)">%s</text>`, (top+height-bottom)/2, (top+height-bottom)/2, text(c.Y))
	b.WriteString("</svg>")
	return template.HTML(b.String()) // all that others wrote is escaped above
}

// ticks are round numbers between two, five or so.
func ticks(from, to float64) (at []float64) {
	step := math.Pow(10, math.Floor(math.Log10((to-from)/4)))
	for _, times := range []float64{2, 2.5, 2} { // 1, 2, 5, 10
		if (to-from)/step <= 6 {
			break
		}
		step *= times
	}
	for i := math.Ceil(from/step - 1e-9); i*step <= to+step*1e-9; i++ {
		at = append(at, i*step)
	}
	return at
}

func number(v float64) string {
	if math.Abs(v) < 1e-12 {
		return "0"
	}
	return strconv.FormatFloat(v, 'g', 4, 64)
}
