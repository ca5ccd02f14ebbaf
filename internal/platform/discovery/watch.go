package discovery

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Watch polls the discovery agent for updates. Its fields are set before Run.
type Watch struct {
	OnList func(*List) // receives every full list and update, in order, on Run's goroutine
	Log    *zap.Logger
	Rev    int64 // last known revision; negative: none

	// refreshAt is when the full list is due again after one that was older than Rev: what of
	// it was withheld then (see withdrawal) counts if it is still listed. Zero: it is not.
	refreshAt time.Time
}

// refreshIsDue reports whether the full list has to be asked for again.
func (w *Watch) refreshIsDue() bool { return !w.refreshAt.IsZero() && !time.Now().Before(w.refreshAt) }

// Timing holds the timeouts of a watch. The platform counts an update as received a
// few seconds after the connection fell silent, or after the wait of a call that got
// no answer. A silent agent is detected after PollWait plus Grace at the latest: the call
// goes on, and another is made beside it.
type Timing struct {
	PollWait        time.Duration // how long the agent may hold a call until there is an update
	Grace           time.Duration // after which a response that is due, or its next part, is late
	ResponseTimeout time.Duration // from the first byte of a response to its last, after which it is late

	// FirstCallSpread bounds the random delay of the first call, which asks for updates only,
	// if a list is known. Zero: the first call is made at once and asks for the full list.
	FirstCallSpread time.Duration

	RetryDelay, MaxRetryDelay time.Duration // backoff after failed or late calls: doubled each time, less up to half at random
}

// PushTiming applies where updates are pushed: the agent runs on this machine and
// answers at once, at no cost.
var PushTiming = Timing{PollWait: 1500 * time.Millisecond, Grace: 500 * time.Millisecond, ResponseTimeout: 3 * time.Second,
	RetryDelay: 50 * time.Millisecond, MaxRetryDelay: 400 * time.Millisecond}

// Timing where routers subscribe to updates: each call costs work at a discovery
// service that all routers share, so they call rarely, wait longer and back off. The
// platform counts updates missed by a silent call as received 2 s after its wait;
// pollGrace leaves time for one more call before that.
const (
	pollWaitMin       = 3 * time.Second
	pollWaitMax       = 20 * time.Second
	pollWaitPerRouter = 400 * time.Millisecond // 8 to 50 routers together make 2.5 calls a second
	pollGrace         = 1200 * time.Millisecond

	// Spread of the first calls after a simultaneous start of the fleet, and of those
	// to a new address. The platform counts the list as received 10 s after a start
	// and 4 s after SIGHUP.
	firstCallPerRouter = 200 * time.Millisecond
	maxFirstCallSpread = 8 * time.Second
	maxSwitchSpread    = 2 * time.Second
)

// PollTiming returns the timing where so many routers subscribe to updates.
func PollTiming(routers int) Timing {
	wait := min(max(time.Duration(routers)*pollWaitPerRouter, pollWaitMin), pollWaitMax)
	spread := min(time.Duration(routers)*firstCallPerRouter, maxFirstCallSpread)
	return Timing{PollWait: wait, Grace: pollGrace, ResponseTimeout: 3 * time.Second, FirstCallSpread: spread,
		RetryDelay: 200 * time.Millisecond, MaxRetryDelay: 2 * time.Second}
}

// Source is the address of a discovery agent and the timing of calls to it.
type Source struct {
	Addr string
	Timing
}

// Run polls the agent at source, or at the last address received from sources, until
// the context ends. The first call to an address asks for the full list or, if it is
// spread, for the changes since Rev.
func (w *Watch) Run(ctx context.Context, source Source, sources <-chan Source) {
	spread := source.FirstCallSpread
	for {
		sourceCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			(&poller{watch: w, source: source, results: make(chan result)}).run(sourceCtx, spread)
		}()
		select {
		case source = <-sources:
			spread = min(source.FirstCallSpread, maxSwitchSpread)
			w.Log.Info("discovery has another address", zap.String("discovery", source.Addr))
		case <-ctx.Done():
		}
		cancel()
		<-done
		if ctx.Err() != nil {
			return
		}
	}
}
