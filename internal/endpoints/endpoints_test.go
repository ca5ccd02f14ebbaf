package endpoints_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gannethook"
	"gannethook/internal/endpoints"
	"gannethook/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var names = endpoints.Names{Kinds: []string{"prompt", "answer"}, Zones: []string{"n", "s"}}

func yes() *bool { b := true; return &b }
func no() *bool  { b := false; return &b }

func newSlice(name, kind string, port int, eps ...endpoints.Endpoint) endpoints.EndpointSlice {
	return endpoints.EndpointSlice{Metadata: endpoints.ObjectMeta{Name: name, Labels: map[string]string{endpoints.KindLabel: kind, endpoints.CellLabel: "3"}},
		Endpoints: eps, Ports: []endpoints.EndpointPort{{Port: port}}}
}

func newEndpoint(addr, uid string, c endpoints.Conditions) endpoints.Endpoint {
	return endpoints.Endpoint{Addresses: []string{addr}, Conditions: c, Zone: "s", TargetRef: &endpoints.ObjectReference{UID: uid}}
}

// format formats servers as ID:kind/zone/cell@started=state.
func format(m gannethook.Membership) string {
	s := ""
	for _, e := range m.Servers {
		s += fmt.Sprintf("%s:%d/%d/%d@%g=%d ", e.ID, e.Kind, e.Zone, e.Cell, float64(e.Since), e.State)
	}
	return strings.TrimSpace(s)
}

var (
	ready    = endpoints.Conditions{}
	draining = endpoints.Conditions{Ready: no(), Serving: yes(), Terminating: yes()}
	starting = endpoints.Conditions{Ready: no(), Serving: no()}
)

func TestTable(t *testing.T) {
	tb := endpoints.NewTable(names)
	m := tb.Replace([]endpoints.EndpointSlice{newSlice("a", "prompt", 80, newEndpoint("10.0.0.1", "u1", ready), newEndpoint("10.0.0.2", "u2", draining), newEndpoint("10.0.0.3", "u3", starting))}, 100)
	if got, want := format(m), "10.0.0.1:80:0/1/3@0=1 10.0.0.2:80:0/1/3@0=2"; got != want || !m.Whole {
		t.Fatalf("list: %s, want %s", got, want)
	}
	step := func(what, kind string, s endpoints.EndpointSlice, now gannethook.Millis, want string) {
		t.Helper()
		m, err := tb.ApplyEvent(kind, s, now)
		if err != nil || format(m) != want || m.Whole {
			t.Errorf("%s: %q, %v; want %q", what, format(m), err, want)
		}
	}
	step("no change", "MODIFIED", newSlice("a", "prompt", 80, newEndpoint("10.0.0.1", "u1", ready), newEndpoint("10.0.0.2", "u2", draining)), 200, "")
	step("one starts draining, one is removed", "MODIFIED", newSlice("a", "prompt", 80, newEndpoint("10.0.0.1", "u1", draining)), 300,
		"10.0.0.1:80:0/1/3@0=2 10.0.0.2:80:0/1/3@0=3")
	step("another pod at the address", "MODIFIED", newSlice("a", "prompt", 80, newEndpoint("10.0.0.1", "u9", ready)), 400, "10.0.0.1:80:0/1/3@400=1")
	step("its start time is kept", "MODIFIED", newSlice("a", "prompt", 80, newEndpoint("10.0.0.1", "u9", draining)), 500, "10.0.0.1:80:0/1/3@400=2")
	step("the endpoint moves to another slice", "ADDED", newSlice("b", "prompt", 80, newEndpoint("10.0.0.1", "u9", ready)), 600, "10.0.0.1:80:0/1/3@400=1")
	step("the old slice is deleted", "DELETED", newSlice("a", "prompt", 80), 700, "")
	step("the new slice is deleted", "DELETED", newSlice("b", "prompt", 80), 800, "10.0.0.1:80:0/1/3@400=3")
	annotated := newSlice("c", "answer", 81, newEndpoint("10.0.0.4", "u4", ready))
	annotated.Metadata.Annotations = map[string]string{endpoints.StartedAnnotation: `{"10.0.0.4:81":"1970-01-01T00:00:01.5Z"}`}
	step("annotated start time", "ADDED", annotated, 900, "10.0.0.4:81:1/1/3@1500=1")
	if _, err := tb.ApplyEvent("BOGUS", annotated, 1000); err == nil {
		t.Error("unknown event type accepted")
	}
	tb.ApplyEvent("ADDED", newSlice("d", "other", 80, newEndpoint("10.0.0.9", "u", ready)), 1000)
	if len(tb.Skipped) != 1 || !strings.Contains(tb.Skipped[0], `"other"`) {
		t.Errorf("skipped %q, want the slice of kind \"other\"", tb.Skipped)
	}
}

// A cached list does not count as an earlier list: servers missing in it get no start time.
func TestCacheIsNotAnEarlierList(t *testing.T) {
	tb := endpoints.NewTable(names)
	tb.SetServers([]gannethook.Server{{ID: "10.0.0.1:80", State: gannethook.Ready, Since: 50}})
	m := tb.Replace([]endpoints.EndpointSlice{newSlice("a", "prompt", 80, newEndpoint("10.0.0.1", "u1", ready), newEndpoint("10.0.0.2", "u2", ready))}, 100)
	if got, want := format(m), "10.0.0.1:80:0/1/3@50=1 10.0.0.2:80:0/1/3@0=1"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// watcher applies what a Watch or File publishes to a list.
type watcher struct {
	mu        sync.Mutex
	list      map[gannethook.ServerID]gannethook.Server
	snapshots int
	changed   chan struct{}
	errs      []error
	cached    []gannethook.Server
}

func (f *watcher) publish(m gannethook.Membership) {
	f.mu.Lock()
	if m.Whole {
		f.snapshots++
		f.list = map[gannethook.ServerID]gannethook.Server{}
	}
	for _, s := range m.Servers {
		if f.list[s.ID] = s; s.State == gannethook.Gone {
			delete(f.list, s.ID)
		}
	}
	f.mu.Unlock()
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// waitUntil waits up to 10 s for a condition on the published list.
func (f *watcher) waitUntil(t *testing.T, want func() bool) {
	t.Helper()
	limit := time.After(10 * time.Second)
	for {
		f.mu.Lock()
		ok := want()
		f.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-f.changed:
		case <-limit:
			t.Fatalf("timed out; list %v, errors %v", f.list, f.errs)
		}
	}
}

// A watch handles changes, a broken connection, an expired resource version and an
// outage of the API. The last list stays valid throughout.
func TestWatch(t *testing.T) {
	api := standin.NewRoster("engines", nil)
	one := standin.Listing{Addr: "127.0.0.1:1001", Kind: "prompt", Zone: "s", Cell: 2, State: "ready"}
	api.Set(one)
	addr, err := api.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &watcher{changed: make(chan struct{}, 1)}
	w := &endpoints.Watch{Addr: addr, Namespace: "default", Service: "engines", RouterName: "r0", IdleTimeout: 2 * time.Second, Seed: 1,
		Names: names, Publish: f.publish, Report: func(err error) {
			f.mu.Lock()
			f.errs = append(f.errs, err)
			f.mu.Unlock()
			f.publish(gannethook.Membership{})
		}, SaveList: func(list []gannethook.Server) { f.cached = list }}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	defer func() { cancel(); wg.Wait(); api.Stop() }()
	f.waitUntil(t, func() bool { return f.list["127.0.0.1:1001"].Cell == 2 && f.list["127.0.0.1:1001"].Zone == 1 })
	one.State = "draining"
	api.Set(one)
	f.waitUntil(t, func() bool { return f.list["127.0.0.1:1001"].State == gannethook.Draining })
	api.CutWatches()
	two := standin.Listing{Addr: "127.0.0.1:1002", Kind: "answer", Zone: "n", State: "ready", Started: time.UnixMilli(5000)}
	api.Set(two)
	f.waitUntil(t, func() bool { return f.list["127.0.0.1:1002"].Since == 5000 && f.snapshots == 1 })
	api.Compact()
	one.State = "gone"
	api.Set(one)
	f.waitUntil(t, func() bool { return len(f.list) == 1 && f.snapshots == 2 })
	api.Stop()
	f.waitUntil(t, func() bool { return len(f.errs) > 3 })
	if len(f.list) != 1 {
		t.Errorf("the list changed during an outage: %v", f.list)
	}
	two.State = "draining"
	api.Set(two)
	if _, err := api.Start(addr); err != nil {
		t.Fatal(err)
	}
	f.waitUntil(t, func() bool { return f.list["127.0.0.1:1002"].State == gannethook.Draining })
}

func TestBackoff(t *testing.T) {
	for n, most := 0, 100*time.Millisecond; n < 12; n++ {
		if low, high := endpoints.Backoff(n, 0), endpoints.Backoff(n, 1); low != most/2 || high != most {
			t.Errorf("retry %d: %v to %v", n, low, high)
		}
		if n < 6 {
			most *= 2
		}
	}
}

func TestFileErrors(t *testing.T) {
	for in, want := range map[string]string{
		`(server "h:1" (kind prompt))`:                                   "",
		`(server "h:1" (kind prompt) (state gone))`:                      `f:1:36: "gone" is not ready or draining`,
		`(server "h:1" (kind promt))`:                                    `f:1:1: kind "promt" is not one of ["prompt" "answer"]`,
		`(server "h" (kind prompt))`:                                     `f:1:1: "h" is not host:port`,
		`(server "h:1" (kind prompt) (zone x))`:                          `f:1:1: zone "x" is not one of ["n" "s"]`,
		`(server "h:1" (kind prompt) (started now))`:                     `f:1:38: "now" is not a time; write 2026-01-31T03:00:00Z`,
		"(server \"h:1\" (kind prompt))\n(server \"h:1\" (kind prompt))": `f:2:1: server "h:1" is given twice`,
	} {
		_, err := endpoints.ParseFile("f", in, names)
		if got := fmt.Sprint(err); got != want && !(want == "" && err == nil) {
			t.Errorf("%s: %s; want %s", in, got, want)
		}
	}
}

// Changes of a file are published; an invalid one leaves the list as it is and is reported once.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "roster.gann")
	write := func(s string) {
		if err := os.WriteFile(path, []byte(s), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(`(server "h:1" (kind prompt))`)
	f := &watcher{changed: make(chan struct{}, 1)}
	file := &endpoints.File{Path: path, PollInterval: time.Millisecond, Names: names, Publish: f.publish, Report: func(err error) {
		f.mu.Lock()
		f.errs = append(f.errs, err)
		f.mu.Unlock()
		f.publish(gannethook.Membership{})
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { file.Run(ctx) })
	f.waitUntil(t, func() bool { return len(f.list) == 1 })
	write(`(server "h:1" (kind`)
	f.waitUntil(t, func() bool { return len(f.errs) == 1 && len(f.list) == 1 })
	write(`(server "h:1" (kind prompt) (state draining)) (server "h:2" (kind answer))`)
	f.waitUntil(t, func() bool { return len(f.list) == 2 && f.list["h:1"].State == gannethook.Draining })
	cancel()
	wg.Wait()
}

func TestCache(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if list, err := endpoints.LoadCache(path, names); list != nil || err != nil {
		t.Errorf("missing file: %v, %v", list, err)
	}
	want := []gannethook.Server{{ID: "h:1", Kind: 1, Zone: 1, Cell: 2, Since: 5, State: gannethook.Draining}}
	if err := endpoints.SaveCache(path, want); err != nil {
		t.Fatal(err)
	}
	if list, err := endpoints.LoadCache(path, names); err != nil || fmt.Sprint(list) != fmt.Sprint(want) {
		t.Errorf("%v, %v", list, err)
	}
	os.WriteFile(path, []byte(`[{"ID":`), 0o644)
	if _, err := endpoints.LoadCache(path, names); err == nil {
		t.Error("truncated cache accepted")
	}
}

// For any API object, the table only has servers with a known kind and zone that are not Gone.
func FuzzTable(f *testing.F) {
	f.Add("ADDED", `{"metadata":{"name":"a","labels":{"gannethook.dev/kind":"prompt"}},"endpoints":[{"addresses":["10.0.0.1"]}],"ports":[{"port":80}]}`)
	f.Fuzz(func(t *testing.T, kind, text string) {
		var s endpoints.EndpointSlice
		if json.Unmarshal([]byte(text), &s) != nil {
			return
		}
		tb := endpoints.NewTable(names)
		tb.ApplyEvent(kind, s, 1)
		for _, e := range tb.Replace([]endpoints.EndpointSlice{s, s}, 2).Servers {
			if e.Kind < 0 || e.Kind >= len(names.Kinds) || e.Zone < 0 || e.Zone >= len(names.Zones) || e.State == gannethook.Gone {
				t.Fatalf("%+v", e)
			}
		}
	})
}
