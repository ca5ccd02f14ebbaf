// Package stand has the stand-ins of the review's cases: the platform's discovery agents, workers and clients on loopback,
// and the router as a process of its own, started by the command of the deploy file. Nothing here uses the router's code.
package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run: its record, its clock and what has to be ended with it.
type Case struct {
	Trouble bool   // false with TROUBLE=0
	Root    string // the project's root
	Dir     string // temporary folder

	start  time.Time
	mu     sync.Mutex
	record *os.File
	breaks []string
	atEnd  []func()
}

// Start begins a case. ROOT, RECORD and CASE_TMP are set by run.sh.
func Start() *Case {
	runtime.LockOSThread() // a router gets SIGKILL once the thread that started it ends
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Root: os.Getenv("ROOT"), Dir: os.Getenv("CASE_TMP"), start: time.Now()}
	f, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c.record = f
	c.Note("trouble: %v", c.Trouble)
	return c
}

// Since returns the time since the case began.
func (c *Case) Since() time.Duration { return time.Since(c.start) }

// Sleep waits until a time of the case.
func (c *Case) Sleep(until time.Duration) { time.Sleep(time.Until(c.start.Add(until))) }

// Note writes a line to the record, with the time in seconds since the case began.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", c.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	c.Note("BROKEN: "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks = append(c.breaks, fmt.Sprintf(format, args...))
}

// AtEnd has a function called as the case ends.
func (c *Case) AtEnd(f func()) { c.atEnd = append(c.atEnd, f) }

// Fail ends the case: it could not run.
func (c *Case) Fail(format string, args ...any) {
	c.Note("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	c.end(NotRun)
}

// Finish ends the case with its verdict.
func (c *Case) Finish() {
	c.mu.Lock()
	breaks := c.breaks
	c.mu.Unlock()
	if len(breaks) == 0 {
		c.Note("the rule held")
		fmt.Println("the rule held")
		c.end(Held)
	}
	c.Note("the rule was broken %d times", len(breaks))
	fmt.Printf("the rule was broken %d times; first: %s\n", len(breaks), breaks[0])
	c.end(Broken)
}

func (c *Case) end(code int) {
	for i := len(c.atEnd) - 1; i >= 0; i-- {
		c.atEnd[i]()
	}
	os.Exit(code)
}

// Target is one worker in a list of the discovery protocol.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// List is an answer of the discovery protocol.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Agent is a discovery agent on the router's machine. It answers with what it has been sent.
type Agent struct {
	Name string
	c    *Case
	ln   net.Listener

	mu      sync.Mutex
	rev     int64
	targets []Target         // in the order of their listing
	revs    map[string]int64 // by uid: the version of its last change
	changed chan struct{}
	delay   time.Duration
	onTold  func(List) // called once a list is written
}

// NewAgent starts an agent that has a list at a version.
func (c *Case) NewAgent(name string, rev int64, targets []Target) *Agent {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fail("agent: %v", err)
	}
	a := &Agent{Name: name, c: c, ln: ln, rev: rev, targets: append([]Target(nil), targets...), revs: map[string]int64{}, changed: make(chan struct{})}
	for _, t := range targets {
		a.revs[t.UID] = rev
	}
	go http.Serve(ln, a)
	c.AtEnd(func() { ln.Close() })
	return a
}

// Addr returns where an agent listens.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// OnTold sets a function that is called with each list that the agent has written.
func (a *Agent) OnTold(f func(List)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onTold = f
}

// SetDelay makes each answer come later than it is due, by so much.
func (a *Agent) SetDelay(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = d
}

// Learn gives the agent a change: from now on it has it, at that version.
func (a *Agent) Learn(rev int64, uid, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range a.targets {
		if a.targets[i].UID == uid {
			a.targets[i].State = state
		}
	}
	a.rev, a.revs[uid] = rev, rev
	close(a.changed)
	a.changed = make(chan struct{})
	a.c.Note("%s has learned version %d: %s is %s", a.Name, rev, uid, state)
}

func (a *Agent) list(since int64) List {
	l := List{Rev: a.rev, All: since < 0, Targets: []Target{}}
	for _, t := range a.targets {
		if since < 0 && t.State != "DELETED" || since >= 0 && a.revs[t.UID] > since {
			l.Targets = append(l.Targets, t)
		}
	}
	return l
}

// Known returns the whole list, as in a configuration.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list(-1)
}

// ServeHTTP answers the whole list, or a watch: once there is something newer, or its time is over.
func (a *Agent) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	arrived := a.c.Since()
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	waitMS, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := since >= 0; waiting; {
		a.mu.Lock()
		newer, changed := a.rev > since, a.changed
		a.mu.Unlock()
		if newer {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			a.c.Note("%s: %s, begun at %.3f, was given up by the router", a.Name, req.URL.RequestURI(), arrived.Seconds())
			return
		}
	}
	a.mu.Lock()
	delay := a.delay
	a.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-req.Context().Done():
		a.c.Note("%s: %s, begun at %.3f, was given up by the router", a.Name, req.URL.RequestURI(), arrived.Seconds())
		return
	}
	a.mu.Lock()
	l, onTold := a.list(since), a.onTold
	a.mu.Unlock()
	text, _ := json.Marshal(l)
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := rw.Write(text); err != nil {
		return
	}
	rw.(http.Flusher).Flush()
	if req.Context().Err() == nil {
		a.c.Note("%s: %s, begun at %.3f, answered: version %d, all %v, %d targets", a.Name, req.URL.RequestURI(), arrived.Seconds(), l.Rev, l.All, len(l.Targets))
		if onTold != nil {
			onTold(l)
		}
	}
}

// Arrival is a call that reached a worker.
type Arrival struct {
	At        time.Duration
	Method    string
	ID        string
	TimeoutMS int
	Worker    string
}

// Workers are a fleet's readers and writers. States are kept for the whole fleet, so that any writer can fetch any state.
type Workers struct {
	ReadTime   time.Duration // of a prompt
	FirstToken time.Duration // from a write's arrival to its first event
	Events     int           // of a stream
	EventGap   time.Duration

	c       *Case
	mu      sync.Mutex
	states  map[string]bool
	arrived []Arrival
	onCall  func(Arrival)
	servers map[string]*http.Server // by uid
	Targets []Target
}

// NewWorkers starts so many readers and writers, with kinds named as the site has them.
func (c *Case) NewWorkers(readers, writers int, readModel, writeModel string, zones []string) *Workers {
	w := &Workers{c: c, ReadTime: 60 * time.Millisecond, FirstToken: 30 * time.Millisecond, Events: 4, EventGap: 20 * time.Millisecond, states: map[string]bool{}, servers: map[string]*http.Server{}}
	for i := range readers + writers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.Fail("worker: %v", err)
		}
		model, uid := readModel, fmt.Sprintf("s-r%d", i)
		if i >= readers {
			model, uid = writeModel, fmt.Sprintf("s-w%d", i-readers)
		}
		zone := i % len(zones)
		w.Targets = append(w.Targets, Target{UID: uid, Endpoint: ln.Addr().String(), Zone: zones[zone], Model: model, Cell: zone, State: "SERVING", Capacity: 1})
		reads := i < readers
		server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { w.serve(rw, req, uid, reads) })}
		w.servers[uid] = server
		go server.Serve(ln)
		c.AtEnd(func() { server.Close() })
	}
	return w
}

// OnCall sets a function that is called with each call as its last byte has arrived.
func (w *Workers) OnCall(f func(Arrival)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCall = f
}

// End ends a worker, as the end of its process does: its connections break and new ones are refused.
func (w *Workers) End(uid string) {
	w.c.Note("%s ends", uid)
	w.servers[uid].Close()
}

// Arrivals returns the calls that have arrived so far.
func (w *Workers) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrived...)
}

func (w *Workers) arrive(a Arrival) {
	w.mu.Lock()
	w.arrived = append(w.arrived, a)
	onCall := w.onCall
	w.mu.Unlock()
	w.c.Note("%s got %s of %s, told %d ms", a.Worker, a.Method, a.ID, a.TimeoutMS)
	if onCall != nil {
		onCall(a)
	}
}

func sleepOrGone(req *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		return false
	}
}

func (w *Workers) serve(rw http.ResponseWriter, req *http.Request, uid string, reads bool) {
	const holds = "/v1/holds/"
	a := Arrival{Worker: uid, At: w.c.Since()}
	if len(req.URL.Path) > len(holds) && req.URL.Path[:len(holds)] == holds {
		a.ID = req.URL.Path[len(holds):]
		if req.Method == "DELETE" {
			a.Method = "release"
			w.arrive(a)
			w.mu.Lock()
			delete(w.states, a.ID)
			w.mu.Unlock()
			rw.WriteHeader(http.StatusNoContent)
			return
		}
		a.Method = "place"
		w.arrive(a)
		return // held
	}
	if _, err := io.ReadAll(req.Body); err != nil {
		return
	}
	a.At, a.ID = w.c.Since(), req.Header.Get("X-Request-ID")
	a.TimeoutMS, _ = strconv.Atoi(req.Header.Get("X-Timeout-Ms"))
	if reads {
		a.Method = "read"
		w.arrive(a)
		if !sleepOrGone(req, w.ReadTime) {
			return
		}
		w.mu.Lock()
		w.states[a.ID] = true
		w.mu.Unlock()
		rw.WriteHeader(http.StatusAccepted)
		io.WriteString(rw, `{"cached_tokens":0}`)
		return
	}
	a.Method = "write"
	w.arrive(a)
	w.mu.Lock()
	state := w.states[a.ID]
	delete(w.states, a.ID)
	w.mu.Unlock()
	if !state {
		rw.Header().Set("X-Not-Processed", "1")
		rw.WriteHeader(http.StatusGone)
		return
	}
	if !sleepOrGone(req, w.FirstToken) {
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := range w.Events {
		if n > 0 && !sleepOrGone(req, w.EventGap) {
			return
		}
		fmt.Fprintf(rw, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s %d\"},\"finish_reason\":null}]}\n\n", a.ID, n)
		rw.(http.Flusher).Flush()
	}
	io.WriteString(rw, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5120,\"completion_tokens\":200,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n")
}

// Router is the project's router, as a process of its own.
type Router struct {
	Listen string
	c      *Case
	config string
	cmd    *exec.Cmd
	done   chan struct{}
	ended  string
}

// FreeAddr returns a loopback address whose port is free.
func (c *Case) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fail("port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// RunCommand returns the line `run` of the deploy file.
func (c *Case) RunCommand() string {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		c.Fail("deploy file: %v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		c.Fail("the deploy file has no run")
	}
	return string(m[1])
}

// NewRouter writes a router's configuration and starts it. It returns once GET /ready has answered 200.
func (c *Case) NewRouter(name string, a *Agent, settings string) *Router {
	r := &Router{Listen: c.FreeAddr(), c: c, config: filepath.Join(c.Dir, name+".json"), done: make(chan struct{})}
	r.Configure(a, settings)
	log, err := os.Create(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		c.Fail("log: %v", err)
	}
	tmp := filepath.Join(c.Dir, name+".tmp")
	os.Mkdir(tmp, 0o700)
	r.cmd = exec.Command("/bin/sh", "-c", c.RunCommand())
	r.cmd.Dir = c.Root
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "EDGE_NAME=" + name, "EDGE_LISTEN=" + r.Listen, "EDGE_DISCOVERY=" + a.Addr(), "EDGE_CONFIG=" + r.config}
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		c.Fail("router: %v", err)
	}
	go func() {
		r.ended = fmt.Sprint(r.cmd.Wait())
		close(r.done)
	}()
	c.AtEnd(func() {
		r.cmd.Process.Kill()
		<-r.done
		text, _ := os.ReadFile(log.Name())
		c.Note("log of %s:\n%s", name, text)
	})
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		if res, err := client.Get("http://" + r.Listen + "/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == 200 {
				c.Note("%s is ready at %s", name, r.Listen)
				return r
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Fail("%s was not ready in 15 s", name)
	return nil
}

// Configure replaces a router's configuration file; discovery is the agent.
func (r *Router) Configure(a *Agent, settings string) {
	text, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": r.Listen, "discovery": a.Addr(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": MemoryMB, "sockets": 1024}, "known": a.Known(), "settings": json.RawMessage(settings)}, "", " ")
	if err != nil {
		r.c.Fail("configuration: %v", err)
	}
	if err := os.WriteFile(r.config+".new", text, 0o600); err != nil {
		r.c.Fail("configuration: %v", err)
	}
	if err := os.Rename(r.config+".new", r.config); err != nil {
		r.c.Fail("configuration: %v", err)
	}
}

// Signal sends a signal to the router.
func (r *Router) Signal(s syscall.Signal) {
	r.c.Note("%v to the router", s)
	r.cmd.Process.Signal(s)
}

// Ended reports whether the router's process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Request returns a request of the platform's protocol.
func Request(id, class, session string, timeoutMS, promptTokens int) string {
	body := `{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"system","content":"Tips."},{"role":"user","content":"Why forty?"}]}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Route-Key: %s\r\n"+
		"X-Timeout-Ms: %d\r\nX-Attrs: prompt_len=%d,max_out=200\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		id, class, session, timeoutMS, promptTokens, len(body), body)
}

// MemoryMB is the memory limit in the configurations.
var MemoryMB = 192

// Pid returns the id of the router's process.
func (r *Router) Pid() int { return r.cmd.Process.Pid }

// Worked reports whether an attempt of a request has reached a worker.
func (c *Case) Worked(w *Workers, id string) bool {
	for _, a := range w.Arrivals() {
		if a.ID == id && a.Method != "release" {
			return true
		}
	}
	return false
}
