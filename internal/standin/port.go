package standin

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// HoldPort takes a free loopback port from the kernel and keeps it until release: a process started later can listen
// on it, also after restarts, and no other socket gets it meanwhile. The socket that holds the port is bound and
// does not listen; with SO_REUSEADDR on both, Linux lets the other one listen.
func HoldPort() (addr string, release func(), err error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, fmt.Errorf("port: %w", err)
	}
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	var at unix.Sockaddr
	if err == nil {
		at, err = unix.Getsockname(fd)
	}
	if err != nil {
		unix.Close(fd)
		return "", nil, fmt.Errorf("port: %w", err)
	}
	return fmt.Sprintf("127.0.0.1:%d", at.(*unix.SockaddrInet4).Port), func() { unix.Close(fd) }, nil
}
