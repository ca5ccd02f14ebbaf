package main

import (
	"bytes"
	"encoding/json"
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

// platformRouter is the program itself under the platform's environment.
type platformRouter struct {
	cmd  *exec.Cmd
	addr string
	file string
	log  bytes.Buffer
}

// startOnPlatform starts the program with a configuration that change may spoil.
func startOnPlatform(t *testing.T, f *standin.Fleet, change func(map[string]any)) *platformRouter {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &platformRouter{addr: ln.Addr().String(), file: filepath.Join(t.TempDir(), "config.json")}
	ln.Close()
	c := map[string]any{"name": "n0", "listen": p.addr, "discovery": f.Addr(), "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 256},
		"settings": json.RawMessage(standin.Settings), "known": f.Known()}
	if change != nil {
		change(c)
	}
	text, err := json.Marshal(c)
	if err == nil {
		err = os.WriteFile(p.file, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(os.Args[0], "platform")
	p.cmd.Dir = "/"
	p.cmd.Env = []string{beRouter + "=1", "EDGE_CONFIG=" + p.file, "EDGE_NAME=n0", "EDGE_LISTEN=" + p.addr, "EDGE_DISCOVERY=" + f.Addr()}
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

func (p *platformRouter) ask(id string) (int, string, error) {
	req, err := http.NewRequest("POST", "http://"+p.addr+"/v1/chat/completions", strings.NewReader(`{"stream":true}`))
	if err != nil {
		return 0, "", err
	}
	for name, value := range map[string]string{"X-Request-ID": id, "X-Priority-Class": "question", "X-Timeout-Ms": "4000",
		"X-Attrs": "prompt_len=100,max_out=10"} {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return res.StatusCode, string(text), err
}

// listens counts the sockets that the process listens on.
func (p *platformRouter) listens(t *testing.T) int {
	own := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	fds, err := os.ReadDir(dir)
	if err != nil {
		t.Skip("no /proc here")
	}
	for _, fd := range fds {
		if to, err := os.Readlink(filepath.Join(dir, fd.Name())); err == nil && strings.HasPrefix(to, "socket:[") {
			own[strings.Trim(to, "socket:[]")] = true
		}
	}
	n := 0
	for _, table := range []string{"tcp", "tcp6"} {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", p.cmd.Process.Pid, table))
		for line := range strings.SplitSeq(string(text), "\n") {
			if f := strings.Fields(line); len(f) > 9 && f[3] == "0A" && own[f[9]] {
				n++
			}
		}
	}
	return n
}

// The program serves on the platform, listens on its one address, takes a signal for a new configuration and
// ends well on the other.
func TestPlatformProgram(t *testing.T) {
	f := standin.New()
	defer f.Close()
	f.Add(standin.Prompt, nil)
	f.Add(standin.Answer, nil)
	p := startOnPlatform(t, f, nil)
	var status int
	var text string
	for from := time.Now(); time.Since(from) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		var err error
		if status, text, err = p.ask("a"); err == nil {
			break
		}
	}
	if want := standin.Event("a", 0) + standin.Event("a", 1) + standin.Event("a", 2); status != 200 || text != want {
		t.Fatalf("%d %q\n%s", status, text, p.log.String())
	}
	if n := p.listens(t); n != 1 {
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
	if left, breaks := f.Left(), f.Breaks(); len(left)+len(breaks) > 0 {
		t.Errorf("held %v, broken %v", left, breaks)
	}
}

// A configuration that can't be used ends the start with one line that names the field.
func TestPlatformBadConfiguration(t *testing.T) {
	f := standin.New()
	defer f.Close()
	p := startOnPlatform(t, f, func(c map[string]any) { c["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": -1} })
	var exit *exec.ExitError
	if err := p.cmd.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v", err)
	}
	if got := p.log.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "limits.sockets: -1 is under 64") {
		t.Errorf("said %q", got)
	}
}
