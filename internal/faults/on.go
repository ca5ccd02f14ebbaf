//go:build faults

package faults

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Enabled reports whether this build injects faults.
const Enabled = true

// inject draws the faults that GANNETHOOK_FAULTS configures.
var inject = parseSpec(os.Getenv("GANNETHOOK_FAULTS"))

// injector draws faults by a seed.
type injector struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	rates map[string]float64 // by kind: fraction of calls, or seconds for "clock"
}

// parseSpec parses the value of GANNETHOOK_FAULTS. Malformed entries are ignored.
func parseSpec(text string) *injector {
	in := &injector{rates: map[string]float64{}}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		if rate, err := strconv.ParseFloat(value, 64); err == nil {
			in.rates[name] = rate
		}
	}
	in.rnd = rand.New(rand.NewPCG(uint64(in.rates["seed"]), 1))
	return in
}

// fires draws whether a fault of a kind happens now.
func (in *injector) fires(kind string) bool {
	rate := in.rates[kind]
	if rate == 0 {
		return false
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.rnd.Float64() < rate
}

// pickErrno draws one of the errors.
func (in *injector) pickErrno(errs ...syscall.Errno) syscall.Errno {
	in.mu.Lock()
	defer in.mu.Unlock()
	return errs[in.rnd.IntN(len(errs))]
}

// drawUpTo draws a number from 1 to n.
func (in *injector) drawUpTo(n int) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return 1 + in.rnd.IntN(n)
}

// GuardDisabled reports whether a guard is disabled.
func GuardDisabled(guard string) bool { return os.Getenv("GANNETHOOK_BREAK") == guard }

// WallClock returns the wall-clock time, off by the configured seconds.
func WallClock() time.Time {
	return time.Now().Add(time.Duration(inject.rates["clock"] * float64(time.Second)))
}

// ReadFile reads a file, or fails with a transient error of a file system.
func ReadFile(path string) ([]byte, error) {
	if inject.fires("file") {
		return nil, &os.PathError{Op: "open", Path: path, Err: inject.pickErrno(syscall.EIO, syscall.ENFILE, syscall.EINTR, syscall.ENOMEM)}
	}
	return os.ReadFile(path)
}

// Dial connects to a TCP address, late or not at all, or fails with a transient error of socket or connect.
func Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	if inject.fires("dial") {
		err := inject.pickErrno(syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOMEM)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	if inject.fires("hang") {
		delayConnect(ctx, d)
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	return wrapConn(nc, true), err
}

// delayConnect waits for up to a second, or until the dial's deadline.
func delayConnect(ctx context.Context, d *net.Dialer) {
	delay := time.After(time.Duration(inject.drawUpTo(1000)) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, d.Deadline)
	defer cancel()
	select {
	case <-delay:
	case <-ctx.Done():
	}
}

// Listener returns a listener on which some calls of accept fail, and whose connections read in part.
func Listener(ln net.Listener) net.Listener { return &listener{ln} }

type listener struct{ net.Listener }

func (l *listener) Accept() (net.Conn, error) {
	if inject.fires("accept") {
		err := inject.pickErrno(syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EPROTO, syscall.ENOMEM)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	nc, err := l.Listener.Accept()
	return wrapConn(nc, false), err
}

// wrapConn injects faults into a TCP connection; failReads is set for outgoing ones.
func wrapConn(nc net.Conn, failReads bool) net.Conn {
	if tc, ok := nc.(*net.TCPConn); ok && tc != nil {
		return &conn{tc, failReads}
	}
	return nc
}

// conn is a connection on which some reads are partial or fail.
type conn struct {
	*net.TCPConn
	failReads bool // some reads fail with an error, after which nothing more is received
}

func (c *conn) Read(p []byte) (int, error) {
	if c.failReads && inject.fires("broken") {
		c.TCPConn.CloseRead()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", inject.pickErrno(syscall.ETIMEDOUT, syscall.EHOSTUNREACH))}
	}
	if len(p) > 1 && inject.fires("short") {
		p = p[:inject.drawUpTo(len(p))]
	}
	return c.TCPConn.Read(p)
}

// Peek reads received bytes of a socket without removing them or blocking, or fails.
func Peek(fd int, p []byte) (int, error) {
	if inject.fires("peek") {
		return -1, inject.pickErrno(syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS)
	}
	n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Write is one write call on a non-blocking socket, which may write in part or fail.
func Write(fd int, p []byte) (int, error) {
	if inject.fires("write") {
		return -1, inject.pickErrno(syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS)
	}
	if len(p) > 1 && inject.fires("short") {
		p = p[:inject.drawUpTo(len(p))]
	}
	return syscall.Write(fd, p)
}
