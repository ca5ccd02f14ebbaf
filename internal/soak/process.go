package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process runs one router, one process after another.
type process struct {
	platform *platform
	router   int
	listen   string
	program  string
	env      []string
	logPath  string

	restartMu sync.Mutex // held from the end of one process until the start of the next

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation *routerIncarnation
	done        chan struct{} // closed once the current process has ended
	endExpected bool          // the current process was told to end
}

// currentNumber returns the number of the current process, counted from 0.
func (r *process) currentNumber() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.incarnation == nil {
		return 0
	}
	return r.incarnation.number
}

// start starts the next process.
func (r *process) start() error {
	if err := r.platform.writeConfig(r.router, r.listen, false); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	number := 0
	if r.incarnation != nil {
		number = r.incarnation.number + 1
	}
	log, err := os.Create(filepath.Join(r.platform.dir, fmt.Sprintf("n%d.%d.log", r.router, number)))
	if err != nil {
		return err
	}
	r.logPath = log.Name()
	cmd := exec.Command(r.program, "platform")
	cmd.Env = append([]string{"EDGE_CONFIG=" + r.platform.configPath(r.router), fmt.Sprintf("EDGE_NAME=n%d", r.router), "EDGE_LISTEN=" + r.listen,
		"EDGE_DISCOVERY=" + r.platform.agents[r.router].addr(), "GANNETHOOK_LOG=debug"}, r.env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	inc := &routerIncarnation{router: r.router, number: number, startedAt: r.platform.history.Now()}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	done := make(chan struct{})
	r.cmd, r.incarnation, r.done, r.endExpected = cmd, inc, done, false
	r.platform.history.mu.Lock()
	r.platform.history.routers = append(r.platform.history.routers, inc)
	r.platform.history.mu.Unlock()
	go r.platform.agentSynced(r.router)
	go func() {
		err := cmd.Wait()
		log.Close()
		r.recordEnd(inc, err, log.Name())
		close(done)
	}()
	go r.awaitReady(inc, done)
	return nil
}

// recordEnd records how a process ended, and the violations in its log. A process has crashed if it was not told to end, or
// if it failed without SIGKILL, unless SIGTERM came before it was ready.
func (r *process) recordEnd(inc *routerIncarnation, err error, logPath string) {
	text, _ := os.ReadFile(logPath)
	r.mu.Lock()
	expected := r.endExpected
	r.mu.Unlock()
	h := r.platform.history
	h.mu.Lock()
	defer h.mu.Unlock()
	inc.endedAt = h.Now()
	endedEarly := inc.termAt != 0 && inc.readyAt == 0 // SIGTERM before it was ready: it has accepted no requests
	if !expected || err != nil && inc.killAt == 0 && !endedEarly {
		inc.crash = fmt.Sprintf("ended with %v: %s", err, logTail(text))
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `"violation":true`) {
			inc.loggedViolations = append(inc.loggedViolations, strings.TrimSpace(line))
		}
	}
}

// logTail returns 600 bytes of a log from its last panic, or the last 300 bytes.
func logTail(text []byte) string {
	if i := bytes.LastIndex(text, []byte("panic:")); i >= 0 {
		return string(text[i:min(i+600, len(text))])
	}
	return string(text[max(0, len(text)-300):])
}

// awaitReady polls a process until it is ready, and records when.
func (r *process) awaitReady(inc *routerIncarnation, done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		res, err := client.Get("http://" + r.listen + "/ready")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == 200 {
				r.platform.history.mu.Lock()
				inc.readyAt = r.platform.history.Now()
				r.platform.history.mu.Unlock()
				return
			}
		}
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// ready reports whether the router accepts clients, and the number of its current process.
func (r *process) ready() (number int, ok bool) {
	r.mu.Lock()
	inc := r.incarnation
	r.mu.Unlock()
	if inc == nil {
		return 0, false
	}
	r.platform.history.mu.Lock()
	defer r.platform.history.mu.Unlock()
	return inc.number, inc.readyAt != 0 && inc.endedAt == 0
}

func (r *process) signal(s os.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		r.cmd.Process.Signal(s)
	}
}

// reload sends SIGHUP, but, like the platform, not before the process is ready.
func (r *process) reload() {
	if _, ok := r.ready(); ok {
		r.signal(syscall.SIGHUP)
	}
}

// restart ends the process by end and starts the next one.
func (r *process) restart(end func()) {
	r.restartMu.Lock()
	defer r.restartMu.Unlock()
	end()
	if err := r.start(); err != nil {
		r.platform.history.RecordViolation("start", err.Error())
	}
}

// finish stops the process without starting another.
func (r *process) finish() {
	r.restartMu.Lock()
	defer r.restartMu.Unlock()
	r.stop()
}

// expectEnd records that the current process is about to be told to end. done closes once it has ended.
func (r *process) expectEnd() (inc *routerIncarnation, done <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endExpected = true
	return r.incarnation, r.done
}

// stop sends SIGTERM, and SIGKILL after the grace period. It returns once the process has ended.
func (r *process) stop() {
	inc, done := r.expectEnd()
	r.recordSignal(&inc.termAt)
	r.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(r.platform.settings.stopGrace()):
		r.recordSignal(&inc.killAt)
		r.signal(syscall.SIGKILL)
		<-done
	}
}

// kill sends SIGKILL and returns once the process has ended.
func (r *process) kill() {
	inc, done := r.expectEnd()
	r.recordSignal(&inc.killAt)
	r.signal(syscall.SIGKILL)
	<-done
}

// recordSignal records in at that a signal is about to be sent.
func (r *process) recordSignal(at *time.Duration) {
	h := r.platform.history
	h.mu.Lock()
	defer h.mu.Unlock()
	*at = h.Now()
}
