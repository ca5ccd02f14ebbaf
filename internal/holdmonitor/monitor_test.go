package holdmonitor

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// A request whose read and reservation are not answered is reported while it is open, once, and again after it was heard.
func TestUnansweredKeyIsReported(t *testing.T) {
	w, now := New(), time.Unix(1000, 0)
	look := func(after time.Duration, want int) []Report {
		t.Helper()
		now = now.Add(after)
		got := w.Due(now)
		if len(got) != want {
			t.Fatalf("%d reports, want %d: %+v", len(got), want, got)
		}
		return got
	}
	w.Sent("k", "r", 500*ms, Read, "reader", now)
	w.Sent("k", "r", 500*ms, Reservation, "writer", now)
	look(249*ms, 0)
	r := look(20*ms, 1)[0]
	want := []string{"read at reader sent 269ms ago, in flight", "reservation at writer sent 269ms ago, in flight"}
	if r.Request != "r" || r.SilentFor != 269*ms || !slices.Equal(r.Calls, want) {
		t.Errorf("%+v", r)
	}
	look(time.Second, 0)
	w.Ended("k", Reservation, "writer", Answered, now)
	look(250*ms, 1)
	w.Sent("k", "r", 500*ms, Release, "", now)
	w.Ended("k", Release, "other", Answered, now.Add(ms)) // the read is in flight: it may arrive yet
	if w.Len() == 0 {
		t.Error("a release beside a read that is in flight ended the watch")
	}
	w.Ended("k", Read, "reader", NoAnswer, now.Add(2*ms))
	w.Sent("k", "r", 500*ms, Release, "", now.Add(30*ms))
	w.Ended("k", Release, "other", Answered, now.Add(31*ms))
	if w.Len() != 0 {
		t.Error("still watched after a release that was sent behind all else")
	}
}

// What was not sent or was turned away leaves nothing to watch.
func TestNotMonitoredWhenNothingHeld(t *testing.T) {
	w, now := New(), time.Unix(1000, 0)
	w.Sent("k", "r", 0, Read, "reader", now)
	w.Sent("k", "r", 0, Reservation, "writer", now)
	w.Ended("k", Read, "reader", NotSent, now)
	if w.Len() != 1 {
		t.Error("not watched while a reservation is in flight")
	}
	w.Ended("k", Reservation, "writer", Rejected, now)
	if w.Len() != 0 {
		t.Error("watched although nothing can be held")
	}
}

// The first event ends a watch, a release alone begins none, and both the keys and the calls of one are bounded.
func TestBounds(t *testing.T) {
	w, now := New(), time.Unix(1000, 0)
	w.Sent("k", "r", 0, Release, "", now)
	if w.Len() != 0 {
		t.Error("a release alone is watched")
	}
	for i := range maxKeys + 10 {
		w.Sent(fmt.Sprint(i), "r", 0, Read, "reader", now)
	}
	if w.Len() != maxKeys {
		t.Errorf("%d keys", w.Len())
	}
	w.Streaming("1")
	if w.Len() != maxKeys-1 {
		t.Error("watched after the first event")
	}
	for range 2 * maxCalls {
		w.Sent("2", "r", 0, Read, "reader", now)
	}
	if n := len(w.keys["2"].calls); n != maxCalls {
		t.Errorf("%d calls", n)
	}
	now = now.Add(maxAge + ms)
	if w.Due(now); w.Len() != 0 {
		t.Errorf("%d keys after %v", w.Len(), maxAge)
	}
}
