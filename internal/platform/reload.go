package platform

import (
	"context"
	"math"
	"reflect"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/driver"
	"gannethook/internal/faults"
	"gannethook/internal/platform/clients"
	"gannethook/internal/platform/config"
	"gannethook/internal/platform/discovery"
	"gannethook/internal/platform/workers"
	"gannethook/internal/profile"
)

// Bound sets this process's memory and processor bounds. The memory's limit
// leaves room for stacks, the program itself and what the kernel counts.
func Bound(cfg *config.Config) {
	debug.SetMemoryLimit(cfg.Memory * 3 / 4)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
}

// maxConns is how many connections clients may have, and as many workers; what is left is discovery's and the port's.
func maxConns(cfg *config.Config) int { return cfg.Sockets * 45 / 100 }

func workerLimits(cfg *config.Config) workers.Limits {
	return workers.Limits{Conns: maxConns(cfg), IdlePerWorker: cfg.Sockets / 8,
		Dial: dialTimeout(float64(cfg.Profile.Dial)), Idle: retire(float64(cfg.Profile.Settings.ConnIdle)),
		ReuseDelay: 50 * time.Millisecond, StreamIdle: 4500 * time.Millisecond, ReservationTimeout: time.Second, ReleaseTimeout: 120 * time.Millisecond}
}

func clientLimits(cfg *config.Config) clients.Limits {
	return clients.Limits{Conns: maxConns(cfg), Rejections: cfg.Sockets / 20, Body: 256 << 10, Bodies: cfg.Memory / 5,
		Head: 2 * time.Second, Idle: 20 * time.Second, Write: 4 * time.Second, Shutdown: 500 * time.Millisecond}
}

// source is how discovery is called: settings tell whether it pushes its lists or is asked for them.
func source(cfg *config.Config) discovery.Source {
	times := discovery.Pushed
	if set := &cfg.Profile.Settings; set.AskDiscovery {
		times = discovery.Asked(set.Routers)
	}
	return discovery.Source{Addr: cfg.Discovery, Times: times}
}

func names(cfg *config.Config) driver.Names {
	return driver.Names{Classes: cfg.Profile.Classes, Tenants: cfg.Profile.Tenants}
}

// dialTimeout is how long a connection may take to come up: where it is not told,
// as long as late connections of the platform take.
func dialTimeout(toldMS float64) time.Duration {
	if toldMS <= 0 {
		return time.Second
	}
	return time.Duration(max(toldMS, 50) * 1e6)
}

// retire is when an unused connection goes: well before its worker closes it.
func retire(idleMS float64) time.Duration {
	if idleMS <= 0 {
		return 10 * time.Second
	}
	return time.Duration(idleMS * 0.8 * 1e6)
}

// A configuration that can't be taken up is read again: it may still be being
// written, or the fault may pass. What discovery tells at another address counts
// as told 4 s after the signal.
const (
	firstReloadPause = 20 * time.Millisecond
	maxReloadPause   = 250 * time.Millisecond
	reloadFor        = 30 * time.Second // after which it is left until the next signal
)

// reload asks for the configuration to be read again; it does not wait.
func (r *Router) reload() {
	select {
	case r.reloads <- struct{}{}:
	default: // it is about to be read
	}
}

// reloadLoop reads the configuration whenever that is asked for.
func (r *Router) reloadLoop(ctx context.Context) {
	var again <-chan time.Time
	var from time.Time // of the last signal
	pause := firstReloadPause
	for {
		select {
		case <-r.reloads:
			from, pause = time.Now(), firstReloadPause
		case <-again:
			pause = min(2*pause, maxReloadPause)
		case <-ctx.Done():
			return
		}
		again = nil
		err := r.takeUp()
		switch {
		case err == nil:
		case time.Since(from) < reloadFor && !faults.Broken(faults.BreakReload):
			if pause == firstReloadPause {
				r.log.Error("the new configuration is not taken up", zap.Error(err))
			}
			again = time.After(pause)
		default:
			r.log.Error("the new configuration is given up", zap.Error(err))
		}
	}
}

// takeUp reads the configuration; one that can't be used changes nothing.
func (r *Router) takeUp() error {
	next, err := config.Load(r.env)
	if err != nil {
		return err
	}
	r.reconfigure(next)
	r.log.Info("new configuration", zap.String("discovery", next.Discovery))
	select {
	case <-r.next: // one that was not taken up yet
	default:
	}
	r.next <- source(next)
	return nil
}

// reconfigure has requests that come from now on go by another configuration;
// those under way keep what they came under. Name, address and seed stay.
func (r *Router) reconfigure(next *config.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next.Name, next.Listen, next.Seed = r.cfg.Name, r.cfg.Listen, r.cfg.Seed
	same := reflect.DeepEqual(r.cfg.Profile, next.Profile) && r.cfg.Sockets == next.Sockets
	r.cfg = next
	Bound(next)
	r.workers.Reconfigure(workerLimits(next))
	r.clients.Reconfigure(next.Profile.Classes, clientLimits(next))
	if !same { // else what was learned of classes and workers would go for nothing
		r.driver.Reconfigure(next.Profile.Settings, names(next), r.list.Membership(next.Profile), maxConns(next))
	}
}

// profile is the settings for requests that come now.
func (r *Router) profile() *profile.Profile {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Profile
}
