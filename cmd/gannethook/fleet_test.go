package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gannethook/internal/client"
	"gannethook/internal/fleet"
	"gannethook/internal/settings"
	"gannethook/internal/standin"
)

// testFleet is a fleet of router processes in front of stand-in engines and roster in the test process.
type testFleet struct {
	t       *testing.T
	dir     string
	file    string            // the fleet file
	routers []string          // of the routers
	addrs   map[string]string // for clients, by router
	start   map[string]func() // starts the process again, by router
}

// newTestFleet starts n routers and waits until they are ready. extra is added to the (control ...) of each router, with
// NAME replaced by its name; rollout is added to the fleet file.
func newTestFleet(t *testing.T, n int, extra, rollout string) *testFleet {
	t.Helper()
	r := &testFleet{t: t, dir: t.TempDir(), addrs: map[string]string{}, start: map[string]func(){}}
	roster := standin.NewRoster("engines", nil)
	for i, kind := range []string{"prompt", "answer"} {
		e := standin.NewEngine(standin.Config{Addr: "127.0.0.1:0", Writes: i == 1, Slots: 64, Queue: 64, Memory: 1e6, ReadRate: 1e6,
			FetchRate: 1e7, TokenGap: 20 * time.Millisecond, EarlyShare: 0.7, StateLifetime: 2 * time.Second, Extended: true, Seed: 3}, nil, nil)
		if err := e.Start(false); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Kill)
		roster.Set(standin.Listing{Addr: e.Addr(), Kind: kind, Zone: "north", State: "ready"})
	}
	api, err := roster.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(roster.Stop)
	text := "(fleet f)\n(times (call 2s) (drain 8s) (start 8s) (hang 2s) (again 4s))\n" + rollout + "\n"
	for i := range n {
		name := fmt.Sprintf("r%d", i)
		r.routers = append(r.routers, name)
		text += fmt.Sprintf("(router %s (at %q) (centre %s))\n", name, "unix:"+filepath.Join(r.dir, name, "control.sock"), []string{"north", "south"}[i%2])
		r.config(name, api, extra)
		r.start[name] = func() { r.startRouter(name) }
		r.startRouter(name)
	}
	r.file = filepath.Join(r.dir, "fleet.gann")
	if err := os.WriteFile(r.file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	r.waitReady()
	return r
}

// freeAddr returns an address whose port is reserved for the test until it ends.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, release, err := standin.HoldPort()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addr
}

// path returns the path of the settings file of a router.
func (r *testFleet) path(name string) string { return filepath.Join(r.dir, name+".gann") }

// config writes the settings file of a router: the default settings, with the roster at api.
func (r *testFleet) config(name, api, extra string) {
	r.addrs[name] = freeAddr(r.t)
	text := strings.Replace(settings.Default, "(name demo)", "(name "+name+")", 1)
	text = strings.Replace(text, `(listen "127.0.0.1:0")`, `(listen "`+r.addrs[name]+`")`, 1)
	text = strings.Replace(text, `(watch "127.0.0.1:0")`, `(watch "`+api+`")`, 1)
	text += fmt.Sprintf("(control (run %q) %s)\n(sessions (drain 8s))\n", filepath.Join(r.dir, name), strings.ReplaceAll(extra, "NAME", name))
	if err := os.WriteFile(r.path(name), []byte(text), 0o644); err != nil {
		r.t.Fatal(err)
	}
}

// startRouter starts a router in a process group of its own, which is killed when the test ends. If there is a release v1,
// the router runs it.
func (r *testFleet) startRouter(name string) {
	r.t.Helper()
	cmd := exec.Command(os.Args[0], "serve", "--config", r.path(name), "--log", "error")
	if b := filepath.Join(r.dir, "releases", "v1", "gannethook"); unix.Access(b, unix.X_OK) == nil {
		cmd.Path, cmd.Args[0] = b, b
	}
	cmd.Env = append(os.Environ(), runProgramEnv+"=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		cmd.Wait()
	})
}

// waitReady waits until every router is ready.
func (r *testFleet) waitReady() {
	r.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if _, code := r.fleet("status"); code == 0 {
			return
		}
		if time.Now().After(deadline) {
			out, _ := r.fleet("status")
			r.t.Fatalf("not ready: %s", out)
		}
	}
}

// fleet runs the fleet command and returns its output and exit status.
func (r *testFleet) fleet(args ...string) (string, int) {
	r.t.Helper()
	out, err := run(r.t, append([]string{"fleet", "--fleet", r.file}, args...)...)
	if err != nil {
		return out + err.Error(), exitCode(err)
	}
	return out, 0
}

// expect runs the fleet command and checks its exit status and that the output contains part.
func (r *testFleet) expect(code int, part string, args ...string) string {
	r.t.Helper()
	out, got := r.fleet(args...)
	if got != code || !strings.Contains(out, part) {
		r.t.Errorf("fleet %v: exit status %d, want %d, with %q in\n%s", args, got, code, part, out)
	}
	return out
}

// pid returns the process ID of a router from its pid file.
func (r *testFleet) pid(name string) int {
	r.t.Helper()
	text, err := os.ReadFile(filepath.Join(r.dir, name, "pid"))
	if err != nil {
		r.t.Fatal(err)
	}
	n := 0
	fmt.Sscan(string(text), &n)
	return n
}

// status returns the status of a router, decoded from JSON.
func (r *testFleet) status(name string) map[string]any {
	r.t.Helper()
	out, _ := r.fleet("--json", "status", name)
	var list []struct{ Status map[string]any }
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&list); err != nil || len(list) != 1 {
		r.t.Fatalf("%v: %s", err, out)
	}
	return list[0].Status
}

// startAnswer requests an answer of the given length in a new session, waits up to 5 s until the router counts it as open,
// and returns a channel of the answer.
func (r *testFleet) startAnswer(name string, tokens int) <-chan *client.Answer {
	r.t.Helper()
	s, err := client.Open(context.Background(), r.addrs[name], "m")
	if err != nil {
		r.t.Fatal(err)
	}
	if s.AddMessage("hello") != nil || s.Request(map[string]string{"class": "adjustment", "idempotency_key": fmt.Sprint(time.Now().UnixNano())}, tokens) != nil {
		r.t.Fatal("the session accepts no request")
	}
	answer := make(chan *client.Answer, 1)
	go func() {
		a, _ := s.Wait(nil)
		answer <- a
		s.Abort()
	}()
	for deadline := time.Now().Add(5 * time.Second); r.status(name)["open"] == float64(0) && time.Now().Before(deadline); {
	}
	return answer
}

func served(a *client.Answer) bool { return a != nil && a.Status == "completed" }

// Guards against a restart that loses answers in flight or can't be repeated: the successor takes over the ports and new
// sessions, while the old process completes its answers.
func TestRestart(t *testing.T) {
	r := newTestFleet(t, 1, "", "")
	for range 2 {
		before, a := r.pid("r0"), r.startAnswer("r0", 60)
		r.expect(0, "done", "restart", "r0")
		if !served(<-a) {
			t.Error("the answer in flight was not served")
		}
		if r.pid("r0") == before || !served(<-r.startAnswer("r0", 3)) {
			t.Error("there is no new process, or it does not serve")
		}
	}
	r.expect(0, "", "stop", "r0")
	r.expect(fleet.ExitUnreachable, "unreachable", "status", "r0")
	r.expect(fleet.ExitUnreachable, "unreachable", "drain", "r0")
}

// Guards against a drain that loses a request in flight (an adjustment is not safe to repeat), that is undone by a restart,
// or that exceeds its time limit without reporting the failed answers.
func TestDrain(t *testing.T) {
	r := newTestFleet(t, 1, "", "")
	a := r.startAnswer("r0", 40)
	out := make(chan int, 2)
	for range 2 { // two operators drain at the same time
		go func() {
			_, code := r.fleet("drain", "r0")
			out <- code
		}()
	}
	for r.status("r0")["state"] == "ready" {
	}
	r.expect(0, "gives up in", "status")
	if !served(<-a) || <-out != 0 || <-out != 0 {
		t.Error("the adjustment was not served, or a drain did not succeed")
	}
	if _, err := client.Open(context.Background(), r.addrs["r0"], "m"); err == nil {
		t.Error("a drained router accepted a session")
	}
	r.expect(0, "done", "restart", "r0") // a restart does not undo the drain
	if st := r.status("r0"); st["state"] != "drained" {
		t.Errorf("after a restart: %v", st["state"])
	}
	r.expect(0, "done", "resume", "r0")
	text, _ := os.ReadFile(r.path("r0")) // for the stop by a signal below
	os.WriteFile(r.path("r0"), []byte(strings.Replace(string(text), "(drain 8s)", "(drain 300ms)", 1)), 0o644)
	r.expect(0, "done", "reload", "r0")
	a = r.startAnswer("r0", 190)
	r.expect(0, "some answers failed at the deadline", "drain", "r0", "--limit", "300ms")
	if end := <-a; end == nil || end.Status == "completed" {
		t.Errorf("%+v: an answer was completed after the drain limit", end)
	}
	r.expect(0, "done", "resume", "r0")
	a = r.startAnswer("r0", 190) // takes 3.8 s
	from := time.Now()
	syscall.Kill(r.pid("r0"), syscall.SIGTERM)
	if end := <-a; end == nil || end.Status == "completed" || time.Since(from) > 3*time.Second {
		t.Errorf("%+v after %v: the reloaded limit is 300 ms", end, time.Since(from))
	}
}

// Guards against a reload or a restart with invalid settings that affects the running router.
func TestInvalidSettingsChangeNothing(t *testing.T) {
	r := newTestFleet(t, 1, "(start 1s)", "")
	before := r.pid("r0")
	good, _ := os.ReadFile(r.path("r0"))
	os.WriteFile(r.path("r0"), append(good, "(lissen x)"...), 0o644)
	r.expect(fleet.ExitRefused, `"lissen" is not known here`, "reload", "r0")
	r.expect(fleet.ExitRefused, `r0.gann:`, "restart", "r0")
	r.expect(fleet.ExitUnreachable, "can't be taken", "diff", "r0")
	noRoster := strings.Replace(string(good), "(watch ", "(silence 5s) (watch ", 1)
	noRoster = noRoster[:strings.Index(noRoster, `(watch "`)] + `(watch "127.0.0.1:1"` + noRoster[strings.Index(noRoster, `") (service`)+1:]
	os.WriteFile(r.path("r0"), []byte(noRoster), 0o644)
	r.expect(fleet.ExitRefused, "the roster was not heard in time", "restart", "r0")
	r.expect(0, "ready", "status", "r0") // its socket and pid file are still in place
	if r.pid("r0") != before || !served(<-r.startAnswer("r0", 3)) {
		t.Error("the router did not continue to serve")
	}
	text := strings.Replace(string(good), "(aim 1500ms)", "(aim 1200ms)", 1)
	text = strings.Replace(text, r.addrs["r0"], freeAddr(t), 1)
	os.WriteFile(r.path("r0"), []byte(text), 0o644)
	out := r.expect(0, "by a reload", "diff", "r0")
	if !strings.Contains(out, `class "question" aim  1.5s`) || !strings.Contains(out, "listen") {
		t.Error(out)
	}
	r.expect(0, "done", "reload", "r0")
	r.expect(0, "1 settings wait for a restart", "status")
	if out := r.expect(0, "by a restart", "diff", "r0"); strings.Contains(out, "aim") {
		t.Error(out)
	}
	if !served(<-r.startAnswer("r0", 3)) {
		t.Error("nothing is served after the reload")
	}
}

// Checks the output of the commands that only read, and that a command to several routers needs confirmation.
func TestReadOnlyCommands(t *testing.T) {
	r := newTestFleet(t, 2, "", "")
	a := r.startAnswer("r0", 60)
	r.expect(0, "r1", "list")
	r.expect(0, "1 of 1 sessions", "sessions", "r0")
	r.expect(0, "writer", "engines", "r0")
	r.expect(0, "r0: debug", "log-level", "r0", "--set", "debug")
	r.expect(fleet.ExitUnreachable, "unrecognized level", "log-level", "r0", "--set", "loud")
	r.expect(0, "state     ready", "watch", "--once", "r0")
	r.expect(0, "ready", "top", "--times", "1")
	r.expect(1, "not confirmed", "drain", "all")
	r.expect(1, `no router of fleet f is "r9"`, "drain", "r9")
	if !served(<-a) {
		t.Error("not served")
	}
	if out, err := run(t, "__complete", "fleet", "--fleet", r.file, "drain", ""); err != nil || !strings.Contains(out, "centre=south") {
		t.Errorf("%s, %v", out, err)
	}
}

// makeReleases creates a directory of releases: v1 and v2 work, bad exits at once.
func makeReleases(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"v1", "v2", "bad"} {
		os.MkdirAll(filepath.Join(dir, name), 0o755)
		path := filepath.Join(dir, name, "gannethook")
		var err error
		if name == "bad" {
			err = os.WriteFile(path, []byte("#!/bin/sh\nexit 1\n"), 0o755)
		} else {
			err = os.Symlink(os.Args[0], path)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// fastRollout is a (rollout ...) form with short times.
const fastRollout = "(rollout (share 0.5) (centre-share 0) (down 1) (canaries 1) (watch 300ms) (settle 200ms) (look 100ms) (silence 500ms) (expect 2s) (patience 20s) (service 0))"

// expectRelease checks the release that all routers run.
func (r *testFleet) expectRelease(want string) {
	r.t.Helper()
	for _, name := range r.routers {
		if got := r.status(name)["release"]; got != want {
			r.t.Errorf("%s runs %q, want %q", name, got, want)
		}
	}
}

// Guards against a rollout that can't be continued after the tool was killed, that repeats restarts, or that leaves routers
// on a release that does not start.
func TestRollout(t *testing.T) {
	dir := makeReleases(t)
	r := newTestFleet(t, 4, fmt.Sprintf("(releases %q)", dir), fastRollout)
	r.expect(0, "4 restarts", "rollout", "--plan")
	r.expect(0, "all done after", "rehearse", "--seeds", "1")
	tool := selfCommand("fleet", "--fleet", r.file, "rollout", "--yes", "--release", "v1")
	var out bytes.Buffer
	pipe, err := tool.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := tool.Start(); err != nil {
		t.Fatal(err)
	}
	for buf := make([]byte, 4096); !strings.Contains(out.String(), "r0: done") && !strings.Contains(out.String(), "r1: done"); {
		n, err := pipe.Read(buf)
		if out.Write(buf[:n]); err != nil {
			t.Fatalf("%v: %s", err, out.String())
		}
	}
	tool.Process.Kill()
	tool.Wait()
	r.expect(1, "has an open rollout", "rollout", "--yes", "--release", "v2")
	if out := r.expect(0, "going on with rollout", "rollout", "--yes", "--release", "v1"); strings.Count(out, ": to release") > 4 {
		t.Error(out)
	}
	r.expectRelease("v1")
	r.expect(fleet.ExitRolledBack, "rolled back", "rollout", "--yes", "--release", "bad")
	r.expectRelease("v1")
	r.expect(fleet.ExitRefused, "a name without / is due", "restart", "r0", "--release", "../v1")
	if !served(<-r.startAnswer("r3", 3)) {
		t.Error("no answer was served after the rollouts")
	}
}

// Guards against roles that may do more than they should, a router that poses as another, and a rollout that does not
// recover when an expired certificate of the operator is renewed.
func TestCertificates(t *testing.T) {
	dir := t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	cert := func(args ...string) {
		t.Helper()
		if out, err := run(t, append([]string{"cert", "--authority", at("authority")}, args...)...); err != nil {
			t.Fatal(out, err)
		}
	}
	cert("authority", "--domain", "fleet.test")
	cert("router", "r0", "--out", dir)
	cert("operator", "ann", "--out", dir)
	cert("read-only", "bob", "--out", dir)
	port := freeAddr(t)
	r := newTestFleet(t, 1, fmt.Sprintf("(listen %q) (domain fleet.test) (cert %q) (key %q) (authority %q)", port, at("r0.pem"), at("r0.key"),
		at("authority/authority.pem")), "")
	writeFleetFile := func(operator, router string) {
		text := fmt.Sprintf("(fleet f) (domain fleet.test) (cert %q) (key %q) (authority %q) (times (call 1s) (start 8s)) %s\n(router %s (at %q) (centre n))",
			at(operator+".pem"), at(operator+".key"), at("authority/authority.pem"), strings.Replace(fastRollout, "0.5", "0", 1), router, port)
		os.WriteFile(r.file, []byte(text), 0o644)
	}
	writeFleetFile("bob", "r0")
	r.expect(0, "ready", "status")
	r.expect(fleet.ExitRefused, "PermissionDenied", "drain", "r0")
	writeFleetFile("ann", "r0")
	r.expect(0, "done", "restart", "r0")
	writeFleetFile("ann", "r1") // the router at this address is not the one of the fleet file
	r.expect(fleet.ExitUnreachable, "", "status")
	writeFleetFile("r0", "r0") // a router's certificate does not permit what an operator's does
	r.expect(fleet.ExitUnreachable, "PermissionDenied", "status")

	// The operator's certificate has expired when the rollout starts and is renewed during it.
	cert("operator", "eve", "--out", dir, "--valid", "-1s")
	writeFleetFile("eve", "r0")
	r.expect(fleet.ExitUnreachable, "", "status")
	done := make(chan string, 1)
	go func() {
		out, code := r.fleet("rollout", "--yes")
		done <- fmt.Sprint(code, out)
	}()
	time.Sleep(300 * time.Millisecond)
	cert("operator", "eve", "--out", dir)
	if out := <-done; !strings.HasPrefix(out, "0") || !strings.Contains(out, "unseen") {
		t.Error(out)
	}
}

// Guards against two processes with the same run directory, and against files of a killed process that keep the next one
// from starting.
func TestRunDirectoryLock(t *testing.T) {
	r := newTestFleet(t, 1, "", "")
	second := selfCommand("serve", "--config", r.path("r0"), "--log", "error")
	out, err := second.CombinedOutput()
	var ee *exec.ExitError
	if !errors.As(err, &ee) || !strings.Contains(string(out), fmt.Sprintf("is held by process %d", r.pid("r0"))) {
		t.Errorf("%v: %s", err, out)
	}
	syscall.Kill(r.pid("r0"), syscall.SIGKILL)
	for code := 0; code == 0; {
		_, code = r.fleet("status")
	}
	r.start["r0"]()
	r.waitReady()
	if !served(<-r.startAnswer("r0", 3)) {
		t.Error("no answer was served after the router was killed")
	}
}

// Checks the integration with systemd: a listener is passed by socket activation, and readiness, reloads, stops and the main
// process after a restart are notified.
func TestSystemd(t *testing.T) {
	r := newTestFleet(t, 1, "", "")
	r.expect(0, "done", "stop", "r0")
	notifySocket, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Net: "unixgram", Name: filepath.Join(r.dir, "notify")})
	if err != nil {
		t.Fatal(err)
	}
	defer notifySocket.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0") // not the port of the settings: only the passed listener accepts here
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	file, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	r.addrs["r0"] = ln.Addr().String()
	cmd := exec.Command("/bin/sh", "-c", `LISTEN_PID=$$ exec "$0" serve --config "$1" --log error`, os.Args[0], r.path("r0"))
	cmd.Env = append(os.Environ(), runProgramEnv+"=1", "LISTEN_FDS=1", "LISTEN_FDNAMES=listen", "NOTIFY_SOCKET="+notifySocket.LocalAddr().String())
	cmd.ExtraFiles, cmd.Stderr = []*os.File{file}, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL); cmd.Wait() }()
	expectNotification := func(part string) {
		t.Helper()
		notifySocket.SetReadDeadline(time.Now().Add(10 * time.Second))
		for buf := make([]byte, 4096); ; {
			n, err := notifySocket.Read(buf)
			if err != nil {
				t.Fatalf("no notification %q: %v", part, err)
			}
			if strings.Contains(string(buf[:n]), part) {
				return
			}
		}
	}
	expectNotification(fmt.Sprintf("READY=1\nMAINPID=%d", cmd.Process.Pid))
	r.waitReady()
	if !served(<-r.startAnswer("r0", 3)) {
		t.Error("the passed listener does not serve")
	}
	syscall.Kill(cmd.Process.Pid, syscall.SIGHUP)
	expectNotification("RELOADING=1\nMONOTONIC_USEC=")
	expectNotification("READY=1")
	syscall.Kill(cmd.Process.Pid, syscall.SIGUSR2)
	expectNotification("READY=1\nMAINPID=")
	for end := time.Now().Add(5 * time.Second); r.status("r0")["predecessor"] != nil && time.Now().Before(end); {
	}
	if pid := r.pid("r0"); pid == cmd.Process.Pid || !served(<-r.startAnswer("r0", 3)) {
		t.Errorf("process %d after SIGUSR2, or it does not serve", pid)
	}
	// A second signal ends a drain at once.
	a := r.startAnswer("r0", 190)
	pid := r.pid("r0")
	syscall.Kill(pid, syscall.SIGTERM)
	expectNotification("STOPPING=1")
	syscall.Kill(pid, syscall.SIGTERM)
	if end := <-a; end == nil || end.Status == "completed" {
		t.Errorf("%+v after two signals", end)
	}
}
