package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gannethook/internal/record"
	"gannethook/internal/standin"
)

// sleep waits; it reports whether the whole time passed.
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

// runFaults runs all faults; it returns when each has ended.
func (f *fleet) runFaults(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range f.script.Faults {
		wg.Go(func() {
			fault := &f.script.Faults[i]
			if !sleep(ctx, time.Until(f.start.Add(fault.From))) {
				return
			}
			f.log.Add(record.Event{Who: "fleet", Kind: record.Fault, Note: fault.Kind + " begins", N: fault.Size})
			f.runFault(ctx, i, fault)
			f.log.Add(record.Event{Who: "fleet", Kind: record.Fault, Note: fault.Kind + " ends"})
		})
	}
	wg.Wait()
}

// targets returns the engines that a fault affects.
func (f *fleet) targets(i int, fault *Fault) []*standin.Engine {
	all := f.engines()
	switch fault.On {
	case "readers":
		all = f.readers
	case "writers":
		all = f.writers
	}
	var list []*standin.Engine
	for _, n := range f.script.chooseTargets(i, len(all)) {
		list = append(list, all[n])
	}
	return list
}

func (f *fleet) runFault(ctx context.Context, i int, fault *Fault) {
	switch fault.Kind {
	case "crash":
		f.forEach(f.targets(i, fault), func(e *standin.Engine) { f.crashEngine(ctx, e, fault.For) })
	case "vanish":
		f.forEach(f.targets(i, fault), func(e *standin.Engine) { f.freezeEngine(ctx, e, fault.For) })
	case "deploy":
		f.rollEngines(ctx, f.targets(i, fault), fault.For)
	case "router-crash":
		f.crashRouters(ctx, f.script.chooseTargets(i, len(f.routers)), fault.For)
	case "router-roll":
		f.rollRouters(ctx, f.script.chooseTargets(i, len(f.routers)), fault.For)
	case "fleet-restart", "fleet-drain", "kill-restart", "kill-drain", "hang-drain":
		f.operate(ctx, fault.Kind, f.script.chooseTargets(i, len(f.routers)), fault.For)
	case "ageing":
		f.slowGradually(ctx, f.targets(i, fault), fault)
	case "slow-handshakes":
		f.blockDials(ctx, f.targets(i, fault), fault)
	case "shared-slow":
		f.applyFor(ctx, f.zoneEngines(i), fault)
	case "burst", "eager-retries": // acted out by the clients, whose plan has them
		sleep(ctx, fault.For)
	case "roster-cut":
		f.roster.Compact()
		f.roster.Stop()
		sleep(ctx, fault.For)
		f.roster.Start(f.rosterAddr)
	default:
		f.applyFor(ctx, f.targets(i, fault), fault)
	}
}

func (f *fleet) forEach(list []*standin.Engine, do func(*standin.Engine)) {
	var wg sync.WaitGroup
	for _, e := range list {
		wg.Go(func() { do(e) })
	}
	wg.Wait()
}

// zoneEngines returns the engines of one zone, which share a slow resource.
func (f *fleet) zoneEngines(i int) []*standin.Engine {
	want := zones[i%len(zones)]
	var list []*standin.Engine
	for _, e := range f.engines() {
		if _, z, _ := f.location(e); z == want {
			list = append(list, e)
		}
	}
	return list
}

// applyFor sets a fault for its duration.
func (f *fleet) applyFor(ctx context.Context, list []*standin.Engine, fault *Fault) {
	set := func(on bool) {
		for _, e := range list {
			e.Set(func(x *standin.Faults) { applyFault(x, fault, on) })
		}
	}
	set(true)
	sleep(ctx, fault.For)
	set(false)
}

// applyFault sets or clears the engine faults that correspond to a scripted fault.
func applyFault(faults *standin.Faults, fault *Fault, on bool) {
	size := fault.Size
	if !on {
		size = 0
	}
	switch fault.Kind {
	case "slow", "shared-slow", "ageing":
		faults.Slow = size
	case "hang":
		faults.Hang = on
	case "fast-errors":
		faults.Errors = size
	case "late-reports":
		faults.StaleReports = on
	case "throttle":
		if faults.Throttle = ""; on {
			faults.Throttle = fault.Class
		}
	case "break-streams":
		faults.BreakAfter = int(size)
	case "stall-streams":
		faults.StallAfter = int(size)
	}
}

// crashEngine kills an engine and restarts it; the roster reports both after its delay.
func (f *fleet) crashEngine(ctx context.Context, e *standin.Engine, downtime time.Duration) {
	e.Kill()
	f.listEngine(e, "gone", time.Time{})
	sleep(ctx, downtime)
	f.restartEngine(e)
}

// restartEngine starts an engine with a slow start.
func (f *fleet) restartEngine(e *standin.Engine) {
	if err := e.Start(true); err != nil {
		f.log.Add(record.Event{Who: e.Addr(), Kind: record.Fault, Note: "restart failed: " + err.Error()})
		return
	}
	f.listEngine(e, "ready", time.Now())
}

// freezeEngine makes an engine silent, without a reset; the roster reports it as gone only after half of the downtime.
func (f *fleet) freezeEngine(ctx context.Context, e *standin.Engine, downtime time.Duration) {
	e.Freeze(true)
	sleep(ctx, downtime/2)
	f.listEngine(e, "gone", time.Time{})
	sleep(ctx, downtime/2)
	e.Kill()
	f.restartEngine(e)
}

// rollEngines drains, stops and restarts engines one after the other.
func (f *fleet) rollEngines(ctx context.Context, list []*standin.Engine, duration time.Duration) {
	step := duration / time.Duration(len(list))
	for _, e := range list {
		f.listEngine(e, "draining", time.Time{})
		if !sleep(ctx, step*2/3) {
			return
		}
		e.Set(func(x *standin.Faults) { x.Draining = true })
		e.Kill()
		f.listEngine(e, "gone", time.Time{})
		sleep(ctx, step/3)
		f.restartEngine(e)
	}
}

// restartRouter starts a router again and waits until it accepts connections.
func (f *fleet) restartRouter(ctx context.Context, r *router) {
	err := r.start()
	if err == nil {
		err = r.waitListening(ctx)
	}
	if err != nil {
		f.log.Add(record.Event{Who: "fleet", Kind: record.Fault, Router: r.name, Note: err.Error()})
	}
}

func (f *fleet) crashRouters(ctx context.Context, which []int, downtime time.Duration) {
	var wg sync.WaitGroup
	for _, n := range which {
		wg.Go(func() {
			r := f.routers[n]
			r.kill()
			sleep(ctx, downtime)
			f.restartRouter(ctx, r)
		})
	}
	wg.Wait()
}

// rollRouters stops routers with a drain and restarts them, one after the other.
func (f *fleet) rollRouters(ctx context.Context, which []int, duration time.Duration) {
	for _, n := range which {
		r, from := f.routers[n], time.Now()
		if err := r.stop(f.script.Settings.Drain + 5*time.Second); err != nil {
			f.log.Add(record.Event{Who: "fleet", Kind: record.Fault, Router: r.name, Note: err.Error()})
		}
		f.restartRouter(ctx, r)
		if !sleep(ctx, duration/time.Duration(len(which))-time.Since(from)) {
			return
		}
	}
}

// slowGradually makes engines slower in equal steps, up to the fault's size.
func (f *fleet) slowGradually(ctx context.Context, list []*standin.Engine, fault *Fault) {
	const steps = 20
	for n := 1; n <= steps; n++ {
		for _, e := range list {
			e.Set(func(x *standin.Faults) { x.Slow = 1 + (fault.Size-1)*float64(n)/steps })
		}
		if !sleep(ctx, fault.For/steps) {
			break
		}
	}
	for _, e := range list {
		e.Set(func(x *standin.Faults) { x.Slow = 0 })
	}
}

// blockDials blocks new connections for 600 of every 800 ms: dials then time out, while open connections continue.
func (f *fleet) blockDials(ctx context.Context, list []*standin.Engine, fault *Fault) {
	end := time.Now().Add(fault.For)
	for time.Now().Before(end) && ctx.Err() == nil {
		f.forEach(list, func(e *standin.Engine) { e.Jam(true) })
		sleep(ctx, min(600*time.Millisecond, time.Until(end)))
		f.forEach(list, func(e *standin.Engine) { e.Jam(false) })
		sleep(ctx, min(200*time.Millisecond, time.Until(end)))
	}
}

// String describes a fault in one line.
func (f *Fault) String() string {
	s := fmt.Sprintf("%s at %v for %v", f.Kind, f.From, f.For)
	if f.Share > 0 {
		s += fmt.Sprintf(", part %g", f.Share)
	}
	if f.Size > 0 {
		s += fmt.Sprintf(", size %g", f.Size)
	}
	return s
}
