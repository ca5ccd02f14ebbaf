// Package connpool keeps idle connections for reuse, tests without reading whether a
// connection is still usable, and writes through transient local errors.
package connpool

import (
	"errors"
	"net"
	"syscall"
	"time"

	"gannethook/internal/faults"
)

// State is what a read on a connection would return.
type State int

// The states of a connection.
const (
	Quiet       State = iota // no data yet
	Readable                 // data, or a connection that can't be peeked at
	PeerClosing              // end of stream or a connection error, and no data before it
)

// Look returns the state of a connection without blocking or reading. It may be called
// while another goroutine blocks in Read.
func Look(nc net.Conn) State {
	n, err := peek(nc)
	switch {
	case err == errNotSocket || inconclusive(err):
		return Quiet
	case n <= 0:
		return PeerClosing // end of stream, or the error of a broken connection
	}
	return Readable
}

// PeerClosed reports whether the peer's close has arrived, also behind unread data. It may
// be called while another goroutine blocks in Read.
func PeerClosed(nc net.Conn) bool {
	switch Look(nc) {
	case PeerClosing:
		return true
	case Readable:
		return closeReceived(nc)
	}
	return false
}

// IsUsable reports whether an idle connection is neither closed by the peer nor has data
// to read. A request written to a closed connection would count as one that may have
// run; unsolicited data would be taken for the next response. It may be called while
// another goroutine blocks in Read.
func IsUsable(nc net.Conn) bool {
	return Look(nc) == Quiet
}

// inconclusive reports whether an error of a peek says nothing about the connection:
// there is no data yet, or the system lacked a resource.
func inconclusive(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || IsLocal(err)
}

// IsLocal reports whether a system call failed for lack of a local resource (descriptors,
// ports, buffers), which is transient and says nothing about the peer.
func IsLocal(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL, syscall.EAGAIN} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// AwaitReadable waits until data or the peer's close can be read, without reading it, so
// that IsUsable still sees it. It fails when the read deadline has passed or the
// connection is closed.
func AwaitReadable(nc net.Conn) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	for {
		var peekErr error
		err := raw.Read(func(fd uintptr) bool {
			_, peekErr = peekAt(fd)
			return !errors.Is(peekErr, syscall.EAGAIN) // waits only if nothing is there: new data ends the wait, not data already there
		})
		if err != nil || !inconclusive(peekErr) {
			return err
		}
		time.Sleep(peekRetryPause)
	}
}

// peekRetryPause is the pause after a peek that failed for lack of a local resource.
const peekRetryPause = time.Millisecond

var errNotSocket = errors.New("not a socket")

// peek peeks at one byte without blocking; n is 0 without an error at the end of the stream.
func peek(nc net.Conn) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 1, errNotSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { // not raw.Read, which would wait for a goroutine that blocks in Read
		n, err = peekAt(fd)
	})
	return n, errors.Join(err, controlErr)
}

// peekAt is peek for a descriptor; it retries on EINTR.
func peekAt(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		n, err = faults.Peek(int(fd), b[:])
		if err != syscall.EINTR {
			return n, err
		}
	}
}
