package connpool

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection, as in the kernel's tcp_info, in which the peer has closed it.
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// closeReceived reports whether the peer's close has arrived, even if data before it has not been read. It returns false
// where the system does not tell.
func closeReceived(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && isClosedByPeer(info.State)
	})
	return closed
}

func isClosedByPeer(state uint8) bool {
	switch state {
	case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}
