package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"gannethook/internal/control"
	"gannethook/internal/lifecycle"
)

// errEnded is returned for a command that has no result when the router ends.
var errEnded = errors.New("the router has ended")

// lifecycleRunner owns the lifecycle machine: one goroutine passes it the inputs
// and carries out its effects. All decisions are the machine's.
type lifecycleRunner struct {
	machine     *lifecycle.Machine
	started     time.Time
	inbox       chan func()
	openChanged chan struct{} // the number of open sessions and requests may have changed
	handler     effectHandler
	waiters     map[string][]chan lifecycle.Result // by command ID
	deadline    atomic.Int64                       // of the state, in ns since started; 0 if it has none
	ended       chan struct{}                      // closed by Exit
	exitCode    int
	quit        chan struct{} // closed by stop
	stopped     chan struct{} // closed when run returns
}

// effectHandler carries out the machine's effects. Its methods do not block; openCount
// returns the number of open sessions and requests.
type effectHandler interface {
	accept()
	stopAccepting()
	failOpenRequests()
	closeConnections()
	reloadSettings(id string)
	startSuccessor(e lifecycle.Spawn)
	abortSuccessor()
	stateChanged(s lifecycle.State)
	openCount() int
}

func newLifecycleRunner(limits lifecycle.Limits, handler effectHandler) *lifecycleRunner {
	return &lifecycleRunner{machine: lifecycle.New(limits, 0), started: time.Now(), inbox: make(chan func(), 64),
		openChanged: make(chan struct{}, 1), handler: handler, waiters: map[string][]chan lifecycle.Result{}, ended: make(chan struct{}), quit: make(chan struct{}),
		stopped: make(chan struct{})}
}

func (r *lifecycleRunner) now() time.Duration { return time.Since(r.started) }

// run processes inputs and timers until stop.
func (r *lifecycleRunner) run() {
	defer close(r.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait := time.Hour
		if at, ok := r.machine.Deadline(); ok {
			wait = max(at-r.now(), 0)
			r.deadline.Store(int64(at))
		} else {
			r.deadline.Store(0)
		}
		timer.Reset(wait)
		select {
		case f := <-r.inbox:
			f()
		case <-r.openChanged:
			r.apply(r.machine.SetOpen(r.now(), r.handler.openCount()))
		case <-timer.C:
			r.apply(r.machine.Tick(r.now()))
		case <-r.quit:
			for _, list := range r.waiters {
				for _, c := range list {
					close(c)
				}
			}
			return
		}
	}
}

// stop ends the goroutine; commands without a result get errEnded.
func (r *lifecycleRunner) stop() {
	close(r.quit)
	<-r.stopped
}

// notifyOpenChanged signals that the number of open sessions and requests may have changed. It never blocks.
func (r *lifecycleRunner) notifyOpenChanged() {
	select {
	case r.openChanged <- struct{}{}:
	default:
	}
}

// post runs f on the goroutine, unless that has ended.
func (r *lifecycleRunner) post(f func()) {
	select {
	case r.inbox <- f:
	case <-r.stopped:
	}
}

// apply carries out effects. It is called on the goroutine.
func (r *lifecycleRunner) apply(effects []lifecycle.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case lifecycle.Accept:
			r.handler.accept()
		case lifecycle.StopAccepting:
			r.handler.stopAccepting()
		case lifecycle.FailOpenRequests:
			r.handler.failOpenRequests()
		case lifecycle.CloseConnections:
			r.handler.closeConnections()
		case lifecycle.Load:
			r.handler.reloadSettings(e.ID)
		case lifecycle.Spawn:
			r.handler.startSuccessor(e)
		case lifecycle.Abort:
			r.handler.abortSuccessor()
		case lifecycle.Announce:
			r.handler.stateChanged(e.State)
		case lifecycle.Reply:
			for _, c := range r.waiters[e.Result.ID] {
				c <- e.Result
			}
			delete(r.waiters, e.Result.ID)
		case lifecycle.Exit:
			r.exitCode = e.Code
			close(r.ended)
		}
	}
}

// command passes a command to the machine and waits for its result. With recall set
// it only waits for the result of an earlier command and returns
// control.ErrCommandNotFound if there was none.
func (r *lifecycleRunner) command(ctx context.Context, c lifecycle.Command, recall bool) (lifecycle.Result, error) {
	result := make(chan lifecycle.Result, 1)
	r.post(func() {
		if _, known, pending := r.machine.Recall(c.ID); recall && !known && !pending {
			result <- lifecycle.Result{}
			return
		}
		r.waiters[c.ID] = append(r.waiters[c.ID], result)
		r.apply(r.machine.Command(r.now(), c))
	})
	select {
	case r, ok := <-result:
		switch {
		case !ok:
			return r, errEnded
		case r.ID == "":
			return r, control.ErrCommandNotFound
		}
		return r, nil
	case <-r.stopped:
		return lifecycle.Result{}, errEnded
	case <-ctx.Done():
		return lifecycle.Result{}, ctx.Err()
	}
}
