package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	pb "gannethook/internal/control/controlpb"
	"gannethook/internal/rollout"
)

// writeTable writes a table with aligned columns; head has the column names, separated by spaces.
func writeTable(w io.Writer, head string, rows func(row func(cells ...any))) {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, strings.ReplaceAll(head, " ", "\t"))
	rows(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(tw, "\t")
			}
			fmt.Fprint(tw, c)
		}
		fmt.Fprintln(tw)
	})
	tw.Flush()
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// WriteList writes routers as configured in the fleet file.
func WriteList(w io.Writer, list []Router) {
	writeTable(w, "router centre labels capacity control", func(row func(...any)) {
		for _, r := range list {
			row(r.Name, r.Centre, orDash(strings.Join(r.Labels, ",")), r.Capacity, r.Control)
		}
	})
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// shortDuration rounds a duration for display.
func shortDuration(d time.Duration) string {
	switch {
	case d >= time.Hour:
		return d.Round(time.Minute).String()
	case d >= 10*time.Second:
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

// totals sums up a router's counts over all classes.
func totals(st *pb.Status) (served, refused, failed, inTime uint64) {
	for _, c := range st.Counts {
		served, refused, failed, inTime = served+c.Served, refused+c.Refused, failed+c.Failed, inTime+c.InTime
	}
	return
}

// WriteStatus writes the status of routers.
func WriteStatus(w io.Writer, lines []StatusLine) {
	writeTable(w, "router centre state for release sessions open served refused failed in-time clock certificate note", func(row func(...any)) {
		for _, l := range lines {
			if l.Err != nil {
				row(l.Name, l.Centre, "unreachable", "-", "-", "-", "-", "-", "-", "-", "-", "-", "-", l.Err)
				continue
			}
			served, refused, failed, inTime := totals(l.Status)
			row(l.Name, l.Centre, l.State, shortDuration(millis(l.InStateMs)), orDash(l.Release), l.Sessions, l.Open, served, refused,
				failed, percent(inTime, served+refused+failed), clockOffset(l.RouterStatus), remaining(l.CertLeftMs), statusNote(l.Status))
		}
	})
}

// WriteLimits writes the state of the routers' admission control.
func WriteLimits(w io.Writer, lines []StatusLine) {
	writeTable(w, "router waiting in-hand room level divided-by passed turned-away", func(row func(...any)) {
		for _, l := range lines {
			if l.Err != nil || l.Limits == nil {
				row(l.Name, "-", "-", "-", "-", "-", "-", l.Err)
				continue
			}
			var rejected []string
			for _, t := range l.Limits.Turned {
				rejected = append(rejected, fmt.Sprintf("%d %s", t.Count, t.Reason))
			}
			row(l.Name, l.Limits.Waiting, fmt.Sprintf("%.1f", l.Limits.InHand), fmt.Sprintf("%.0f", l.Limits.Room),
				fmt.Sprintf("%.2f", l.Limits.Level), l.Limits.Routers, l.Limits.Passed, orDash(strings.Join(rejected, ", ")))
		}
	})
}

func percent(n, of uint64) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of))
}

// clockOffset formats how far a router's clock is ahead; "ok" within 100 ms plus the
// round trip, since the estimate is off by up to half of that.
func clockOffset(s *RouterStatus) string {
	if s.ClockAhead.Abs() < 100*time.Millisecond+s.RoundTrip {
		return "ok"
	}
	return fmt.Sprintf("%+.1fs", s.ClockAhead.Seconds())
}

// remaining formats the remaining validity of a certificate; 0: there is none.
func remaining(ms int64) string {
	switch {
	case ms == 0:
		return "-"
	case ms < 0:
		return "ended"
	}
	return shortDuration(millis(ms))
}

// statusNote lists what an operator should notice in a status.
func statusNote(st *pb.Status) string {
	var parts []string
	if p := st.Predecessor; p != nil {
		parts = append(parts, fmt.Sprintf("process %d ends, %d open", p.Pid, p.Open))
	}
	if st.DeadlineMs > 0 {
		parts = append(parts, "gives up in "+shortDuration(millis(st.DeadlineMs)))
	}
	if !st.Listed {
		parts = append(parts, "server list not received")
	}
	if n := len(st.NeedsRestart); n > 0 {
		parts = append(parts, fmt.Sprintf("%d settings wait for a restart", n))
	}
	return orDash(strings.Join(parts, "; "))
}

// StatusJSON returns statuses as a value for WriteJSON.
func StatusJSON(lines []StatusLine) any {
	type item struct {
		Router  string          `json:"router"`
		Centre  string          `json:"centre"`
		Error   string          `json:"error,omitempty"`
		AheadMs int64           `json:"ahead_ms"`
		Status  json.RawMessage `json:"status,omitempty"`
	}
	list := []item{}
	for _, l := range lines {
		it := item{Router: l.Name, Centre: l.Centre}
		if l.Err != nil {
			it.Error = l.Err.Error()
		} else {
			it.AheadMs = l.ClockAhead.Milliseconds()
			it.Status, _ = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(l.Status)
		}
		list = append(list, it)
	}
	return list
}

// WriteReports writes the result of a command.
func WriteReports(w io.Writer, reports []Report) {
	writeTable(w, "router command outcome took note", func(row func(...any)) {
		for _, r := range reports {
			text := r.Note
			if r.Cut {
				text = strings.TrimPrefix(text+"; some answers failed at the deadline", "; ")
			}
			row(r.Router, r.Op, r.Outcome, shortDuration(millis(r.TookMs)), orDash(text))
		}
	})
}

// WritePlan writes the schedule of a rollout.
func WritePlan(w io.Writer, s rollout.Schedule) {
	writeTable(w, "router from to", func(row func(...any)) {
		for _, st := range s.Steps {
			row(st.Router, shortDuration(st.Start), shortDuration(st.End))
		}
	})
	fmt.Fprintf(w, "%d restarts, about %v; no order is shorter than %v\n", len(s.Steps), shortDuration(s.Length), shortDuration(s.Bound))
}

// Engines writes a router's view of the engines.
func (l *ControlClient) Engines(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	list, err := l.ctl.ListEngines(ctx, &pb.EnginesRequest{})
	if err != nil {
		return withoutCallInfo(err)
	}
	writeTable(w, "engine kind role zone cell state freeness charge backlog holds memory heard", func(row func(...any)) {
		for _, e := range list.Engines {
			lastAnswer := "never"
			if e.HeardMs >= 0 {
				lastAnswer = shortDuration(millis(e.HeardMs)) + " ago"
			}
			row(e.Addr, e.Kind, e.Role, orDash(e.Zone), e.Cell, e.State, fmt.Sprintf("%.2f", e.Freeness), fmt.Sprintf("%.2f", e.Charge),
				fmt.Sprintf("%.1f", e.Backlog), e.Holds, fmt.Sprintf("%.2f", e.Memory), lastAnswer)
		}
	})
	return nil
}

// Sessions writes a router's open sessions, at most limit of them.
func (l *ControlClient) Sessions(ctx context.Context, w io.Writer, limit int) error {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	list, err := l.ctl.ListSessions(ctx, &pb.SessionsRequest{Most: int32(limit)})
	if err != nil {
		return withoutCallInfo(err)
	}
	writeTable(w, "session age open asked going", func(row func(...any)) {
		for _, s := range list.Sessions {
			row(s.Id, shortDuration(millis(s.AgeMs)), s.Open, s.Asked, s.Going)
		}
	})
	fmt.Fprintf(w, "%d of %d sessions\n", len(list.Sessions), list.All)
	return nil
}

// Diff writes the differences between a router's active settings and its file.
func (l *ControlClient) Diff(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	d, err := l.ctl.DiffSettings(ctx, &pb.DiffRequest{})
	if err != nil {
		return withoutCallInfo(err)
	}
	if d.Error != "" {
		return fmt.Errorf("the file can't be taken: %s", d.Error)
	}
	writeTable(w, "router setting runs file taken", func(row func(...any)) {
		for _, c := range d.Changes {
			how := "by a reload"
			if !c.Live {
				how = "by a restart"
			}
			row(l.Name, c.Path, orDash(c.Old), orDash(c.New), how)
		}
	})
	return nil
}

// LogLevel sets a router's log level and returns it; "" leaves it as it is.
func (l *ControlClient) LogLevel(ctx context.Context, level string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	got, err := l.ctl.SetLogLevel(ctx, &pb.LogLevel{Level: level})
	if err != nil {
		return "", withoutCallInfo(err)
	}
	return got.Level, nil
}

// Tail calls event with a router's events. With follow, it continues across
// restarts of the router until the context is done. Times are corrected by the
// estimated offset of the router's clock.
func (l *ControlClient) Tail(ctx context.Context, follow bool, event func(router string, at time.Time, e *pb.Event)) error {
	after, boot := uint64(0), ""
	for {
		st, err := l.Status(ctx)
		if err == nil {
			if st.Boot != boot {
				after, boot = 0, st.Boot
			}
			err = l.tail(ctx, follow, &after, st.ClockAhead, event)
		}
		if !follow || ctx.Err() != nil {
			return err
		}
		sleep(ctx, time.Second)
	}
}

func (l *ControlClient) tail(ctx context.Context, follow bool, after *uint64, ahead time.Duration, event func(string, time.Time, *pb.Event)) error {
	stream, err := l.ctl.Tail(ctx, &pb.TailRequest{After: *after, Follow: follow})
	if err != nil {
		return withoutCallInfo(err)
	}
	for {
		e, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return withoutCallInfo(err)
		}
		*after = e.Number
		event(l.Name, time.UnixMilli(e.WallUnixMs).Add(-ahead), e)
	}
}
