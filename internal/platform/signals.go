package platform

import (
	"os"
	"os/signal"
	"syscall"
)

// Notify returns the process's signals for a stop and for a new configuration.
// However many come and however long they wait to be taken, a stop is not lost
// and goes first; those for a new configuration are one while they wait. end
// stops it.
func Notify() (signals <-chan os.Signal, end func()) {
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	out, done := make(chan os.Signal), make(chan struct{})
	go queueSignals(stops, reloads, out, done)
	return out, func() {
		signal.Stop(stops)
		signal.Stop(reloads)
		close(done)
	}
}

// queueSignals hands signals on, a stop before a reload.
func queueSignals(stops, reloads <-chan os.Signal, out chan<- os.Signal, done <-chan struct{}) {
	var stop, reload os.Signal // those that wait
	for {
		next, ready := stop, out
		if next == nil {
			next = reload
		}
		if next == nil {
			ready = nil
		}
		select {
		case s := <-stops:
			stop = s
		case s := <-reloads:
			reload = s
		case ready <- next:
			if stop != nil {
				stop = nil
			} else {
				reload = nil
			}
		case <-done:
			return
		}
	}
}
