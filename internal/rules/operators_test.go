package rules

import (
	"strings"
	"testing"

	"gannethook/internal/record"
)

func probe(at float64, pid float64, note string) record.Event {
	return record.Event{T: at, Kind: record.Probe, Router: "r0", N: pid, Note: note}
}

// toolRunEvents returns the events of one run of the tool from 10 to 200 ms, between two probes.
func toolRunEvents(verb string, code float64, before, after record.Event, more ...record.Event) []record.Event {
	before.T, after.T = 9, 201
	return append([]record.Event{{T: 1, Kind: record.RouterReady, Router: "r0"}, before,
		{T: 10, Kind: record.ToolBegin, Router: "r0", Key: "t1", Note: verb},
		{T: 200, Kind: record.ToolEnd, Router: "r0", Key: "t1", Note: verb, N: code}, after}, more...)
}

// Exit statuses that do not match what happened are violations; those that match pass.
func TestOperators(t *testing.T) {
	ready, drained, other, none := probe(0, 7, "ready"), probe(0, 7, ""), probe(0, 8, "ready"), probe(0, 0, "")
	kill := []record.Event{{T: 15, Kind: record.Killed, Router: "r0"}, {T: 16, Kind: record.Reaped, Router: "r0"}}
	shut := func(at float64) record.Event {
		return record.Event{T: at, Who: "c", Kind: record.ShutOut, Router: "r0", Note: "refused"}
	}
	for _, c := range []struct {
		name   string
		events []record.Event
		want   string // "" for no violation
	}{
		{"a restart", toolRunEvents("restart", 0, ready, other), ""},
		{"done, but the router did not restart", toolRunEvents("restart", 0, ready, ready), "process 7"},
		{"refused, but the router restarted", toolRunEvents("restart", 5, ready, other), "it was done"},
		{"a restart that was refused", toolRunEvents("restart", 5, ready, ready), ""},
		{"a restart that resumed a drained router", toolRunEvents("restart", 0, drained, other), "process 7"},
		{"a drain", toolRunEvents("drain", 0, ready, drained), ""},
		{"done, but the router did not drain", toolRunEvents("drain", 0, ready, ready), "process 7"},
		{"a drain of a router that was replaced by a new process", toolRunEvents("drain", 0, ready, probe(0, 8, "")), "process 7"},
		{"a resume", toolRunEvents("resume", 0, drained, ready), ""},
		{"killed, but reported as done", toolRunEvents("restart", 0, ready, other, kill...), "killed or hung"},
		{"killed, but reported as unreachable", toolRunEvents("drain", 6, ready, none, kill...), "killed or hung"},
		{"killed, reported as unknown", toolRunEvents("drain", 4, ready, none, kill...), ""},
		{"a dead router", toolRunEvents("drain", 6, none, none), ""},
		{"a dead router reported as unknown", toolRunEvents("drain", 4, none, none), "no process"},
		{"a running router reported as unreachable", toolRunEvents("drain", 6, ready, ready), "the router lived"},
		{"no session at a ready router", append(toolRunEvents("restart", 0, ready, other), shut(9000)), "got no session"},
		{"no session during a drain", append(toolRunEvents("drain", 0, ready, drained), shut(9000)), ""},
		{"no session after a resume", append(toolRunEvents("resume", 0, drained, ready), shut(9000)), "got no session"},
		{"no session at a dead router", append(toolRunEvents("drain", 4, ready, none, kill...), shut(9000)), ""},
	} {
		o := Operators(c.events, 2000)
		got := strings.Join(o.Violations, "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) || o.Runs != 1 {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
