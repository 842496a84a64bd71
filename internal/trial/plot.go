package trial

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot draws the requests answered before their deadline in each second, by
// rank, and writes the plot as SVG.
func (s *Stats) Plot(title, file string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "answered in time per second"
	p.Legend.Top = true
	for rank := range s.Ranks {
		points := make(plotter.XYs, 0, len(s.seconds))
		for i, second := range s.seconds[:len(s.seconds)-2] {
			points = append(points, plotter.XY{X: float64(i), Y: float64(second.served[rank])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw rank %s: %w", s.Ranks[rank].Name, err)
		}
		line.Color = plotutil.Color(rank)
		p.Add(line)
		p.Legend.Add(s.Ranks[rank].Name, line)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}
