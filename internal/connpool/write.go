package connpool

import (
	"io"
	"time"
)

// Pauses of a Writer whose write failed for want of something of this machine.
const (
	firstWritePause = time.Millisecond
	maxWritePause   = 20 * time.Millisecond
	writePauses     = 40 // then the error is told: well over half a second has passed
)

// Writer writes to a connection, and goes on after errors that pass and say
// nothing of the peer, as want of buffers. The connection's deadline holds.
type Writer struct{ Conn io.Writer }

// Write writes all of p, unless the connection fails.
func (w Writer) Write(p []byte) (int, error) {
	written, pause := 0, firstWritePause
	for tries := 0; ; tries++ {
		n, err := w.Conn.Write(p[written:])
		written += max(n, 0)
		if err == nil || !IsLocal(err) || tries == writePauses {
			return written, err
		}
		time.Sleep(pause)
		pause = min(2*pause, maxWritePause)
	}
}
