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

// ApplyLimits applies the configured limits of memory and processors to this process. A
// quarter of the memory is left for stacks, the program itself and kernel buffers.
func ApplyLimits(cfg *config.Config) {
	debug.SetMemoryLimit(cfg.Memory * 3 / 4)
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
}

// maxConns returns the limit of client connections, and of worker connections. The remaining sockets are for
// discovery and the listener.
func maxConns(cfg *config.Config) int { return cfg.Sockets * 45 / 100 }

// workerLimits returns the limits of connections and calls to workers.
func workerLimits(cfg *config.Config) workers.Limits {
	return workers.Limits{Conns: maxConns(cfg), IdlePerWorker: cfg.Sockets / 8,
		Dial: dialTimeout(float64(cfg.Profile.DialTimeout)), Idle: idleTimeout(float64(cfg.Profile.Settings.ConnIdle)),
		ReuseDelay: 50 * time.Millisecond, StreamIdle: 4500 * time.Millisecond, ReservationTimeout: time.Second, ReleaseTimeout: 120 * time.Millisecond}
}

// clientLimits returns the limits of connections and requests of clients.
func clientLimits(cfg *config.Config) clients.Limits {
	return clients.Limits{Conns: maxConns(cfg), Rejections: cfg.Sockets / 20, Body: 256 << 10, Bodies: cfg.Memory / 5,
		Head: 2 * time.Second, Idle: 20 * time.Second, Write: 4 * time.Second, Shutdown: 500 * time.Millisecond}
}

// discoverySource returns the discovery agent's address and the timing for the configured mode: updates are pushed, or
// routers subscribe to them.
func discoverySource(cfg *config.Config) discovery.Source {
	timing := discovery.PushTiming
	if set := &cfg.Profile.Settings; set.AskDiscovery {
		timing = discovery.PollTiming(set.Routers)
	}
	return discovery.Source{Addr: cfg.Discovery, Timing: timing}
}

// names returns the names that requests refer to classes and tenants by.
func names(cfg *config.Config) driver.Names {
	return driver.Names{Classes: cfg.Profile.Classes, Tenants: cfg.Profile.Tenants}
}

// dialTimeout returns the timeout for connecting to a worker: as configured, but at
// least 50 ms. The default of 1 s covers slow connections of the platform.
func dialTimeout(configuredMS float64) time.Duration {
	if configuredMS <= 0 {
		return time.Second
	}
	return time.Duration(max(configuredMS, 50) * 1e6)
}

// idleTimeout returns how long an unused connection to a worker is kept: 80 % of the
// worker's own idle timeout, so that the worker does not close it during a request.
func idleTimeout(idleMS float64) time.Duration {
	if idleMS <= 0 {
		return 10 * time.Second
	}
	return time.Duration(idleMS * 0.8 * 1e6)
}

// Retries of a failed reload: the file may still be being written, or the fault may be
// transient. The platform counts the list at a new discovery address as received 4 s
// after the signal.
const (
	minReloadDelay = 20 * time.Millisecond
	maxReloadDelay = 250 * time.Millisecond
	reloadTimeout  = 30 * time.Second // retries end this long after the signal
)

// reload requests a reload of the configuration; it does not block.
func (r *Router) reload() {
	select {
	case r.reloads <- struct{}{}:
	default: // a reload is already pending
	}
}

// reloadLoop reloads the configuration on request and retries failed reloads with backoff.
func (r *Router) reloadLoop(ctx context.Context) {
	var retry <-chan time.Time
	var requestedAt time.Time // time of the last request
	delay := minReloadDelay
	for {
		select {
		case <-r.reloads:
			requestedAt, delay = time.Now(), minReloadDelay
		case <-retry:
			delay = min(2*delay, maxReloadDelay)
		case <-ctx.Done():
			return
		}
		retry = nil
		err := r.loadConfig()
		switch {
		case err == nil:
		case time.Since(requestedAt) < reloadTimeout && !faults.GuardDisabled(faults.BreakReload):
			if delay == minReloadDelay {
				r.log.Error("the new configuration is not taken up", zap.Error(err))
			}
			retry = time.After(delay)
		default:
			r.log.Error("the new configuration is given up", zap.Error(err))
		}
	}
}

// loadConfig reads and applies the configuration. An invalid one changes nothing.
func (r *Router) loadConfig() error {
	next, err := config.Load(r.env)
	if err != nil {
		return err
	}
	r.reconfigure(next)
	r.log.Info("new configuration", zap.String("discovery", next.Discovery))
	select {
	case <-r.sources: // a previous one that the watch has not received yet
	default:
	}
	r.sources <- discoverySource(next)
	return nil
}

// reconfigure applies a configuration to new requests; open requests keep the one
// that they were accepted under. Name, listen address and seed do not change.
func (r *Router) reconfigure(next *config.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next.Name, next.Listen, next.Seed = r.cfg.Name, r.cfg.Listen, r.cfg.Seed
	same := reflect.DeepEqual(r.cfg.Profile, next.Profile) && r.cfg.Sockets == next.Sockets
	r.cfg = next
	ApplyLimits(next)
	r.workers.Reconfigure(workerLimits(next))
	r.clients.Reconfigure(next.Profile.Classes, clientLimits(next))
	if !same { // reconfiguring the driver discards what it has learned of classes and workers
		r.driver.Reconfigure(next.Profile.Settings, names(next), r.list.Membership(next.Profile), maxConns(next))
	}
}

// profile returns the settings for new requests.
func (r *Router) profile() *profile.Profile {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Profile
}
