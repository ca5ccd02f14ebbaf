package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"gannethook/internal/control"
	"gannethook/internal/lifecycle"
)

// errEnded tells a commander that the router ended before it could answer.
var errEnded = errors.New("the router has ended")

// keeper owns a router's life: one goroutine hands the machine what happens
// and carries out what it wants. Nothing here decides.
type keeper struct {
	m     *lifecycle.Machine
	start time.Time
	inbox chan func()
	nudge chan struct{} // something may have closed
	hands hands
	wait  map[string][]chan lifecycle.Result
	due   atomic.Int64  // when the state's deadline is; 0: it has none
	ended chan struct{} // closed by Exit
	code  int
	quit  chan struct{}
	over  chan struct{}
}

// hands are what the machine's effects move.
type hands interface {
	accept()
	turn()
	giveUp()
	cut()
	load(id string)
	spawn(e lifecycle.Spawn)
	abort()
	announce(s lifecycle.State)
	open() int
}

func newKeeper(lim lifecycle.Limits, h hands) *keeper {
	return &keeper{m: lifecycle.New(lim, 0), start: time.Now(), inbox: make(chan func(), 64), nudge: make(chan struct{}, 1),
		hands: h, wait: map[string][]chan lifecycle.Result{}, ended: make(chan struct{}), quit: make(chan struct{}),
		over: make(chan struct{})}
}

func (k *keeper) now() time.Duration { return time.Since(k.start) }

// run keeps the life until stop.
func (k *keeper) run() {
	defer close(k.over)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		wait := time.Hour
		if at, ok := k.m.Deadline(); ok {
			wait = max(at-k.now(), 0)
			k.due.Store(int64(at))
		} else {
			k.due.Store(0)
		}
		alarm.Reset(wait)
		select {
		case f := <-k.inbox:
			f()
		case <-k.nudge:
			k.do(k.m.Open(k.now(), k.hands.open()))
		case <-alarm.C:
			k.do(k.m.Tick(k.now()))
		case <-k.quit:
			for _, list := range k.wait {
				for _, c := range list {
					close(c)
				}
			}
			return
		}
	}
}

// stop ends the goroutine; commands without an answer learn that it ended.
func (k *keeper) stop() {
	close(k.quit)
	<-k.over
}

// changed tells that something may have closed. It never waits.
func (k *keeper) changed() {
	select {
	case k.nudge <- struct{}{}:
	default:
	}
}

func (k *keeper) post(f func()) {
	select {
	case k.inbox <- f:
	case <-k.over:
	}
}

func (k *keeper) do(list []lifecycle.Effect) {
	for _, e := range list {
		switch e := e.(type) {
		case lifecycle.Accept:
			k.hands.accept()
		case lifecycle.StopAccepting:
			k.hands.turn()
		case lifecycle.FailOpenRequests:
			k.hands.giveUp()
		case lifecycle.CloseConnections:
			k.hands.cut()
		case lifecycle.Load:
			k.hands.load(e.ID)
		case lifecycle.Spawn:
			k.hands.spawn(e)
		case lifecycle.Abort:
			k.hands.abort()
		case lifecycle.Announce:
			k.hands.announce(e.State)
		case lifecycle.Reply:
			for _, c := range k.wait[e.Result.ID] {
				c <- e.Result
			}
			delete(k.wait, e.Result.ID)
		case lifecycle.Exit:
			k.code = e.Code
			close(k.ended)
		}
	}
}

// command gives a command and waits for its result. recall only waits for one
// that was given before; control.ErrNotKnown tells that there was none.
func (k *keeper) command(ctx context.Context, c lifecycle.Command, recall bool) (lifecycle.Result, error) {
	got := make(chan lifecycle.Result, 1)
	k.post(func() {
		if _, known, pending := k.m.Recall(c.ID); recall && !known && !pending {
			got <- lifecycle.Result{}
			return
		}
		k.wait[c.ID] = append(k.wait[c.ID], got)
		k.do(k.m.Command(k.now(), c))
	})
	select {
	case r, ok := <-got:
		switch {
		case !ok:
			return r, errEnded
		case r.ID == "":
			return r, control.ErrNotKnown
		}
		return r, nil
	case <-k.over:
		return lifecycle.Result{}, errEnded
	case <-ctx.Done():
		return lifecycle.Result{}, ctx.Err()
	}
}
