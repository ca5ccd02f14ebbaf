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

// Enabled tells whether this build injects faults.
const Enabled = true

// plan is what GANNETHOOK_FAULTS asks for.
var plan = parse(os.Getenv("GANNETHOOK_FAULTS"))

type faultPlan struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	rates map[string]float64
}

func parse(text string) *faultPlan {
	p := &faultPlan{rates: map[string]float64{}}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		if rate, err := strconv.ParseFloat(value, 64); err == nil {
			p.rates[name] = rate
		}
	}
	p.rnd = rand.New(rand.NewPCG(uint64(p.rates["seed"]), 1))
	return p
}

// strikes tells whether a fault of a kind happens now.
func (p *faultPlan) strikes(kind string) bool {
	rate := p.rates[kind]
	if rate == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rnd.Float64() < rate
}

func (p *faultPlan) pick(errs ...syscall.Errno) syscall.Errno {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errs[p.rnd.IntN(len(errs))]
}

func (p *faultPlan) upTo(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 1 + p.rnd.IntN(n)
}

// Broken tells whether a guard is left out.
func Broken(guard string) bool { return os.Getenv("GANNETHOOK_BREAK") == guard }

// WallClock reads the wall clock, as far off as it is told to be.
func WallClock() time.Time {
	return time.Now().Add(time.Duration(plan.rates["clock"] * float64(time.Second)))
}

// ReadFile reads a file, or fails as a file system does for a while.
func ReadFile(path string) ([]byte, error) {
	if plan.strikes("file") {
		return nil, &os.PathError{Op: "open", Path: path, Err: plan.pick(syscall.EIO, syscall.ENFILE, syscall.EINTR, syscall.ENOMEM)}
	}
	return os.ReadFile(path)
}

// Dial makes a connection, or fails as socket and connect do for a moment.
func Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	if plan.strikes("dial") {
		err := plan.pick(syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOMEM)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", err)}
	}
	if plan.strikes("hang") {
		hang(ctx, d)
	}
	nc, err := d.DialContext(ctx, "tcp", addr)
	return wrap(nc, true), err
}

// hang has a connection come up late, up to a second, or not in its time.
func hang(ctx context.Context, d *net.Dialer) {
	until := time.After(time.Duration(plan.upTo(1000)) * time.Millisecond)
	ctx, cancel := context.WithDeadline(ctx, d.Deadline)
	defer cancel()
	select {
	case <-until:
	case <-ctx.Done():
	}
}

// Listener is the listener with failing calls of accept.
func Listener(ln net.Listener) net.Listener { return &listener{ln} }

type listener struct{ net.Listener }

func (l *listener) Accept() (net.Conn, error) {
	if plan.strikes("accept") {
		err := plan.pick(syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EPROTO, syscall.ENOMEM)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	nc, err := l.Listener.Accept()
	return wrap(nc, false), err
}

func wrap(nc net.Conn, breaks bool) net.Conn {
	if tc, ok := nc.(*net.TCPConn); ok && tc != nil {
		return &conn{tc, breaks}
	}
	return nc
}

// conn is a connection whose reads come short.
type conn struct {
	*net.TCPConn
	breaks bool // with errors other than the usual ones
}

func (c *conn) Read(p []byte) (int, error) {
	if c.breaks && plan.strikes("broken") {
		c.TCPConn.CloseRead()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", plan.pick(syscall.ETIMEDOUT, syscall.EHOSTUNREACH))}
	}
	if len(p) > 1 && plan.strikes("short") {
		p = p[:plan.upTo(len(p))]
	}
	return c.TCPConn.Read(p)
}

// Peek looks at bytes that wait on a socket, without a wait.
func Peek(fd int, p []byte) (int, error) {
	if plan.strikes("peek") {
		return -1, plan.pick(syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS)
	}
	n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Write writes to a socket without a wait, often in part.
func Write(fd int, p []byte) (int, error) {
	if plan.strikes("write") {
		return -1, plan.pick(syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS)
	}
	if len(p) > 1 && plan.strikes("short") {
		p = p[:plan.upTo(len(p))]
	}
	return syscall.Write(fd, p)
}
