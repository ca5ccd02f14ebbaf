package clients

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/driver"
)

// noBufferConn fails every other write with ENOBUFS.
type noBufferConn struct {
	net.Conn
	writes int
}

func (c *noBufferConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes%2 == 1 {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ENOBUFS)}
	}
	return c.Conn.Write(p)
}

// Responses and streams are written although the system lacks buffers at times.
func TestResponseSurvivesBufferShortage(t *testing.T) {
	s := New(Config{Classes: []string{"chat"}, Ready: func() bool { return true }, Log: zap.NewNop(),
		Submit: func(driver.Job, driver.Sink) (*driver.Call, error) { return nil, driver.ErrBusy },
		Limits: Limits{Conns: 10, Rejections: 2, Head: time.Second, Idle: time.Second, Write: time.Second, Shutdown: 100 * time.Millisecond,
			Body: 1 << 10, Bodies: 1 << 20}})
	near, far := pair(t)
	s.accept(&noBufferConn{Conn: near})
	io.WriteString(far, "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	far.SetReadDeadline(time.Now().Add(2 * time.Second))
	text, err := io.ReadAll(far)
	if err != nil || len(text) == 0 {
		t.Errorf("%q, %v", text, err)
	}
	near2, far2 := pair(t)
	w := newStreamWriter(&noBufferConn{Conn: near2}, s.limits.Load, &s.bodies, s.wg.Go)
	for range 3 {
		if err := w.chunk([]byte("data: a\n\n")); err != nil {
			t.Fatalf("chunk: %v", err)
		}
	}
	if err := w.drain(time.Now().Add(time.Second)); err != nil {
		t.Errorf("drain: %v", err)
	}
	near2.CloseWrite()
	far2.SetReadDeadline(time.Now().Add(2 * time.Second))
	if text, _ := io.ReadAll(far2); string(text) != "9\r\ndata: a\n\n\r\n9\r\ndata: a\n\n\r\n9\r\ndata: a\n\n\r\n" {
		t.Errorf("%q", text)
	}
	s.CloseAll()
}
