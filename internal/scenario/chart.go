package scenario

import (
	"fmt"
	"image/color"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// chartBin is the time that each point of a chart covers.
const chartBin = 2 * time.Second

// Chart draws the share of requests served in time over a scenario, one line for each policy over all its seeds, and the
// times of the faults. The file extension selects the format (svg, png, pdf).
func Chart(path string, results []*Result) error {
	if len(results) == 0 {
		return fmt.Errorf("chart: no runs to draw")
	}
	p := plot.New()
	s := results[0].Script
	p.Title.Text = fmt.Sprintf("Day %s: %g requests a second, %d routers, %d+%d stand-in engines", s.Name, s.Rate,
		s.Routers, s.Readers, s.Writers)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "served in time, of those asked for then"
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, s.Length.Seconds(), 0, 1.02
	p.Legend.Left = true
	p.Legend.Top = false
	for i := range s.Faults {
		if err := addFault(p, s, i); err != nil {
			return err
		}
	}
	byPolicy := map[string][]*Result{}
	for _, d := range results {
		byPolicy[d.Policy] = append(byPolicy[d.Policy], d)
	}
	colors := palette()
	for i, policy := range slices.Sorted(maps.Keys(byPolicy)) {
		line, err := plotter.NewLine(servedInTime(byPolicy[policy]))
		if err != nil {
			return err
		}
		line.Color, line.Width = colors[i%len(colors)], vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("%s (%d days)", policy, len(byPolicy[policy])), line)
	}
	return p.Save(22*vg.Centimeter, 11*vg.Centimeter, path)
}

// addFault draws a fault as a bar with its name, near the bottom of the chart.
func addFault(p *plot.Plot, s *Script, i int) error {
	f := &s.Faults[i]
	y := 0.5 - 0.45*float64(i%10)/10
	bar, err := plotter.NewLine(plotter.XYs{{X: f.From.Seconds(), Y: y}, {X: (f.From + f.For).Seconds(), Y: y}})
	if err != nil {
		return err
	}
	bar.Color, bar.Width = color.Gray{Y: 190}, vg.Points(5)
	name, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.From.Seconds(), Y: y + 0.01}}, Labels: []string{f.Kind}})
	if err != nil {
		return err
	}
	p.Add(bar, name)
	return nil
}

// servedInTime returns the share of requests served in time, by the time at which they were sent.
func servedInTime(results []*Result) plotter.XYs {
	n := int(results[0].Script.Length/chartBin) + 1
	sent, served := make([]float64, n), make([]float64, n)
	for _, d := range results {
		for _, e := range d.Outcomes {
			if i := int(e.at / chartBin); i < n {
				sent[i]++
				if e.inTime {
					served[i]++
				}
			}
		}
	}
	var points plotter.XYs
	for i := range n {
		if sent[i] > 0 {
			points = append(points, plotter.XY{X: (float64(i) + 0.5) * chartBin.Seconds(), Y: served[i] / sent[i]})
		}
	}
	return points
}

// palette returns the colours of the lines and points, in order of use.
func palette() []color.Color {
	return []color.Color{color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}, color.RGBA{G: 140, A: 255}}
}
