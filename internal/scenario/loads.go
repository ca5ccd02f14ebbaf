package scenario

import (
	_ "embed"
	"fmt"
	"io"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// OverloadScript is the embedded overload scenario.
//
//go:embed overload.gann
var OverloadScript string

// warmUpTime is excluded from goodput: engines and limits start cold.
const warmUpTime = 5 * time.Second

// Goodput returns the worth served in time per second, after the warm-up time.
func (r *Result) Goodput() float64 {
	sum := 0.0
	for i := range r.Outcomes {
		if e := &r.Outcomes[i]; e.inTime && e.at >= warmUpTime {
			sum += r.Script.Classes[e.class].Worth
		}
	}
	return sum / (r.Script.Length - warmUpTime).Seconds()
}

// Recovery returns how long after the end of the scenario's first burst service had recovered for good: from then on, the
// share of the worth that is served in time is at least nine tenths of the share before the burst, in every window of three
// seconds. ok is false if it did not recover.
func (r *Result) Recovery() (after time.Duration, ok bool) {
	var burst *Fault
	for i := range r.Script.Faults {
		if f := &r.Script.Faults[i]; f.Kind == "burst" {
			burst = f
			break
		}
	}
	if burst == nil {
		return 0, false
	}
	const window = 3 * time.Second
	before := r.servedWorth(warmUpTime, burst.From)
	end := burst.From + burst.For
	recovered := time.Duration(-1)
	for at := end; at+window <= r.Script.Length; at += time.Second {
		if r.servedWorth(at, at+window) >= 0.9*before {
			if recovered < 0 {
				recovered = at - end
			}
		} else {
			recovered = -1
		}
	}
	return recovered, recovered >= 0
}

// servedWorth returns the share of the worth of the requests sent in a time span that was served in time.
func (r *Result) servedWorth(from, to time.Duration) float64 {
	sent, served := 0.0, 0.0
	for i := range r.Outcomes {
		e := &r.Outcomes[i]
		if e.at < from || e.at >= to {
			continue
		}
		worth := r.Script.Classes[e.class].Worth
		if sent += worth; e.inTime {
			served += worth
		}
	}
	return served / max(sent, 1e-9)
}

// refusalShares returns the shares of all requests whose last refusal came from the capacity limits, from the tenants'
// budgets, and from the module.
func (r *Result) refusalShares() (capacity, budget, module float64) {
	for reason, n := range r.Reasons {
		fraction := float64(n) / max(float64(r.All.Offered), 1)
		switch {
		case strings.HasPrefix(reason, "refused: limits: requests"), strings.HasPrefix(reason, "refused: limits: tokens"),
			strings.HasPrefix(reason, "refused: limits: retries"):
			budget += fraction
		case strings.HasPrefix(reason, "refused: limits: "):
			capacity += fraction
		case strings.HasPrefix(reason, "refused"):
			module += fraction
		}
	}
	return capacity, budget, module
}

// CompareLoads prints runs at several loads, one line each.
func CompareLoads(w io.Writer, list []*Result) {
	fmt.Fprintf(w, "%-7s %6s %8s %9s %9s %8s %9s %8s %7s %7s %9s %s\n", "limits", "times", "offered", "goodput", "in time",
		"no room", "budgets", "module", "tries", "Jain", "recovery", "rules")
	for _, r := range list {
		capacity, budget, module := r.refusalShares()
		recovery, jain, kept := "-", "-", "kept"
		if d, ok := r.Recovery(); ok {
			recovery = fmt.Sprintf("%.0f s", d.Seconds())
		} else if r.hasBurst() {
			recovery = "never"
		}
		if len(r.Tenant) > 0 {
			jain = fmt.Sprintf("%.3f", r.Jain())
		}
		if !r.OK() {
			kept = "BROKEN"
		}
		for i := range r.Tenant {
			kept += fmt.Sprintf(", %s %s in time", r.Script.Tenants[i].Name, share(r.Tenant[i].InTime, r.Tenant[i].Offered))
		}
		fmt.Fprintf(w, "%-7s %6g %8d %7.1f/s %9s %7.1f%% %8.1f%% %7.1f%% %7.2f %7s %9s %s\n", onOff(r.Script.Settings.Limits), r.LoadFactor,
			r.All.Offered, r.Goodput(), share(r.All.InTime, r.All.Offered), 100*capacity, 100*budget, 100*module,
			float64(r.All.Tries)/max(float64(r.All.Offered), 1), jain, recovery, kept)
	}
}

func (r *Result) hasBurst() bool {
	for i := range r.Script.Faults {
		if r.Script.Faults[i].Kind == "burst" {
			return true
		}
	}
	return false
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// ChartLoads draws goodput over load, with the limits on and off.
func ChartLoads(path string, list []*Result) error {
	if len(list) == 0 {
		return fmt.Errorf("chart: no runs to draw")
	}
	p := plot.New()
	s := list[0].Script
	p.Title.Text = fmt.Sprintf("Day %s: %d routers, %d+%d stand-in engines", s.Name, s.Routers, s.Readers, s.Writers)
	p.X.Label.Text = "times the load that fills the engines"
	p.Y.Label.Text = "worth served in time a second"
	p.Y.Min, p.Legend.Top, p.Legend.Left = 0, false, true
	for i, on := range []bool{true, false} {
		var points plotter.XYs
		for _, r := range list {
			if r.Script.Settings.Limits == on {
				points = append(points, plotter.XY{X: r.LoadFactor, Y: r.Goodput()})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, line.Width, dots.Color = palette()[i], vg.Points(1.5), palette()[i]
		p.Add(line, dots)
		p.Legend.Add("limits "+onOff(on), line)
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}
