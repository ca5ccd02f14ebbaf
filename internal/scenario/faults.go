package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gannethook/internal/record"
	"gannethook/internal/standin"
)

// sleep waits; it tells whether the whole time passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// troubles plays all faults; it returns when each has ended.
func (f *fleet) troubles(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range f.s.Faults {
		wg.Go(func() {
			t := &f.s.Faults[i]
			if !sleep(ctx, time.Until(f.start.Add(t.From))) {
				return
			}
			f.log.Add(record.Event{Who: "fleet", Kind: record.Fault, Note: t.Kind + " begins", N: t.Size})
			f.play(ctx, i, t)
			f.log.Add(record.Event{Who: "fleet", Kind: record.Fault, Note: t.Kind + " ends"})
		})
	}
	wg.Wait()
}

// struck are the engines that a fault strikes.
func (f *fleet) struck(i int, t *Fault) []*standin.Engine {
	all := f.engines()
	switch t.On {
	case "readers":
		all = f.readers
	case "writers":
		all = f.writers
	}
	var list []*standin.Engine
	for _, n := range f.s.chosen(i, len(all)) {
		list = append(list, all[n])
	}
	return list
}

func (f *fleet) play(ctx context.Context, i int, t *Fault) {
	switch t.Kind {
	case "crash":
		f.each(f.struck(i, t), func(e *standin.Engine) { f.crash(ctx, e, t.For) })
	case "vanish":
		f.each(f.struck(i, t), func(e *standin.Engine) { f.vanish(ctx, e, t.For) })
	case "deploy":
		f.deploy(ctx, f.struck(i, t), t.For)
	case "router-crash":
		f.crashRouters(ctx, f.s.chosen(i, len(f.routers)), t.For)
	case "router-roll":
		f.rollRouters(ctx, f.s.chosen(i, len(f.routers)), t.For)
	case "fleet-restart", "fleet-drain", "kill-restart", "kill-drain", "hang-drain":
		f.operate(ctx, t.Kind, f.s.chosen(i, len(f.routers)), t.For)
	case "ageing":
		f.ageing(ctx, f.struck(i, t), t)
	case "slow-handshakes":
		f.slowHandshakes(ctx, f.struck(i, t), t)
	case "shared-slow":
		f.toggle(ctx, f.zone(i), t)
	case "burst", "eager-retries": // the clients' doing: it is in their plan
		sleep(ctx, t.For)
	case "roster-cut":
		f.roster.Forget()
		f.roster.Stop()
		sleep(ctx, t.For)
		f.roster.Start(f.api)
	default:
		f.toggle(ctx, f.struck(i, t), t)
	}
}

func (f *fleet) each(list []*standin.Engine, do func(*standin.Engine)) {
	var wg sync.WaitGroup
	for _, e := range list {
		wg.Go(func() { do(e) })
	}
	wg.Wait()
}

// zone are all engines of one zone, as when they share what grows slow.
func (f *fleet) zone(i int) []*standin.Engine {
	want := zones[i%len(zones)]
	var list []*standin.Engine
	for _, e := range f.engines() {
		if _, z, _ := f.place(e); z == want {
			list = append(list, e)
		}
	}
	return list
}

// toggle sets a fault for its time.
func (f *fleet) toggle(ctx context.Context, list []*standin.Engine, t *Fault) {
	set := func(on bool) {
		for _, e := range list {
			e.Set(func(x *standin.Faults) { apply(x, t, on) })
		}
	}
	set(true)
	sleep(ctx, t.For)
	set(false)
}

// apply sets or clears the part of the faults that a trouble is about.
func apply(x *standin.Faults, t *Fault, on bool) {
	size := t.Size
	if !on {
		size = 0
	}
	switch t.Kind {
	case "slow", "shared-slow", "ageing":
		x.Slow = size
	case "hang":
		x.Hang = on
	case "fast-errors":
		x.Errors = size
	case "late-reports":
		x.LateReport = on
	case "throttle":
		if x.Throttle = ""; on {
			x.Throttle = t.Note
		}
	case "break-streams":
		x.BreakAfter = int(size)
	case "stall-streams":
		x.StallAfter = int(size)
	}
}

// crash kills an engine; the roster tells of it late, and of its return.
func (f *fleet) crash(ctx context.Context, e *standin.Engine, down time.Duration) {
	e.Kill()
	f.list(e, "gone", time.Time{})
	sleep(ctx, down)
	f.again(e)
}

// again starts an engine cold.
func (f *fleet) again(e *standin.Engine) {
	if err := e.Start(true); err != nil {
		f.log.Add(record.Event{Who: e.Addr(), Kind: record.Fault, Note: "does not start again: " + err.Error()})
		return
	}
	f.list(e, "ready", time.Now())
}

// vanish makes an engine silent, without a reset; nobody tells before it is killed.
func (f *fleet) vanish(ctx context.Context, e *standin.Engine, down time.Duration) {
	e.Freeze(true)
	sleep(ctx, down/2)
	f.list(e, "gone", time.Time{})
	sleep(ctx, down/2)
	e.Kill()
	f.again(e)
}

// deploy drains, stops and starts engines one after the other.
func (f *fleet) deploy(ctx context.Context, list []*standin.Engine, whole time.Duration) {
	step := whole / time.Duration(len(list))
	for _, e := range list {
		f.list(e, "draining", time.Time{})
		if !sleep(ctx, step*2/3) {
			return
		}
		e.Set(func(x *standin.Faults) { x.Draining = true })
		e.Kill()
		f.list(e, "gone", time.Time{})
		sleep(ctx, step/3)
		f.again(e)
	}
}

// restarted starts a router again and waits until it serves.
func (f *fleet) restarted(ctx context.Context, r *router) {
	err := r.up()
	if err == nil {
		err = r.ready(ctx)
	}
	if err != nil {
		f.log.Add(record.Event{Who: "fleet", Kind: record.Fault, Router: r.name, Note: err.Error()})
	}
}

func (f *fleet) crashRouters(ctx context.Context, which []int, down time.Duration) {
	var wg sync.WaitGroup
	for _, n := range which {
		wg.Go(func() {
			r := f.routers[n]
			r.kill()
			sleep(ctx, down)
			f.restarted(ctx, r)
		})
	}
	wg.Wait()
}

// rollRouters stops routers politely and starts them again, one after the other.
func (f *fleet) rollRouters(ctx context.Context, which []int, whole time.Duration) {
	for _, n := range which {
		r, from := f.routers[n], time.Now()
		if err := r.stop(f.s.Settings.Drain + 5*time.Second); err != nil {
			f.log.Add(record.Event{Who: "fleet", Kind: record.Fault, Router: r.name, Note: err.Error()})
		}
		f.restarted(ctx, r)
		if !sleep(ctx, whole/time.Duration(len(which))-time.Since(from)) {
			return
		}
	}
}

// ageing makes engines slower and slower, up to the size.
func (f *fleet) ageing(ctx context.Context, list []*standin.Engine, t *Fault) {
	const steps = 20
	for n := 1; n <= steps; n++ {
		for _, e := range list {
			e.Set(func(x *standin.Faults) { x.Slow = 1 + (t.Size-1)*float64(n)/steps })
		}
		if !sleep(ctx, t.For/steps) {
			break
		}
	}
	for _, e := range list {
		e.Set(func(x *standin.Faults) { x.Slow = 0 })
	}
}

// slowHandshakes shuts the door to new connections for the greater part of
// every while: what dials then times out, what is open goes on.
func (f *fleet) slowHandshakes(ctx context.Context, list []*standin.Engine, t *Fault) {
	end := time.Now().Add(t.For)
	for time.Now().Before(end) && ctx.Err() == nil {
		f.each(list, func(e *standin.Engine) { e.Jam(true) })
		sleep(ctx, min(600*time.Millisecond, time.Until(end)))
		f.each(list, func(e *standin.Engine) { e.Jam(false) })
		sleep(ctx, min(200*time.Millisecond, time.Until(end)))
	}
}

// String tells a trouble in one line.
func (t *Fault) String() string {
	s := fmt.Sprintf("%s at %v for %v", t.Kind, t.From, t.For)
	if t.Part > 0 {
		s += fmt.Sprintf(", part %g", t.Part)
	}
	if t.Size > 0 {
		s += fmt.Sprintf(", size %g", t.Size)
	}
	return s
}
