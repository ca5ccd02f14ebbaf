package rules

import (
	"cmp"
	"fmt"
	"slices"

	"gannethook/internal/record"
)

// Exit statuses of the fleet tool, as its documentation lists them.
const (
	toolDone        = 0
	toolUnknown     = 4
	toolRefused     = 5
	toolUnreachable = 6
)

// Operations is the result of checking the runs of the fleet tool against the records.
type Operations struct {
	Runs       int
	Codes      map[int]int // number of runs by exit status
	NoSession  int         // clients that got no session
	Excused    int         // of these, at a router that was dead, stopping or drained
	Violations []string    // exit statuses that don't match what happened, and clients that got no session at a ready router
}

// toolRun is one run of the tool, with the probes of its router before and after it.
type toolRun struct {
	begin, end    record.Event
	before, after record.Event
	killed        bool
	killedAt      float64
}

// exitMarginMS is the longest time, in ms, from the last check of a tool process to its exit. A kill within it comes
// after the tool has decided on its exit status.
const exitMarginMS = 50

// Operators checks the tool's exit statuses, and that ready routers accept sessions. dialMS is how long a client's attempt
// to open a session may take, in ms.
func Operators(events []record.Event, dialMS float64) *Operations {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b record.Event) int { return cmp.Compare(a.T, b.T) })
	o := &Operations{Codes: map[int]int{}}
	for _, r := range toolRuns(events) {
		o.Runs++
		o.Codes[int(r.end.N)]++
		if mismatch := r.mismatch(); mismatch != "" {
			o.Violations = append(o.Violations, fmt.Sprintf("%s %s of %s exits with %g, but %s", r.begin.Key, r.begin.Note, r.begin.Router, r.end.N, mismatch))
		}
	}
	o.checkSessions(events, dialMS)
	return o
}

func toolRuns(events []record.Event) (list []*toolRun) {
	open := map[string]*toolRun{}          // by the key of the run
	lastProbe := map[string]record.Event{} // by router
	var awaitingProbe []*toolRun           // runs that wait for the probe after them
	killed := map[string]bool{}            // routers killed or suspended, and not reaped
	for _, e := range events {
		switch e.Kind {
		case record.Probe:
			lastProbe[e.Router] = e
			awaitingProbe = slices.DeleteFunc(awaitingProbe, func(r *toolRun) bool {
				if r.begin.Router == e.Router {
					r.after = e
					return true
				}
				return false
			})
		case record.ToolBegin:
			r := &toolRun{begin: e, before: lastProbe[e.Router], killed: killed[e.Router]}
			open[e.Key] = r
			list = append(list, r)
		case record.Reaped:
			killed[e.Router] = false
		case record.Killed:
			killed[e.Router] = true
			for _, r := range open {
				if r.begin.Router == e.Router {
					r.killed, r.killedAt = true, e.T
				}
			}
		case record.ToolEnd:
			if r := open[e.Key]; r != nil {
				r.end = e
				delete(open, e.Key)
				awaitingProbe = append(awaitingProbe, r)
			}
		}
	}
	return list
}

// succeeded reports whether the command had its effect.
func (r *toolRun) succeeded() bool {
	ready, wasReady := r.after.Note == "ready", r.before.Note == "ready"
	sameProcess := r.after.N == r.before.N
	switch r.begin.Note {
	case "restart": // a drained router stays drained
		return r.after.N != 0 && !sameProcess && ready == wasReady
	case "drain":
		return r.after.N != 0 && sameProcess && !ready
	case "resume":
		return r.after.N != 0 && sameProcess && ready
	}
	return false
}

// mismatch returns why an exit status doesn't match what happened; "" if it does.
func (r *toolRun) mismatch() string {
	code := int(r.end.N)
	switch {
	case r.end.Kind == "":
		return "the end of the run is not recorded"
	case r.killed && code == toolDone && r.killedAt > r.end.T-exitMarginMS:
		return ""
	case r.killed && code != toolUnknown:
		return "the router was killed or hung in the middle"
	case r.killed:
		return ""
	case r.before.N == 0 && code != toolUnreachable:
		return "no process of the router lived"
	case r.succeeded() && code != toolDone:
		return "it was done"
	case !r.succeeded() && code == toolDone:
		return fmt.Sprintf("process %g, %q before, is process %g, %q after", r.before.N, r.before.Note, r.after.N, r.after.Note)
	case !r.succeeded() && r.before.N != 0 && code != toolRefused && code != toolUnknown:
		return "the router lived and was not killed"
	}
	return ""
}

// checkSessions looks for clients that got no session at a ready router.
func (o *Operations) checkSessions(events []record.Event, dialMS float64) {
	unavailableSince := map[string]float64{} // routers that need not accept sessions
	readySince := map[string]float64{}
	for _, e := range events {
		switch {
		case e.Kind == record.RouterUp, e.Kind == record.Killed, e.Kind == record.Stopped,
			e.Kind == record.ToolBegin && e.Note == "drain":
			if _, unavailable := unavailableSince[e.Router]; !unavailable {
				unavailableSince[e.Router] = e.T
			}
		case e.Kind == record.RouterReady,
			e.Kind == record.ToolEnd && e.Note == "resume" && int(e.N) == toolDone:
			delete(unavailableSince, e.Router)
			readySince[e.Router] = e.T
		case e.Kind == record.ShutOut:
			o.NoSession++
			_, unavailable := unavailableSince[e.Router]
			if since, known := readySince[e.Router]; unavailable || !known || e.T-since < dialMS {
				o.Excused++
			} else {
				o.Violations = append(o.Violations, fmt.Sprintf("at %.0f ms %s got no session at %s, which was ready: %s", e.T, e.Who, e.Router, e.Note))
			}
		}
	}
}
