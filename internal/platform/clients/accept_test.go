package clients

import (
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// failingListener fails its first calls of Accept with the given errors, in order.
type failingListener struct {
	net.Listener
	errs []error
	n    atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if n := int(l.n.Add(1)); n <= len(l.errs) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errs[n-1])}
	}
	return l.Listener.Accept()
}

// Serve goes on after the transient errors that the manual page of accept lists, and ends on a broken listener.
func TestTransientAcceptErrors(t *testing.T) {
	s := New(Config{Log: zap.NewNop(), Ready: func() bool { return true }, Limits: Limits{Conns: 10, Rejections: 2, Head: time.Second,
		Idle: time.Second, Write: time.Second, Shutdown: 100 * time.Millisecond, Bodies: 1 << 20}})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := &failingListener{Listener: inner, errs: []error{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
		syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT}}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ln) }()
	nc := dial(t, inner.Addr().String())
	io.WriteString(nc, "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	nc.SetReadDeadline(time.Now().Add(5 * time.Second))
	if text, err := io.ReadAll(nc); err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 200") {
		t.Errorf("%q, %v", text, err)
	}
	ln.Close()
	if err := <-ended; err != nil {
		t.Errorf("Serve returned %v", err)
	}
	broken := &failingListener{Listener: inner, errs: []error{syscall.EBADF}}
	if err := s.Serve(broken); !errors.Is(err, syscall.EBADF) {
		t.Errorf("Serve on a broken listener returned %v", err)
	}
	s.CloseAll()
}
