// Package connpool looks at connections that are kept.
package connpool

import (
	"errors"
	"net"
	"syscall"
	"time"

	"gannethook/internal/faults"
)

// State is what can be read on a connection.
type State int

// The states of a connection.
const (
	Quiet       State = iota // nothing yet
	Readable                 // bytes, or what only a read can tell
	PeerClosing              // the peer's end, with nothing left before it
)

// Look tells what can be read without a wait. It may be called while another
// goroutine waits in Read.
func Look(nc net.Conn) State {
	n, err := peek(nc)
	switch {
	case err == errNoSocket || nothingYet(err):
		return Quiet
	case n <= 0:
		return PeerClosing // in order, or by any error that a broken connection shows
	}
	return Readable
}

// PeerClosed tells whether the peer has closed a connection on which nothing is left
// to read. It may be called while another goroutine waits in Read.
func PeerClosed(nc net.Conn) bool {
	return Look(nc) == PeerClosing
}

// IsUsable tells whether nothing is readable on an unused connection: neither its
// end nor bytes. A request written into a closed one would count as one that may
// have run; bytes that nobody asked for spoil the next answer. It may be called
// while another goroutine waits in Read.
func IsUsable(nc net.Conn) bool {
	return Look(nc) == Quiet
}

// nothingYet tells whether a look failed without saying anything of the connection:
// nothing is there, or the system could not look just now.
func nothingYet(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || IsLocal(err)
}

// IsLocal tells whether a system call failed for want of something of this machine,
// which passes and says nothing of the peer.
func IsLocal(err error) bool {
	for _, passing := range []syscall.Errno{syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRNOTAVAIL, syscall.EAGAIN} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// AwaitReadable waits until something is readable, bytes or the peer's end, and takes
// nothing: until it is taken, IsUsable tells of it. It ends with an error when the
// read deadline has passed or the connection is closed.
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
		var looked error
		err := raw.Read(func(fd uintptr) bool {
			_, looked = peekAt(fd)
			return !errors.Is(looked, syscall.EAGAIN) // else it would wait for more than is there already
		})
		if err != nil || !nothingYet(looked) {
			return err
		}
		time.Sleep(lookPause)
	}
}

// lookPause is the wait after a look that the system could not make.
const lookPause = time.Millisecond

var errNoSocket = errors.New("not a socket")

// peek looks at one byte without a wait; 0 without an error is the end.
func peek(nc net.Conn) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 1, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Control(func(fd uintptr) { // not Read: that waits for whoever reads
		n, err = peekAt(fd)
	})
	return n, errors.Join(err, failed)
}

func peekAt(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		n, err = faults.Peek(int(fd), b[:])
		if err != syscall.EINTR {
			return n, err
		}
	}
}
