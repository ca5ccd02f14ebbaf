// Command stand2 holds the stand-ins of the cases in review/6 to review/10: discovery, workers and clients of the users'
// platform on loopback, and the code that starts routers as processes by the command of the deploy file.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{file: f, start: time.Now()}, err
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// worker is one listed server.
type worker struct {
	uid, model, state string
	rev, boot         int64
	ln                net.Listener
	handler           func(w *worker, c *call)
	srv               *http.Server
}

// call is one request as a worker got it, once its last byte has arrived.
type call struct {
	id, method, path string
	body             []byte
	header           http.Header
	at               time.Time
	rw               http.ResponseWriter
	req              *http.Request
}

// fleet is the platform: discovery and workers.
type fleet struct {
	rec *record

	mu      sync.Mutex
	changed chan struct{}
	rev     int64
	workers []*worker
	agent   net.Listener
	sent    map[string]int // attempts by the id of their request
}

func newFleet(rec *record) (*fleet, error) {
	f := &fleet{rec: rec, changed: make(chan struct{}), rev: 1, sent: map[string]int{}}
	var err error
	f.agent, err = f.serveAgent()
	return f, err
}

// serveAgent starts a discovery agent with the fleet's list.
func (f *fleet) serveAgent() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		go http.Serve(ln, http.HandlerFunc(f.serveList))
	}
	return ln, err
}

// add starts a worker and lists it.
func (f *fleet) add(model string, boot int64, handler func(*worker, *call)) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	w := &worker{uid: fmt.Sprintf("s-%d", len(f.workers)), model: model, ln: ln, handler: handler, boot: boot}
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	w.srv = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { f.serveWorker(w, rw, req) })}
	go w.srv.Serve(ln)
	f.set(w, "SERVING")
	return w, nil
}

// set changes a worker's state in the list.
func (f *fleet) set(w *worker, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rev++
	w.state, w.rev = state, f.rev
	close(f.changed)
	f.changed = make(chan struct{})
	f.rec.note("list %d: %s (%s) is %s", f.rev, w.uid, w.model, state)
}

func (f *fleet) list(since int64) map[string]any {
	targets := []map[string]any{}
	for _, w := range f.workers {
		if since < 0 && w.state == "DELETED" || w.rev <= since {
			continue
		}
		targets = append(targets, map[string]any{"uid": w.uid, "endpoint": w.ln.Addr().String(), "az": "north",
			"model": w.model, "pod_group": 0, "state": w.state, "capacity_hint": 1.0, "boot_ms": w.boot})
	}
	return map[string]any{"rev": f.rev, "all": since < 0, "targets": targets}
}

func (f *fleet) serveList(rw http.ResponseWriter, req *http.Request) {
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	ms, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for expired := false; ; {
		f.mu.Lock()
		list, changed, news := f.list(since), f.changed, f.rev > since
		f.mu.Unlock()
		if expired || news {
			json.NewEncoder(rw).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
			end = nil
		case <-req.Context().Done():
			return
		}
	}
}

func (f *fleet) serveWorker(w *worker, rw http.ResponseWriter, req *http.Request) {
	body, err := readBody(req)
	if err != nil {
		f.rec.note("%s: a request that did not come whole: %v", w.uid, err)
		return
	}
	c := &call{id: req.Header.Get("X-Request-ID"), method: req.Method, path: req.URL.Path, body: body, header: req.Header, at: time.Now(), rw: rw, req: req}
	f.rec.note("%s %s got %s %s id %s told %s ms", w.uid, w.model, c.method, c.path, c.id, req.Header.Get("X-Timeout-Ms"))
	if c.path == chatPath {
		f.mu.Lock()
		f.sent[c.id]++
		f.mu.Unlock()
	}
	w.handler(w, c)
}

const chatPath = "/v1/chat/completions"

// attempts returns how many attempts of a request have arrived at workers.
func (f *fleet) attempts(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[id]
}

func readBody(req *http.Request) ([]byte, error) {
	var b []byte
	buf := make([]byte, 32<<10)
	for {
		n, err := req.Body.Read(buf)
		b = append(b, buf[:n]...)
		if err != nil {
			if err.Error() == "EOF" {
				return b, nil
			}
			return b, err
		}
	}
}

// settings returns the settings object of a small deployment; edit may change it.
func settings(edit func(map[string]any)) map[string]any {
	s := map[string]any{
		"ceilings": map[string]any{"cancel": true, "connIdleMs": 30000, "dialTimeoutMs": 250, "maxAttempts": 4, "maxRetryAfterMs": 500, "retryAfter": true},
		"classes": []any{
			map[string]any{"aimMs": 1500, "effect": "pure", "importance": 3, "name": "payout-question", "streamed": true, "deadlineMs": 6000},
			map[string]any{"aimMs": 2500, "effect": "side_effect", "importance": 2, "name": "pool-adjustment", "streamed": true, "deadlineMs": 12000}},
		"discovery":  "automatic",
		"domain":     map[string]any{"holdsAllowed": true, "kindRole": []string{"read", "write"}, "pinLimitMs": 500, "resume": true, "tokensByKind": []int{200000, 200000}},
		"guarantees": map[string]any{"coldFrom": 0.3, "overloadFactor": 3, "warmAfterMs": 10000},
		"kinds":      []string{"prompt", "answer"}, "peersTotal": 1, "quantumMs": 4,
		"report": map[string]any{"fields": []string{}}, "tenants": []any{}, "zones": []string{"north"}}
	if edit != nil {
		edit(s)
	}
	return s
}

// router is a router process.
type router struct {
	dir, listen string
	cmd         *exec.Cmd
	done        chan struct{}
}

// runCommand returns the command that the deploy file names as run.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml names no run")
	}
	return string(m[1]), nil
}

// freePort returns a free loopback address.
func freePort() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// writeConfig writes the router's configuration file as a whole.
func (r *router) writeConfig(f *fleet, discovery string, set map[string]any) error {
	f.mu.Lock()
	known := f.list(-1)
	f.mu.Unlock()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": r.listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": set})
	if err != nil {
		return err
	}
	tmp := filepath.Join(r.dir, "config.tmp")
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, filepath.Join(r.dir, "config.json"))
}

// startRouter starts a router and waits until it is ready.
func startRouter(f *fleet, dir string, set map[string]any) (*router, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	r := &router{dir: dir, done: make(chan struct{})}
	if r.listen, err = freePort(); err != nil {
		return nil, err
	}
	if err := r.writeConfig(f, f.agent.Addr().String(), set); err != nil {
		return nil, err
	}
	return r, r.start(f, run)
}

func (r *router) start(f *fleet, run string) error {
	log, err := os.OpenFile(filepath.Join(r.dir, "router.log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	r.cmd = exec.Command("/bin/sh", "-c", run)
	r.cmd.Env = append(os.Environ(), "EDGE_NAME=n0", "EDGE_LISTEN="+r.listen, "EDGE_DISCOVERY="+f.agent.Addr().String(),
		"EDGE_CONFIG="+filepath.Join(r.dir, "config.json"), "TMPDIR="+r.dir)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	routers.Lock()
	err = r.cmd.Start()
	if err == nil {
		routers.list = append(routers.list, r.cmd.Process)
	}
	routers.Unlock()
	if err != nil {
		return err
	}
	f.rec.note("router: pid %d listens at %s", r.cmd.Process.Pid, r.listen)
	go func() {
		err := r.cmd.Wait()
		f.rec.note("router: ended: %v", err)
		close(r.done)
	}()
	for range 400 {
		if ready(r.listen) {
			f.rec.note("router: ready")
			return nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	r.kill()
	return fmt.Errorf("the router is not ready")
}

func ready(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(nc, "GET /ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
	line, _ := bufio.NewReader(nc).ReadString('\n')
	return strings.Contains(line, " 200 ")
}

func (r *router) signal(s syscall.Signal) { r.cmd.Process.Signal(s) }

// kill ends the process and waits for it.
func (r *router) kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	r.cmd.Process.Kill()
	<-r.done
}

// requestText returns a client's request.
func requestText(id, class, session string, timeoutMS, promptTokens int, content string) string {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"%s"}]}`, content)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Route-Key: %s\r\n"+
		"X-Timeout-Ms: %d\r\nX-Attrs: prompt_len=%d,max_out=300\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, class, session, timeoutMS, promptTokens, len(body), body)
}
