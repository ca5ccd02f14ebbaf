package platform

import (
	"os"
	"os/signal"
	"syscall"
)

// Notify returns a channel of the process's stop and reload signals. However many
// signals come before they are received, a stop is not lost and is delivered first;
// pending signals of one kind are merged. stop ends the delivery.
func Notify() (signals <-chan os.Signal, stop func()) {
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

// queueSignals forwards signals, a stop before a reload.
func queueSignals(stops, reloads <-chan os.Signal, out chan<- os.Signal, done <-chan struct{}) {
	var stop, reload os.Signal // pending
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
