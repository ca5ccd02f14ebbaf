package scenario

import (
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"gannethook/internal/record"
)

// operation is one run of the fleet tool, with the tries that were open at its router.
type operation struct {
	Verb, Router string
	At, Took     float64 // ms
	OpenTries    int     // tries without a final answer when the run began
	Longest      float64 // ms from then to the last of their final answers
	killed       bool
}

// operations returns the tool's drains and restarts in the records of a run, without those whose router was killed.
func operations(events []record.Event) (list []operation) {
	type try struct {
		req string
		n   int
	}
	byKey := map[string]*operation{}      // by the key of the run
	open := map[string]map[try]bool{}     // by router
	pending := map[try][]*operation{}     // operations that a try's final answer may prolong
	ended := map[*operation]bool{}        // operations whose run has ended
	byRouter := map[string][]*operation{} // all operations
	var order []*operation
	for _, e := range events {
		t := try{e.Req, e.Try}
		switch e.Kind {
		case record.Offer:
			if open[e.Router] == nil {
				open[e.Router] = map[try]bool{}
			}
			open[e.Router][t] = true
		case record.Final, record.Lost:
			delete(open[e.Router], t)
			for _, o := range pending[t] {
				if e.Kind == record.Final { // also if it comes after the end of the tool's run
					o.Longest = max(o.Longest, e.T-o.At)
				}
			}
		case record.Killed:
			for _, o := range byRouter[e.Router] {
				o.killed = o.killed || !ended[o]
			}
		case record.ToolBegin:
			if e.Note == "resume" {
				continue
			}
			o := &operation{Verb: e.Note, Router: e.Router, At: e.T, OpenTries: len(open[e.Router])}
			for t := range open[e.Router] {
				pending[t] = append(pending[t], o)
			}
			byKey[e.Key], byRouter[e.Router] = o, append(byRouter[e.Router], o)
			order = append(order, o)
		case record.ToolEnd:
			if o := byKey[e.Key]; o != nil {
				o.Took, ended[o] = e.T-o.At, true
			}
		}
	}
	for _, o := range order {
		if !o.killed && o.Took > 0 {
			list = append(list, *o)
		}
	}
	return list
}

// firstTokens returns the times to the first token of first tries, in ms and sorted: in the second half of the time before
// the first command, when engines have warmed up, and while a restart runs.
func firstTokens(events []record.Event) (before, during []float64) {
	restarted, running := false, map[string]bool{}
	warm := 0.0
	for _, e := range events {
		if e.Kind == record.ToolBegin {
			warm = e.T / 2
			break
		}
	}
	offered := map[string]record.Event{}
	duringRestart := map[string]bool{}
	for _, e := range events {
		switch e.Kind {
		case record.ToolBegin:
			if e.Note == "restart" {
				restarted, running[e.Key] = true, true
			}
		case record.ToolEnd:
			delete(running, e.Key)
		case record.Offer:
			if e.Try == 1 {
				offered[e.Req], duringRestart[e.Req] = e, len(running) > 0
			}
		case record.Token:
			o, ok := offered[e.Req]
			if !ok || e.Try != 1 {
				continue
			}
			delete(offered, e.Req)
			switch {
			case duringRestart[e.Req]:
				during = append(during, e.T-o.T)
			case !restarted && o.T >= warm:
				before = append(before, e.T-o.T)
			}
		}
	}
	slices.Sort(before)
	slices.Sort(during)
	return before, during
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// WriteOperations prints how long drains and restarts took, and their effect on clients.
func (r *Result) WriteOperations(w io.Writer) {
	list := operations(r.Events)
	if len(list) == 0 {
		return
	}
	fmt.Fprintf(w, "%-8s %6s %12s %12s %12s %14s\n", "command", "runs", "open", "longest ms", "took ms", "more than it")
	for _, verb := range []string{"drain", "restart"} {
		n, open, longest, took, maxExcess := 0, 0, 0.0, 0.0, 0.0
		for _, o := range list {
			if o.Verb == verb {
				n, open, longest, took = n+1, open+o.OpenTries, longest+o.Longest, took+o.Took
				maxExcess = max(maxExcess, o.Took-o.Longest)
			}
		}
		if n > 0 {
			f := float64(n)
			fmt.Fprintf(w, "%-8s %6d %12.1f %12.0f %12.0f %8.0f at most\n", verb, n, float64(open)/f, longest/f, took/f, maxExcess)
		}
	}
	before, during := firstTokens(r.Events)
	fmt.Fprintf(w, "first token before restarts: %d, p50 %.0f ms, p99 %.0f ms; while one runs: %d, p50 %.0f ms, p99 %.0f ms; p99 %.2f times\n",
		len(before), quantile(before, 0.5), quantile(before, 0.99), len(during), quantile(during, 0.5), quantile(during, 0.99),
		quantile(during, 0.99)/max(quantile(before, 0.99), 1))
}

// ChartOperations draws the duration of each drain and restart over the longest answer that was open when it began.
func (r *Result) ChartOperations(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Drains and restarts of day %s, seed %d (stand-ins)", r.Script.Name, r.Script.Seed)
	p.X.Label.Text, p.Y.Label.Text = "longest open answer, s", "the tool took, s"
	longest := 0.1
	for i, verb := range []string{"drain", "restart"} {
		var points plotter.XYs
		for _, o := range operations(r.Events) {
			if o.Verb == verb {
				points = append(points, plotter.XY{X: o.Longest / 1000, Y: o.Took / 1000})
				longest = max(longest, o.Longest/1000, o.Took/1000)
			}
		}
		if len(points) == 0 {
			continue
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		s.GlyphStyle.Color, s.GlyphStyle.Radius = palette()[i], vg.Points(2.5)
		p.Add(s)
		p.Legend.Add(verb, s)
	}
	diagonal, err := plotter.NewLine(plotter.XYs{{X: 0, Y: 0}, {X: longest, Y: longest}})
	if err != nil {
		return err
	}
	p.Add(diagonal)
	p.Legend.Add("no longer than the answer", diagonal)
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(14*vg.Centimeter, 10*vg.Centimeter, path)
}
