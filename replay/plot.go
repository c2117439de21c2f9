package replay

import (
	"fmt"
	"io"
	"os"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 12 * vg.Inch
	plotHeight = 8 * vg.Inch
)

// WritePlot writes a plot of goodput and wasted prefill over offered load, with
// a row for each profile and a line for each policy. The format is PNG if the
// file's name ends in .png, else SVG.
func WritePlot(file string, cells []Cell) error {
	plots, err := plots(cells)
	if err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	err = render(out, strings.HasSuffix(file, ".png"), plots)
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}

// fileCanvas is a canvas that can be written to a file.
type fileCanvas interface {
	vg.CanvasSizer
	io.WriterTo
}

func render(w io.Writer, png bool, rows [][]*plot.Plot) error {
	var canvas fileCanvas = vgsvg.New(plotWidth, plotHeight)
	if png {
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(plotWidth, plotHeight)}
	}
	tiles := draw.Tiles{
		Rows: len(rows),
		Cols: len(rows[0]),
		PadX: vg.Points(12),
		PadY: vg.Points(12),
	}
	canvases := plot.Align(rows, tiles, draw.New(canvas))
	for i, row := range rows {
		for j, p := range row {
			p.Draw(canvases[i][j])
		}
	}
	_, err := canvas.WriteTo(w)
	return err
}

func plots(cells []Cell) ([][]*plot.Plot, error) {
	var rows [][]*plot.Plot
	for _, profile := range distinct(cells, func(c Cell) string { return c.Profile }) {
		goodput, err := newPlot(profile+": goodput", "share of the bound", cells, profile, func(c Cell) float64 { return c.BoundShare.Mean })
		if err != nil {
			return nil, err
		}
		waste, err := newPlot(profile+": wasted prefill", "share of prefill tokens", cells, profile, func(c Cell) float64 { return c.Waste.Mean })
		if err != nil {
			return nil, err
		}
		rows = append(rows, []*plot.Plot{goodput, waste})
	}
	return rows, nil
}

func newPlot(title, label string, cells []Cell, profile string, metric func(Cell) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "offered load, share of decode capacity"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	var lines []any
	for _, policy := range distinct(cells, func(c Cell) string { return c.Policy }) {
		var points plotter.XYs
		for _, c := range cells {
			if c.Profile == profile && c.Policy == policy {
				points = append(points, plotter.XY{
					X: c.Load,
					Y: metric(c),
				})
			}
		}
		lines = append(lines, policy, points)
	}
	return p, plotutil.AddLinePoints(p, lines...)
}

// distinct returns the distinct values of key over the cells, in the order of
// their first occurrence.
func distinct(cells []Cell, key func(Cell) string) []string {
	var values []string
	seen := map[string]bool{}
	for _, c := range cells {
		if value := key(c); !seen[value] {
			seen[value] = true
			values = append(values, value)
		}
	}
	return values
}
