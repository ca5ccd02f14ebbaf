package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// workerEntry is one worker in a list of the discovery protocol.
type workerEntry struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// workerList is an answer of the discovery protocol: all workers, or those changed since a revision.
type workerList struct {
	Rev     int64         `json:"rev"`
	All     bool          `json:"all"`
	Targets []workerEntry `json:"targets"`
}

// agent is the discovery agent of one router. Its address changes with relocate.
type agent struct {
	platform *platform
	router   int

	mu      sync.Mutex
	servers []*http.Server
	lns     []*trackedListener
	current string

	mute, slow atomic.Bool // faults AgentMute and AgentSlow
}

// trackedListener keeps its connections, so that they can be reset.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *trackedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, nc)
		l.mu.Unlock()
	}
	return nc, err
}

func (l *trackedListener) reset() {
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for _, nc := range conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

// relocate makes the agent listen at another address. The old address refuses connections at once, and its open ones are
// closed after 1.5 s.
func (a *agent) relocate() error {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ln := &trackedListener{Listener: inner}
	server := &http.Server{Handler: a}
	a.mu.Lock()
	old, oldLn := a.servers, a.lns
	a.servers, a.lns, a.current = []*http.Server{server}, []*trackedListener{ln}, inner.Addr().String()
	a.mu.Unlock()
	go server.Serve(ln)
	for i := range old {
		oldLn[i].Listener.Close()
		time.AfterFunc(1500*time.Millisecond, func() { old[i].Close() })
	}
	return nil
}

// setFault starts or ends a fault, independently of others that are active.
func (a *agent) setFault(kind FaultKind, on bool) {
	switch kind {
	case AgentMute:
		a.mute.Store(on)
	case AgentSlow:
		a.slow.Store(on)
	}
}

func (a *agent) addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

func (a *agent) reset() {
	a.mu.Lock()
	lns := a.lns
	a.mu.Unlock()
	for _, ln := range lns {
		ln.reset()
	}
}

func (a *agent) close() {
	a.mu.Lock()
	servers := a.servers
	a.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// ServeHTTP answers a watch: once the list is newer than the client's revision, or its timeout has passed.
func (a *agent) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	since, err := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = -1
	}
	waitMS, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms"))
	until := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for a.mute.Load() || since >= a.platform.revision() && time.Now().Before(until) {
		if !sleepOrDone(req, 5*time.Millisecond) {
			return
		}
	}
	if a.slow.Load() && !sleepOrDone(req, 300*time.Millisecond) {
		return
	}
	update := a.platform.list(a.router, since)
	text, _ := json.Marshal(update)
	if half := len(text) / 2; a.slow.Load() {
		rw.Write(text[:half])
		rw.(http.Flusher).Flush()
		if !sleepOrDone(req, 200*time.Millisecond) {
			return
		}
		rw.Write(text[half:])
	} else {
		rw.Write(text)
	}
	rw.(http.Flusher).Flush()
	if req.Context().Err() == nil && !a.mute.Load() {
		a.platform.recordDelivery(a.router, update)
	}
}
