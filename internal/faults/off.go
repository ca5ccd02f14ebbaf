//go:build !faults

package faults

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"
)

// Enabled reports whether this build injects faults.
const Enabled = false

// GuardDisabled reports whether a guard is disabled.
func GuardDisabled(string) bool { return false }

// WallClock returns the wall-clock time.
func WallClock() time.Time { return time.Now() }

// ReadFile reads a file.
func ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Dial connects to a TCP address.
func Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", addr)
}

// Listener returns the listener unchanged.
func Listener(ln net.Listener) net.Listener { return ln }

// Peek reads received bytes of a socket without removing them or blocking.
func Peek(fd int, p []byte) (int, error) {
	n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Write is one write call on a non-blocking socket.
func Write(fd int, p []byte) (int, error) { return syscall.Write(fd, p) }
