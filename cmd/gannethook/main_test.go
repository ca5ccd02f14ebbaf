package main

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"gannethook/internal/fleet"
	"gannethook/internal/scenario"
	"gannethook/internal/settings"
)

// TestMain lets the test binary run as the program for the processes that tests start. Otherwise it checks for leaked
// goroutines.
func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) != "" {
		main()
		return
	}
	goleak.VerifyTestMain(m)
}

// run executes a command line in this process and returns its output.
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

// Runs the embedded scenario bad.gann, shortened, in which half of the router processes are killed: no rule may be broken,
// and no adjustment may take effect twice.
func TestBadScenarioShortened(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	runShortened(t, func() (*scenario.Script, error) { return scenario.Parse("bad.gann", scenario.BadScript) }, 0.25)
}

// Runs the scenario with all kinds of fault, shortened.
func TestAllFaultsScenarioShortened(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute")
	}
	runShortened(t, func() (*scenario.Script, error) { return scenario.Load("../../internal/scenario/all.gann") }, 0.25)
}

// Runs the scenario with sessions, chat over HTTP and batches on one fleet, shortened: one tenant sends a burst, clients stop
// reading, half of the routers are killed. Every class must be served.
func TestFrontsScenarioShortened(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a quarter of a minute")
	}
	r := runShortened(t, func() (*scenario.Script, error) { return scenario.Load("../../internal/scenario/fronts.gann") }, 0.25)
	for i, c := range r.Script.Classes {
		if r.Class[i].Served == 0 {
			t.Errorf("no request of class %s was served", c.Name)
		}
	}
}

// Runs the scenario in which ten routers are restarted and drained in turn under load, shortened; three are killed during a
// command and one hangs. No answer may be lost, ready routers must accept clients, and each exit status must be correct.
func TestRollScenarioShortened(t *testing.T) {
	if testing.Short() {
		t.Skip("takes most of a minute")
	}
	r := runShortened(t, func() (*scenario.Script, error) { return scenario.Load("../../internal/scenario/roll.gann") }, 0.2)
	if r.Ops.Runs < 30 || r.Ops.Codes[fleet.ExitUnknown] < 3 {
		t.Errorf("%d runs of the tool, by exit status %v: want 30 or more, and 3 or more unknown (three kills and a hang)", r.Ops.Runs, r.Ops.Codes)
	}
}

// runShortened runs a scenario with its times multiplied by stretch. It fails the test if a rule was broken or less than
// half of the requests were served.
func runShortened(t *testing.T, load func() (*scenario.Script, error), stretch float64) *scenario.Result {
	t.Helper()
	s, err := load()
	if err != nil {
		t.Fatal(err)
	}
	s.Stretch(stretch)
	r, err := scenario.Run(context.Background(), s, "module", t.TempDir(), selfCommand)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	r.Write(&out)
	for i := range r.Verdict.Violations {
		r.Verdict.Violations[i].Write(&out)
	}
	if !r.OK() || r.All.Served < r.All.Offered/2 {
		t.Errorf("%s", out.String())
	}
	t.Log(out.String())
	return r
}

// startProcess runs this program as a separate process and returns the first line of its output. When the test ends, the
// process gets SIGTERM and must exit with status 0.
func startProcess(t *testing.T, args ...string) string {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), runProgramEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v: %v", args, err)
		}
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatalf("%v: %v", args, err)
	}
	return strings.TrimSpace(line)
}

// Checks that the commands of the README work together: stand-ins and a router as separate processes, and a chat.
func TestProcesses(t *testing.T) {
	reader := startProcess(t, "engine", "--role", "reader")
	writer := startProcess(t, "engine", "--role", "writer", "--token-gap", "1ms")
	roster := startProcess(t, "roster", "--reader", reader, "--writer", writer)
	addr := freeAddr(t)
	config := filepath.Join(t.TempDir(), "router.gann")
	text := strings.Replace(settings.Default, `(listen "127.0.0.1:0")`, `(listen "`+addr+`")`, 1)
	text = strings.Replace(text, `(watch "127.0.0.1:0")`, `(watch "`+roster+`")`, 1)
	if err := os.WriteFile(config, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	serve := exec.Command(os.Args[0], "serve", "--config", config, "--log", "error")
	serve.Env = append(os.Environ(), runProgramEnv+"=1")
	if err := serve.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		serve.Process.Signal(syscall.SIGTERM)
		if err := serve.Wait(); err != nil {
			t.Errorf("serve: %v", err)
		}
	}()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if nc, err := net.Dial("tcp", addr); err == nil {
			nc.Close()
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the router does not listen within 10 s")
		}
	}
	var out bytes.Buffer
	cmd := root()
	cmd.SetArgs([]string{"chat", "--router", addr, "--class", "adjustment", "--max-tokens", "5"})
	cmd.SetIn(strings.NewReader("one\n\ntwo\n"))
	cmd.SetOut(&out)
	if err := cmd.ExecuteContext(context.Background()); err != nil || strings.Count(out.String(), " t0") != 2 {
		t.Errorf("%q, %v", out.String(), err)
	}
	if text, err := run(t, "idle", "--router", addr, "--sessions", "10", "--keep", "1ms"); err != nil || !strings.Contains(text, "10 sessions open") {
		t.Errorf("%q, %v", text, err)
	}
}
