package rules

import (
	"strings"
	"testing"

	"gannethook/internal/record"
)

func probe(at float64, pid float64, note string) record.Event {
	return record.Event{T: at, Kind: record.Probe, Router: "r0", N: pid, Note: note}
}

// toolRunEvents is one run of the tool from 10 to 200 ms, between two probes.
func toolRunEvents(verb string, code float64, before, after record.Event, more ...record.Event) []record.Event {
	before.T, after.T = 9, 201
	return append([]record.Event{{T: 1, Kind: record.RouterReady, Router: "r0"}, before,
		{T: 10, Kind: record.ToolBegin, Router: "r0", Key: "t1", Note: verb},
		{T: 200, Kind: record.ToolEnd, Router: "r0", Key: "t1", Note: verb, N: code}, after}, more...)
}

// Exit statuses that are not what happened, and some that are.
func TestOperators(t *testing.T) {
	ready, drained, other, none := probe(0, 7, "ready"), probe(0, 7, ""), probe(0, 8, "ready"), probe(0, 0, "")
	kill := []record.Event{{T: 15, Kind: record.Killed, Router: "r0"}, {T: 16, Kind: record.Reaped, Router: "r0"}}
	shut := func(at float64) record.Event {
		return record.Event{T: at, Who: "c", Kind: record.ShutOut, Router: "r0", Note: "refused"}
	}
	for _, c := range []struct {
		name   string
		events []record.Event
		want   string // "" for no break
	}{
		{"a restart", toolRunEvents("restart", 0, ready, other), ""},
		{"a restart that was none", toolRunEvents("restart", 0, ready, ready), "process 7"},
		{"a restart that was one", toolRunEvents("restart", 5, ready, other), "it was done"},
		{"a restart that was refused", toolRunEvents("restart", 5, ready, ready), ""},
		{"a restart that undid a drain", toolRunEvents("restart", 0, drained, other), "process 7"},
		{"a drain", toolRunEvents("drain", 0, ready, drained), ""},
		{"a drain that was none", toolRunEvents("drain", 0, ready, ready), "process 7"},
		{"a drain by a router that died and came back", toolRunEvents("drain", 0, ready, probe(0, 8, "")), "process 7"},
		{"a resume", toolRunEvents("resume", 0, drained, ready), ""},
		{"a kill taken for done", toolRunEvents("restart", 0, ready, other, kill...), "killed or hung"},
		{"a kill taken for unreachable", toolRunEvents("drain", 6, ready, none, kill...), "killed or hung"},
		{"a kill that is unknown", toolRunEvents("drain", 4, ready, none, kill...), ""},
		{"a dead router", toolRunEvents("drain", 6, none, none), ""},
		{"a dead router taken for unknown", toolRunEvents("drain", 4, none, none), "no process"},
		{"a living router taken for unreachable", toolRunEvents("drain", 6, ready, ready), "the router lived"},
		{"a shut door at a ready router", append(toolRunEvents("restart", 0, ready, other), shut(9000)), "got no session"},
		{"a shut door in a drain", append(toolRunEvents("drain", 0, ready, drained), shut(9000)), ""},
		{"a shut door after a resume", append(toolRunEvents("resume", 0, drained, ready), shut(9000)), "got no session"},
		{"a shut door at a dead router", append(toolRunEvents("drain", 4, ready, none, kill...), shut(9000)), ""},
	} {
		o := Operators(c.events, 2000)
		got := strings.Join(o.Breaks, "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) || o.Runs != 1 {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}
