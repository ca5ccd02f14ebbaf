package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gannethook/internal/platform/standin"
)

// platformRouter is a process of this program in the environment of the platform.
type platformRouter struct {
	cmd  *exec.Cmd
	addr string
	file string       // the configuration
	log  bytes.Buffer // standard output and standard error
}

// startOnPlatform starts the program with the configuration of a fleet, which change may modify.
func startOnPlatform(t testing.TB, f *standin.Fleet, change func(map[string]any)) *platformRouter {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &platformRouter{addr: ln.Addr().String(), file: filepath.Join(t.TempDir(), "config.json")}
	ln.Close()
	if err := os.WriteFile(p.file, f.Config(p.addr, change), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(os.Args[0], "platform")
	p.cmd.Dir = "/"
	p.cmd.Env = []string{runProgramEnv + "=1", "EDGE_CONFIG=" + p.file, "EDGE_NAME=n0", "EDGE_LISTEN=" + p.addr, "EDGE_DISCOVERY=" + f.Addr()}
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		p.cmd.Wait()
	})
	return p
}

// post sends a request to a router or a worker and returns the status and body of the response.
func post(client *http.Client, addr, id string) (int, string, error) {
	req, err := http.NewRequest("POST", "http://"+addr+"/v1/chat/completions", strings.NewReader(`{"stream":true}`))
	if err != nil {
		return 0, "", err
	}
	for name, value := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "question", "X-Timeout-Ms": "4000",
		"X-Route-Key": id, "X-Attrs": "prompt_len=100,max_out=10"} {
		req.Header.Set(name, value)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

// ask sends a request to the router on a new connection.
func (p *platformRouter) ask(id string) (int, string, error) {
	return post(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, p.addr, id)
}

// firstAnswer sends a request repeatedly until the router responds, for at most 10 s.
func (p *platformRouter) firstAnswer(t testing.TB, id string) (status int, text string) {
	for started := time.Now(); time.Since(started) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		var err error
		if status, text, err = p.ask(id); err == nil {
			return status, text
		}
	}
	t.Fatalf("the router does not respond within 10 s\n%s", p.log.String())
	return
}

// listeningSockets returns the number of TCP sockets that the process listens on.
func (p *platformRouter) listeningSockets(t *testing.T) int {
	inodes := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	fds, err := os.ReadDir(dir)
	if err != nil {
		t.Skip("no /proc here")
	}
	for _, fd := range fds {
		if target, err := os.Readlink(filepath.Join(dir, fd.Name())); err == nil && strings.HasPrefix(target, "socket:[") {
			inodes[strings.Trim(target, "socket:[]")] = true
		}
	}
	n := 0
	for _, table := range []string{"tcp", "tcp6"} {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", p.cmd.Process.Pid, table))
		for line := range strings.SplitSeq(string(text), "\n") {
			if f := strings.Fields(line); len(f) > 9 && f[3] == "0A" && inodes[f[9]] {
				n++
			}
		}
	}
	return n
}

// Checks that the program serves on the platform and listens on its own address only, that SIGHUP with an invalid
// configuration does not affect it, and that SIGTERM answers accepted requests and releases what workers hold.
func TestPlatformProgram(t *testing.T) {
	f := standin.New()
	defer f.Close()
	f.Add(standin.Prompt, nil)
	f.Add(standin.Answer, nil)
	p := startOnPlatform(t, f, nil)
	status, text := p.firstAnswer(t, "a")
	if want := standin.Event("a", 0) + standin.Event("a", 1) + standin.Event("a", 2); status != 200 || text != want {
		t.Fatalf("%d %q\n%s", status, text, p.log.String())
	}
	if n := p.listeningSockets(t); n != 1 {
		t.Errorf("listens on %d sockets", n)
	}
	if err := os.WriteFile(p.file, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	if status, _, err := p.ask("b"); status != 200 || err != nil {
		t.Errorf("after SIGHUP with a bad file: %d, %v", status, err)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	if status, _, err := p.ask("c"); status != 200 || err != nil {
		t.Errorf("right after SIGTERM: %d, %v", status, err)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("ended with %v\n%s", err, p.log.String())
	}
	if left, breaks := f.Held(), f.Violations(); len(left)+len(breaks) > 0 {
		t.Errorf("held %v, broken %v", left, breaks)
	}
}

// Guards against a SIGTERM that is lost after many SIGHUPs: reloads of a large file are still pending when it arrives.
func TestStopAfterManyReloads(t *testing.T) {
	const reloads = 40
	f := standin.New()
	defer f.Close()
	f.Add(standin.Prompt, nil)
	f.Add(standin.Answer, nil)
	p := startOnPlatform(t, f, func(c map[string]any) {
		c["unused"] = strings.Repeat("x", 16<<20) // a large file, which takes long to read
	})
	if status, text := p.firstAnswer(t, "a"); status != 200 {
		t.Fatalf("%d %q\n%s", status, text, p.log.String())
	}
	for range reloads {
		p.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- p.cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(30 * time.Second):
		t.Error("the router does not stop within 30 s of SIGTERM")
		p.cmd.Process.Kill()
		<-ended
	}
}

// Checks that an invalid configuration ends the start with exit status 1 and one line that names the field.
func TestPlatformBadConfiguration(t *testing.T) {
	f := standin.New()
	defer f.Close()
	p := startOnPlatform(t, f, func(c map[string]any) { c["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": -1} })
	var exit *exec.ExitError
	if err := p.cmd.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
	if got := p.log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "limits.sockets: -1 is under 64") {
		t.Errorf("output %q", got)
	}
}

// BenchmarkPlatform measures the time of a read and a write sent to the workers directly and of a request through the router
// process, alternately, and the CPU time of that process per request.
func BenchmarkPlatform(b *testing.B) {
	f := standin.New()
	defer f.Close()
	reader, writer := f.Add(standin.Prompt, nil), f.Add(standin.Answer, nil)
	p := startOnPlatform(b, f, nil)
	p.firstAnswer(b, "up")
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	timed := func(addr, id string) time.Duration {
		started := time.Now()
		if _, _, err := post(client, addr, id); err != nil {
			b.Fatal(err)
		}
		return time.Since(started)
	}
	var direct, routed time.Duration
	for i := range b.N {
		id := fmt.Sprint("s", i)
		direct += timed(reader.Addr(), id) + timed(writer.Addr(), id)
		routed += timed(p.addr, fmt.Sprint("t", i))
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Wait()
	used := p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
	for unit, v := range map[string]time.Duration{"us-straight": direct, "us-through": routed, "us-cpu": used} {
		b.ReportMetric(float64(v.Microseconds())/float64(b.N), unit)
	}
	b.ReportMetric(float64(routed)/float64(direct), "times")
}

// BenchmarkMemoryOverTime measures the memory and open descriptors of the router after each quarter of the requests, to show
// leaks. Each request has a new client and id; one client in ten keeps its connection; workers are replaced every 500
// requests.
func BenchmarkMemoryOverTime(b *testing.B) {
	f := standin.New()
	defer f.Close()
	var old [2]*standin.Worker
	replace := func() {
		for i, kind := range []string{standin.Prompt, standin.Answer} {
			w := f.Add(kind, nil)
			if old[i] != nil {
				f.Set(old[i], "DELETED")
			}
			old[i] = w
		}
	}
	replace()
	p := startOnPlatform(b, f, nil)
	p.firstAnswer(b, "up")
	served := 0
	for i := range b.N {
		if i%500 == 499 {
			replace()
		}
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%10 != 0}}
		defer client.CloseIdleConnections()
		if status, _, err := post(client, p.addr, fmt.Sprint("r", i)); err == nil && status == 200 {
			served++
		}
		if quarter := (i + 1) * 4 / b.N; quarter > i*4/b.N {
			fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
			b.ReportMetric(float64(residentKiB(p.cmd.Process.Pid))/1024, fmt.Sprintf("MB-q%d", quarter))
			b.ReportMetric(float64(len(fds)), fmt.Sprintf("fds-q%d", quarter))
		}
	}
	b.ReportMetric(float64(served)/float64(b.N), "served")
}
