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

// table writes rows with aligned columns.
func table(w io.Writer, head string, rows func(row func(cells ...any))) {
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

// WriteJSON writes a value, indented.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// WriteList shows what the fleet file has.
func WriteList(w io.Writer, list []Router) {
	table(w, "router centre labels capacity control", func(row func(...any)) {
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

// short rounds a span to what a reader needs.
func short(d time.Duration) string {
	switch {
	case d >= time.Hour:
		return d.Round(time.Minute).String()
	case d >= 10*time.Second:
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

// totals sums up a router's counts.
func totals(st *pb.Status) (served, refused, failed, inTime uint64) {
	for _, c := range st.Counts {
		served, refused, failed, inTime = served+c.Served, refused+c.Refused, failed+c.Failed, inTime+c.InTime
	}
	return
}

// WriteStatus shows statuses.
func WriteStatus(w io.Writer, lines []Line) {
	table(w, "router centre state for release sessions open served refused failed in-time clock certificate note", func(row func(...any)) {
		for _, l := range lines {
			if l.Err != nil {
				row(l.Name, l.Centre, "unreachable", "-", "-", "-", "-", "-", "-", "-", "-", "-", "-", l.Err)
				continue
			}
			served, refused, failed, inTime := totals(l.Status)
			row(l.Name, l.Centre, l.State, short(millis(l.InStateMs)), orDash(l.Release), l.Sessions, l.Open, served, refused,
				failed, part(inTime, served+refused+failed), clock(l.Seen), left(l.CertLeftMs), note(l.Status))
		}
	})
}

// WriteLimits shows what stands between the routers' clients and their modules.
func WriteLimits(w io.Writer, lines []Line) {
	table(w, "router waiting in-hand room level divided-by passed turned-away", func(row func(...any)) {
		for _, l := range lines {
			if l.Err != nil || l.Limits == nil {
				row(l.Name, "-", "-", "-", "-", "-", "-", l.Err)
				continue
			}
			var turned []string
			for _, t := range l.Limits.Turned {
				turned = append(turned, fmt.Sprintf("%d %s", t.Count, t.Reason))
			}
			row(l.Name, l.Limits.Waiting, fmt.Sprintf("%.1f", l.Limits.InHand), fmt.Sprintf("%.0f", l.Limits.Room),
				fmt.Sprintf("%.2f", l.Limits.Level), l.Limits.Routers, l.Limits.Passed, orDash(strings.Join(turned, ", ")))
		}
	})
}

func part(n, of uint64) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(of))
}

// clock tells by how much a router's clock is ahead, where that is more than
// the asking took.
func clock(s *Seen) string {
	if s.Ahead.Abs() < 100*time.Millisecond+s.Way {
		return "ok"
	}
	return fmt.Sprintf("%+.1fs", s.Ahead.Seconds())
}

func left(ms int64) string {
	switch {
	case ms == 0:
		return "-"
	case ms < 0:
		return "ended"
	}
	return short(millis(ms))
}

func note(st *pb.Status) string {
	var parts []string
	if p := st.Predecessor; p != nil {
		parts = append(parts, fmt.Sprintf("process %d ends, %d open", p.Pid, p.Open))
	}
	if st.DeadlineMs > 0 {
		parts = append(parts, "gives up in "+short(millis(st.DeadlineMs)))
	}
	if !st.Listed {
		parts = append(parts, "roster not heard")
	}
	if n := len(st.NeedsRestart); n > 0 {
		parts = append(parts, fmt.Sprintf("%d settings wait for a restart", n))
	}
	return orDash(strings.Join(parts, "; "))
}

// StatusJSON is a status for other programs.
func StatusJSON(lines []Line) any {
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
			it.AheadMs = l.Ahead.Milliseconds()
			it.Status, _ = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(l.Status)
		}
		list = append(list, it)
	}
	return list
}

// WriteReports shows how a command ended.
func WriteReports(w io.Writer, reports []Report) {
	table(w, "router command outcome took note", func(row func(...any)) {
		for _, r := range reports {
			text := r.Note
			if r.Cut {
				text = strings.TrimPrefix(text+"; some answers failed at the deadline", "; ")
			}
			row(r.Router, r.Op, r.Outcome, short(millis(r.TookMs)), orDash(text))
		}
	})
}

// WritePlan shows a schedule.
func WritePlan(w io.Writer, s rollout.Schedule) {
	table(w, "router from to", func(row func(...any)) {
		for _, st := range s.Steps {
			row(st.Router, short(st.Start), short(st.End))
		}
	})
	fmt.Fprintf(w, "%d restarts, about %v; no order is shorter than %v\n", len(s.Steps), short(s.Length), short(s.Bound))
}

// Engines shows the engines as a router's module sees them.
func (l *Link) Engines(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	list, err := l.ctl.ListEngines(ctx, &pb.EnginesRequest{})
	if err != nil {
		return plain(err)
	}
	table(w, "engine kind role zone cell state freeness charge backlog holds memory heard", func(row func(...any)) {
		for _, e := range list.Engines {
			heard := "never"
			if e.HeardMs >= 0 {
				heard = short(millis(e.HeardMs)) + " ago"
			}
			row(e.Addr, e.Kind, e.Role, orDash(e.Zone), e.Cell, e.State, fmt.Sprintf("%.2f", e.Freeness), fmt.Sprintf("%.2f", e.Charge),
				fmt.Sprintf("%.1f", e.Backlog), e.Holds, fmt.Sprintf("%.2f", e.Memory), heard)
		}
	})
	return nil
}

// Sessions shows a router's sessions.
func (l *Link) Sessions(ctx context.Context, w io.Writer, most int) error {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	list, err := l.ctl.ListSessions(ctx, &pb.SessionsRequest{Most: int32(most)})
	if err != nil {
		return plain(err)
	}
	table(w, "session age open asked going", func(row func(...any)) {
		for _, s := range list.Sessions {
			row(s.Id, short(millis(s.AgeMs)), s.Open, s.Asked, s.Going)
		}
	})
	fmt.Fprintf(w, "%d of %d sessions\n", len(list.Sessions), list.All)
	return nil
}

// Diff shows how a router's settings and its file differ.
func (l *Link) Diff(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	d, err := l.ctl.DiffSettings(ctx, &pb.DiffRequest{})
	if err != nil {
		return plain(err)
	}
	if d.Error != "" {
		return fmt.Errorf("the file can't be taken: %s", d.Error)
	}
	table(w, "router setting runs file taken", func(row func(...any)) {
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

// LogLevel sets a router's log level; "" only asks.
func (l *Link) LogLevel(ctx context.Context, level string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	got, err := l.ctl.SetLogLevel(ctx, &pb.LogLevel{Level: level})
	if err != nil {
		return "", plain(err)
	}
	return got.Level, nil
}

// Tail hands on a router's events, and goes on over its lives, until the
// context ends. Times are the router's own clock, less what it is ahead.
func (l *Link) Tail(ctx context.Context, follow bool, event func(router string, at time.Time, e *pb.Event)) error {
	after, boot := uint64(0), ""
	for {
		st, err := l.Status(ctx)
		if err == nil {
			if st.Boot != boot {
				after, boot = 0, st.Boot
			}
			err = l.tail(ctx, follow, &after, st.Ahead, event)
		}
		if !follow || ctx.Err() != nil {
			return err
		}
		pause(ctx, time.Second)
	}
}

func (l *Link) tail(ctx context.Context, follow bool, after *uint64, ahead time.Duration, event func(string, time.Time, *pb.Event)) error {
	stream, err := l.ctl.Tail(ctx, &pb.TailRequest{After: *after, Follow: follow})
	if err != nil {
		return plain(err)
	}
	for {
		e, err := stream.Recv()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return plain(err)
		}
		*after = e.Number
		event(l.Name, time.UnixMilli(e.WallUnixMs).Add(-ahead), e)
	}
}
