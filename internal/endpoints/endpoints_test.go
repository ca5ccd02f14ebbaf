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

func slice(name, kind string, port int, eps ...endpoints.Endpoint) endpoints.Slice {
	return endpoints.Slice{Metadata: endpoints.Meta{Name: name, Labels: map[string]string{endpoints.KindLabel: kind, endpoints.CellLabel: "3"}},
		Endpoints: eps, Ports: []endpoints.Port{{Port: port}}}
}

func ep(addr, uid string, c endpoints.Conditions) endpoints.Endpoint {
	return endpoints.Endpoint{Addresses: []string{addr}, Conditions: c, Zone: "s", TargetRef: &endpoints.Ref{UID: uid}}
}

func show(m gannethook.Membership) string {
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
	m := tb.List([]endpoints.Slice{slice("a", "prompt", 80, ep("10.0.0.1", "u1", ready), ep("10.0.0.2", "u2", draining), ep("10.0.0.3", "u3", starting))}, 100)
	if got, want := show(m), "10.0.0.1:80:0/1/3@0=1 10.0.0.2:80:0/1/3@0=2"; got != want || !m.Whole {
		t.Fatalf("list: %s, want %s", got, want)
	}
	step := func(what, kind string, s endpoints.Slice, now gannethook.Millis, want string) {
		t.Helper()
		m, err := tb.Change(kind, s, now)
		if err != nil || show(m) != want || m.Whole {
			t.Errorf("%s: %q, %v; want %q", what, show(m), err, want)
		}
	}
	step("nothing new", "MODIFIED", slice("a", "prompt", 80, ep("10.0.0.1", "u1", ready), ep("10.0.0.2", "u2", draining)), 200, "")
	step("one drains, one is gone", "MODIFIED", slice("a", "prompt", 80, ep("10.0.0.1", "u1", draining)), 300,
		"10.0.0.1:80:0/1/3@0=2 10.0.0.2:80:0/1/3@0=3")
	step("another pod at the address is new", "MODIFIED", slice("a", "prompt", 80, ep("10.0.0.1", "u9", ready)), 400, "10.0.0.1:80:0/1/3@400=1")
	step("it keeps its start", "MODIFIED", slice("a", "prompt", 80, ep("10.0.0.1", "u9", draining)), 500, "10.0.0.1:80:0/1/3@400=2")
	step("the endpoint moves to another slice", "ADDED", slice("b", "prompt", 80, ep("10.0.0.1", "u9", ready)), 600, "10.0.0.1:80:0/1/3@400=1")
	step("the old slice goes", "DELETED", slice("a", "prompt", 80), 700, "")
	step("the new one too", "DELETED", slice("b", "prompt", 80), 800, "10.0.0.1:80:0/1/3@400=3")
	annotated := slice("c", "answer", 81, ep("10.0.0.4", "u4", ready))
	annotated.Metadata.Annotations = map[string]string{endpoints.StartedAnnotation: `{"10.0.0.4:81":"1970-01-01T00:00:01.5Z"}`}
	step("an annotated start", "ADDED", annotated, 900, "10.0.0.4:81:1/1/3@1500=1")
	if _, err := tb.Change("BOGUS", annotated, 1000); err == nil {
		t.Error("an unknown event passes")
	}
	tb.Change("ADDED", slice("d", "other", 80, ep("10.0.0.9", "u", ready)), 1000)
	if len(tb.Faults) != 1 || !strings.Contains(tb.Faults[0], `"other"`) {
		t.Errorf("faults %q", tb.Faults)
	}
}

// A list kept over a restart is no news: what is new beside it was not seen to start.
func TestCacheIsNoNews(t *testing.T) {
	tb := endpoints.NewTable(names)
	tb.Set([]gannethook.Server{{ID: "10.0.0.1:80", State: gannethook.Ready, Since: 50}})
	m := tb.List([]endpoints.Slice{slice("a", "prompt", 80, ep("10.0.0.1", "u1", ready), ep("10.0.0.2", "u2", ready))}, 100)
	if got, want := show(m), "10.0.0.1:80:0/1/3@50=1 10.0.0.2:80:0/1/3@0=1"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// follower keeps the list that a Watch tells.
type follower struct {
	mu    sync.Mutex
	list  map[gannethook.ServerID]gannethook.Server
	whole int
	news  chan struct{}
	errs  []error
	kept  []gannethook.Server
}

func (f *follower) publish(m gannethook.Membership) {
	f.mu.Lock()
	if m.Whole {
		f.whole++
		f.list = map[gannethook.ServerID]gannethook.Server{}
	}
	for _, s := range m.Servers {
		if f.list[s.ID] = s; s.State == gannethook.Gone {
			delete(f.list, s.ID)
		}
	}
	f.mu.Unlock()
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// until waits for the list to be as wanted.
func (f *follower) until(t *testing.T, want func() bool) {
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
		case <-f.news:
		case <-limit:
			t.Fatalf("the list stays %v, errors %v", f.list, f.errs)
		}
	}
}

// The watch goes through what a Kubernetes API does to it: changes, a cut, a
// forgotten version, an outage. The last list is kept all along.
func TestWatch(t *testing.T) {
	api := standin.NewRoster("engines", nil)
	one := standin.Listed{Addr: "127.0.0.1:1001", Kind: "prompt", Zone: "s", Cell: 2, State: "ready"}
	api.Set(one)
	addr, err := api.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &follower{news: make(chan struct{}, 1)}
	w := &endpoints.Watch{Addr: addr, Namespace: "default", Service: "engines", Agent: "r0", Silence: 2 * time.Second, Seed: 1,
		Names: names, Publish: f.publish, Report: func(err error) {
			f.mu.Lock()
			f.errs = append(f.errs, err)
			f.mu.Unlock()
			f.publish(gannethook.Membership{})
		}, Keep: func(list []gannethook.Server) { f.kept = list }}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	defer func() { cancel(); wg.Wait(); api.Stop() }()
	f.until(t, func() bool { return f.list["127.0.0.1:1001"].Cell == 2 && f.list["127.0.0.1:1001"].Zone == 1 })
	one.State = "draining"
	api.Set(one)
	f.until(t, func() bool { return f.list["127.0.0.1:1001"].State == gannethook.Draining })
	api.CutWatches()
	two := standin.Listed{Addr: "127.0.0.1:1002", Kind: "answer", Zone: "n", State: "ready", Started: time.UnixMilli(5000)}
	api.Set(two)
	f.until(t, func() bool { return f.list["127.0.0.1:1002"].Since == 5000 && f.whole == 1 })
	api.Forget()
	one.State = "gone"
	api.Set(one)
	f.until(t, func() bool { return len(f.list) == 1 && f.whole == 2 })
	api.Stop()
	f.until(t, func() bool { return len(f.errs) > 3 })
	if len(f.list) != 1 {
		t.Errorf("an outage changed the list: %v", f.list)
	}
	two.State = "draining"
	api.Set(two)
	if _, err := api.Start(addr); err != nil {
		t.Fatal(err)
	}
	f.until(t, func() bool { return f.list["127.0.0.1:1002"].State == gannethook.Draining })
}

func TestBackoff(t *testing.T) {
	for n, most := 0, 100*time.Millisecond; n < 12; n++ {
		if low, high := endpoints.Backoff(n, 0), endpoints.Backoff(n, 1); low != most/2 || high != most {
			t.Errorf("try %d: %v to %v", n, low, high)
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

// A file is followed; a bad one changes nothing and is told once.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "roster.gann")
	write := func(s string) {
		if err := os.WriteFile(path, []byte(s), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write(`(server "h:1" (kind prompt))`)
	f := &follower{news: make(chan struct{}, 1)}
	file := &endpoints.File{Path: path, Every: time.Millisecond, Names: names, Publish: f.publish, Report: func(err error) {
		f.mu.Lock()
		f.errs = append(f.errs, err)
		f.mu.Unlock()
		f.publish(gannethook.Membership{})
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { file.Run(ctx) })
	f.until(t, func() bool { return len(f.list) == 1 })
	write(`(server "h:1" (kind`)
	f.until(t, func() bool { return len(f.errs) == 1 && len(f.list) == 1 })
	write(`(server "h:1" (kind prompt) (state draining)) (server "h:2" (kind answer))`)
	f.until(t, func() bool { return len(f.list) == 2 && f.list["h:1"].State == gannethook.Draining })
	cancel()
	wg.Wait()
}

func TestCache(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	if list, err := endpoints.LoadCache(path, names); list != nil || err != nil {
		t.Errorf("no cache: %v, %v", list, err)
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
		t.Error("a torn cache passes")
	}
}

// Whatever an API sends, the table keeps servers that the settings know.
func FuzzTable(f *testing.F) {
	f.Add("ADDED", `{"metadata":{"name":"a","labels":{"gannethook.dev/kind":"prompt"}},"endpoints":[{"addresses":["10.0.0.1"]}],"ports":[{"port":80}]}`)
	f.Fuzz(func(t *testing.T, kind, text string) {
		var s endpoints.Slice
		if json.Unmarshal([]byte(text), &s) != nil {
			return
		}
		tb := endpoints.NewTable(names)
		tb.Change(kind, s, 1)
		for _, e := range tb.List([]endpoints.Slice{s, s}, 2).Servers {
			if e.Kind < 0 || e.Kind >= len(names.Kinds) || e.Zone < 0 || e.Zone >= len(names.Zones) || e.State == gannethook.Gone {
				t.Fatalf("%+v", e)
			}
		}
	})
}
