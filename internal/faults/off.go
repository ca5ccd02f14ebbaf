//go:build !faults

package faults

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"
)

// Enabled tells whether this build injects faults.
const Enabled = false

// Broken tells whether a guard is left out.
func Broken(string) bool { return false }

// WallClock reads the wall clock.
func WallClock() time.Time { return time.Now() }

// ReadFile reads a file.
func ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Dial makes a connection.
func Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", addr)
}

// Listener is the listener itself.
func Listener(ln net.Listener) net.Listener { return ln }

// Peek looks at bytes that wait on a socket, without a wait.
func Peek(fd int, p []byte) (int, error) {
	n, _, err := syscall.Recvfrom(fd, p, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Write writes to a socket without a wait.
func Write(fd int, p []byte) (int, error) { return syscall.Write(fd, p) }
