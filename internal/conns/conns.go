// Package conns looks at connections that are kept.
package conns

import (
	"errors"
	"net"
	"syscall"
)

// Stands tells whether nothing is readable on an unused connection: neither its
// end nor bytes. A request written into a closed one would count as one that may
// have run; bytes that nobody asked for spoil the next answer. It may be called
// while another goroutine waits in Read.
func Stands(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) { // not Read: that waits for whoever reads
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
	})
	return err == nil && quiet
}
