package connpool

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// pair returns both ends of a connection over loopback.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialled, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialled.Close()
		accepted.Close()
	})
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// until waits up to 5 s for a condition.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for from := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(from) > 5*time.Second {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}

// An idle connection that its peer has closed, reset or written unsolicited data to is not reused: a request written to it
// would fail as one that may have run, or get the unsolicited data as its response.
func TestTakeSkipsUnusableConnections(t *testing.T) {
	for name, breakConn := range map[string]func(far *net.TCPConn){
		"closed": func(far *net.TCPConn) { far.Close() },
		"reset": func(far *net.TCPConn) {
			far.SetLinger(0)
			far.Close()
		},
		"bytes out of turn": func(far *net.TCPConn) { io.WriteString(far, "HTTP/1.1 408\r\n") },
	} {
		idle := NewIdle(time.Minute, 0, 4)
		near, far := pair(t)
		closed := 0
		idle.Put("a", New(near, 512, func() { closed++ }))
		breakConn(far)
		until(t, name, func() bool { return !IsUsable(near) })
		if c := idle.Take("a"); c != nil || closed != 1 {
			t.Errorf("%s: took %v, closed %d times", name, c, closed)
		}
	}
}

// Take returns the newest connection that has been idle for the reuse delay, and none that has been idle for maxIdle.
func TestTakeByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := NewIdle(time.Second, 50*time.Millisecond, 4)
		put := func() *Conn {
			near, far := net.Pipe() // not a socket: it always counts as usable
			t.Cleanup(func() {
				near.Close()
				far.Close()
			})
			c := New(near, 512, nil)
			idle.Put("a", c)
			return c
		}
		put()
		time.Sleep(100 * time.Millisecond)
		newer := put()
		if c := idle.Take("a"); c == newer || c == nil {
			t.Error("a connection was reused before the reuse delay, or none was")
		} else {
			idle.Put("a", c)
		}
		time.Sleep(60 * time.Millisecond)
		if c := idle.Take("a"); c == nil || c == newer || c.IdleFor != 60*time.Millisecond {
			t.Errorf("not the one put back last: %v", c)
		}
		time.Sleep(time.Second)
		if c := idle.Take("a"); c != nil {
			t.Errorf("taken after maxIdle: %v", c)
		}
	})
}

// The number of idle connections is limited per name, and Close closes all of them.
func TestIdleIsBounded(t *testing.T) {
	idle, closed := NewIdle(time.Minute, 0, 2), 0
	put := func(name string) {
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		idle.Put(name, New(near, 512, func() { closed++ }))
	}
	for range 3 {
		put("a")
	}
	put("b")
	if idle.Count("a") != 2 || closed != 1 || len(idle.Names()) != 2 {
		t.Errorf("%d kept of a, %d closed, names %v", idle.Count("a"), closed, idle.Names())
	}
	if !idle.CloseOldest() || idle.Count("a") != 1 || closed != 2 {
		t.Errorf("the oldest was not closed: %d kept of a, %d closed", idle.Count("a"), closed)
	}
	idle.Sweep(func(name string) bool { return name == "b" })
	if idle.Count("b") != 0 || closed != 3 {
		t.Errorf("b was not closed, %d closed", closed)
	}
	idle.Close()
	if put("a"); idle.Count("a") != 0 || closed != 5 || idle.CloseOldest() {
		t.Errorf("%d kept after Close, %d closed", idle.Count("a"), closed)
	}
}

// A close is seen as soon as it has arrived, whatever data before it is unread.
func TestPeerClosedBehindUnreadData(t *testing.T) {
	near, far := pair(t)
	if _, err := io.WriteString(far, "unread"); err != nil {
		t.Fatal(err)
	}
	until(t, "the data has arrived", func() bool { return Look(near) == Readable })
	if PeerClosed(near) {
		t.Error("an open connection with unread data counts as closed")
	}
	far.Close()
	until(t, "the close is seen", func() bool { return PeerClosed(near) })
}
