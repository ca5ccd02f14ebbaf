package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"gannethook/internal/day"
)

// TestMain lets the test's binary be the routers that a day starts.
func TestMain(m *testing.M) {
	if os.Getenv(beRouter) != "" {
		main()
		return
	}
	goleak.VerifyTestMain(m)
}

// run runs a command line and returns what it prints.
func run(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	cmd := root()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.ExecuteContext(context.Background())
	return out.String(), err
}

func TestDemo(t *testing.T) {
	out, err := run(t, "demo")
	if err != nil || strings.Count(out, "served:") != 3 {
		t.Errorf("%s%v", out, err)
	}
}

func TestCheck(t *testing.T) {
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "good.gann"), filepath.Join(dir, "bad.gann")
	os.WriteFile(good, []byte(`(name r) (listen "127.0.0.1:0") (class q (aim 1s) (give-up 5s) (effect safe))
		(kind p (role reader)) (kind a (role writer)) (roster (file "x"))`), 0o644)
	os.WriteFile(bad, []byte("(name r)\n(lissen \"x\")"), 0o644)
	if out, err := run(t, "check", good); err != nil || !strings.Contains(out, "router r, 1 classes, 2 kinds") {
		t.Errorf("%s%v", out, err)
	}
	out, err := run(t, "check", good, bad)
	if err == nil || !strings.Contains(out, `bad.gann:2:2: "lissen" is not known here; is "listen" meant?`) {
		t.Errorf("%s%v", out, err)
	}
}

// The embedded bad day, shortened: routers as processes, half of them killed.
// Every rule is kept and no adjustment has its effect twice.
func TestShortBadDay(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	shortDay(t, func() (*day.Script, error) { return day.Parse("bad.gann", day.Bad) }, 0.25)
}

// The day of all troubles, shortened.
func TestShortAllDay(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	shortDay(t, func() (*day.Script, error) { return day.Load("../../internal/day/all.gann") }, 0.25)
}

func shortDay(t *testing.T, load func() (*day.Script, error), times float64) {
	s, err := load()
	if err != nil {
		t.Fatal(err)
	}
	s.Stretch(times)
	r, err := day.Run(context.Background(), s, "module", t.TempDir(), command)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	r.Write(&out)
	for i := range r.Verdict.Breaks {
		r.Verdict.Breaks[i].Write(&out)
	}
	if !r.OK() || r.All.Served < r.All.Offered/2 {
		t.Errorf("%s", out.String())
	}
	t.Log(out.String())
}
