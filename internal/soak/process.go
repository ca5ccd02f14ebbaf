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

// process is one router's process, life after life.
type process struct {
	p       *platform
	router  int
	listen  string
	program string
	env     []string
	log     string

	cycle sync.Mutex // held from the order to end to the next start

	mu      sync.Mutex
	cmd     *exec.Cmd
	life    *routerLife
	done    chan struct{} // closed once the present process has ended
	ordered bool          // its end was asked for
}

func (r *process) current() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil {
		return 0
	}
	return r.life.life
}

// start starts the next life.
func (r *process) start() error {
	if err := r.p.write(r.router, r.listen, false); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	number := 0
	if r.life != nil {
		number = r.life.life + 1
	}
	log, err := os.Create(filepath.Join(r.p.dir, fmt.Sprintf("n%d.%d.log", r.router, number)))
	if err != nil {
		return err
	}
	r.log = log.Name()
	cmd := exec.Command(r.program, "platform")
	cmd.Env = append([]string{"EDGE_CONFIG=" + r.p.file(r.router), fmt.Sprintf("EDGE_NAME=n%d", r.router), "EDGE_LISTEN=" + r.listen,
		"EDGE_DISCOVERY=" + r.p.agents[r.router].addr(), "GANNETHOOK_LOG=debug"}, r.env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	life := &routerLife{router: r.router, life: number, startedAt: r.p.ledger.Now()}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	done := make(chan struct{})
	r.cmd, r.life, r.done, r.ordered = cmd, life, done, false
	r.p.ledger.mu.Lock()
	r.p.ledger.lives = append(r.p.ledger.lives, life)
	r.p.ledger.mu.Unlock()
	go r.p.agentHas(r.router)
	go func() {
		err := cmd.Wait()
		log.Close()
		r.ended(life, err, log.Name())
		close(done)
	}()
	go r.awaitReady(life, done)
	return nil
}

// ended notes how a process ended; one that nobody asked to end has crashed.
func (r *process) ended(life *routerLife, err error, log string) {
	text, _ := os.ReadFile(log)
	r.mu.Lock()
	ordered := r.ordered
	r.mu.Unlock()
	l := r.p.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	life.endedAt = l.Now()
	early := life.termAt != 0 && life.readyAt == 0 // told to end before it was up: it has taken nothing
	if !ordered || err != nil && life.killAt == 0 && !early {
		life.crashed = fmt.Sprintf("ended with %v: %s", err, tail(text))
	}
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, `"violation":true`) {
			life.violations = append(life.violations, strings.TrimSpace(line))
		}
	}
}

// tail is the end of a log, without the lines of requests.
func tail(text []byte) string {
	if i := bytes.LastIndex(text, []byte("panic:")); i >= 0 {
		return string(text[i:min(i+600, len(text))])
	}
	return string(text[max(0, len(text)-300):])
}

func (r *process) awaitReady(life *routerLife, done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		res, err := client.Get("http://" + r.listen + "/ready")
		if err == nil {
			res.Body.Close()
			if res.StatusCode == 200 {
				r.p.ledger.mu.Lock()
				life.readyAt = r.p.ledger.Now()
				r.p.ledger.mu.Unlock()
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

// ready tells whether clients are sent to the router, and which life it has.
func (r *process) ready() (life int, ok bool) {
	r.mu.Lock()
	now := r.life
	r.mu.Unlock()
	if now == nil {
		return 0, false
	}
	r.p.ledger.mu.Lock()
	defer r.p.ledger.mu.Unlock()
	return now.life, now.readyAt != 0 && now.endedAt == 0
}

func (r *process) signal(s os.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		r.cmd.Process.Signal(s)
	}
}

// reload sends SIGHUP; as on the platform, not before the process is ready.
func (r *process) reload() {
	if _, ok := r.ready(); ok {
		r.signal(syscall.SIGHUP)
	}
}

// again ends the process and starts the next life.
func (r *process) again(end func()) {
	r.cycle.Lock()
	defer r.cycle.Unlock()
	end()
	if err := r.start(); err != nil {
		r.p.ledger.Break("start", err.Error())
	}
}

// finish stops the process for good.
func (r *process) finish() {
	r.cycle.Lock()
	defer r.cycle.Unlock()
	r.stop()
}

// order notes that the present process is told to end, and returns its life and what
// closes once it has ended.
func (r *process) order() (life *routerLife, done <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ordered = true
	return r.life, r.done
}

// stop sends SIGTERM, and SIGKILL when the grace is over.
func (r *process) stop() {
	life, done := r.order()
	r.noteSignal(&life.termAt)
	r.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(r.p.terms.stopGrace()):
		r.noteSignal(&life.killAt)
		r.signal(syscall.SIGKILL)
		<-done
	}
}

// kill sends SIGKILL.
func (r *process) kill() {
	life, done := r.order()
	r.noteSignal(&life.killAt)
	r.signal(syscall.SIGKILL)
	<-done
}

// noteSignal notes that a signal is about to be sent.
func (r *process) noteSignal(at *time.Duration) {
	l := r.p.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	*at = l.Now()
}
