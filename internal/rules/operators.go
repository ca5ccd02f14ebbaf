package rules

import (
	"cmp"
	"fmt"
	"slices"

	"gannethook/internal/record"
)

// Exit statuses of the fleet tool, as its pages give them.
const (
	toolDone        = 0
	toolUnknown     = 4
	toolRefused     = 5
	toolUnreachable = 6
)

// Operations is what operators did, against what the records show.
type Operations struct {
	Runs    int
	Codes   map[int]int // runs of the tool by exit status
	ShutOut int         // clients that got no session
	Excused int         // of these at a router that was dead, stopping or drained
	Breaks  []string    // exit statuses that are not what happened, and clients shut out of a ready router
}

// run is one run of the tool, with what its router was before and after.
type run struct {
	begin, end    record.Event
	before, after record.Event
	killed        bool
	killedAt      float64
}

// leaving is how long a process may take to end after its last look, in ms. A
// kill within it comes after the tool's judgement.
const leaving = 50

// Operators judges the tool's exit statuses and the doors of ready routers.
// dial is how long a client's try for a session may take, in ms.
func Operators(events []record.Event, dial float64) *Operations {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b record.Event) int { return cmp.Compare(a.T, b.T) })
	o := &Operations{Codes: map[int]int{}}
	for _, r := range runs(events) {
		o.Runs++
		o.Codes[int(r.end.N)]++
		if why := r.wrong(); why != "" {
			o.Breaks = append(o.Breaks, fmt.Sprintf("%s %s of %s exits with %g, but %s", r.begin.Key, r.begin.Note, r.begin.Router, r.end.N, why))
		}
	}
	o.doors(events, dial)
	return o
}

func runs(events []record.Event) (list []*run) {
	open := map[string]*run{}         // by key
	last := map[string]record.Event{} // probe of a router
	var wait []*run                   // for the probe after
	dead := map[string]bool{}         // killed or hanging, and not reaped
	for _, e := range events {
		switch e.Kind {
		case record.Probe:
			last[e.Router] = e
			wait = slices.DeleteFunc(wait, func(r *run) bool {
				if r.begin.Router == e.Router {
					r.after = e
					return true
				}
				return false
			})
		case record.ToolBegin:
			r := &run{begin: e, before: last[e.Router], killed: dead[e.Router]}
			open[e.Key] = r
			list = append(list, r)
		case record.Reaped:
			dead[e.Router] = false
		case record.Killed:
			dead[e.Router] = true
			for _, r := range open {
				if r.begin.Router == e.Router {
					r.killed, r.killedAt = true, e.T
				}
			}
		case record.ToolEnd:
			if r := open[e.Key]; r != nil {
				r.end = e
				delete(open, e.Key)
				wait = append(wait, r)
			}
		}
	}
	return list
}

// happened tells whether the command did what it is for.
func (r *run) happened() bool {
	ready, was := r.after.Note == "ready", r.before.Note == "ready"
	same := r.after.N == r.before.N
	switch r.begin.Note {
	case "restart": // a drained router stays drained
		return r.after.N != 0 && !same && ready == was
	case "drain":
		return r.after.N != 0 && same && !ready
	case "resume":
		return r.after.N != 0 && same && ready
	}
	return false
}

// wrong tells why an exit status is not what happened; "" if it is.
func (r *run) wrong() string {
	code := int(r.end.N)
	switch {
	case r.end.Kind == "":
		return "the run has no end"
	case r.killed && code == toolDone && r.killedAt > r.end.T-leaving:
		return ""
	case r.killed && code != toolUnknown:
		return "the router was killed or hung in the middle"
	case r.killed:
		return ""
	case r.before.N == 0 && code != toolUnreachable:
		return "no process of the router lived"
	case r.happened() && code != toolDone:
		return "it was done"
	case !r.happened() && code == toolDone:
		return fmt.Sprintf("process %g, %q before, is process %g, %q after", r.before.N, r.before.Note, r.after.N, r.after.Note)
	case !r.happened() && r.before.N != 0 && code != toolRefused && code != toolUnknown:
		return "the router lived and was not killed"
	}
	return ""
}

// doors looks for clients that got no session at a router that should have given one.
func (o *Operations) doors(events []record.Event, dial float64) {
	shut := map[string]float64{} // since when, of routers that are not to be counted on
	opened := map[string]float64{}
	for _, e := range events {
		switch {
		case e.Kind == record.RouterUp, e.Kind == record.Killed, e.Kind == record.Stopped,
			e.Kind == record.ToolBegin && e.Note == "drain":
			if _, is := shut[e.Router]; !is {
				shut[e.Router] = e.T
			}
		case e.Kind == record.RouterReady,
			e.Kind == record.ToolEnd && e.Note == "resume" && int(e.N) == toolDone:
			delete(shut, e.Router)
			opened[e.Router] = e.T
		case e.Kind == record.ShutOut:
			o.ShutOut++
			_, is := shut[e.Router]
			if was, known := opened[e.Router]; is || !known || e.T-was < dial {
				o.Excused++
			} else {
				o.Breaks = append(o.Breaks, fmt.Sprintf("at %.0f ms %s got no session at %s, which was ready: %s", e.T, e.Who, e.Router, e.Note))
			}
		}
	}
}
