package connpool

import (
	"io"
	"time"
)

// Retries of a write that failed for lack of a local resource.
const (
	minWritePause   = time.Millisecond // doubled with each retry up to maxWritePause
	maxWritePause   = 20 * time.Millisecond
	maxWriteRetries = 40 // then the write fails, after well over half a second
)

// Writer writes to a connection and retries after transient local errors, such as a lack
// of buffers. The connection's deadline applies.
type Writer struct{ Conn io.Writer }

// Write writes all of p unless the connection fails or the retries are used up.
func (w Writer) Write(p []byte) (int, error) {
	written, pause := 0, minWritePause
	for retries := 0; ; retries++ {
		n, err := w.Conn.Write(p[written:])
		written += max(n, 0)
		if err == nil || !IsLocal(err) || retries == maxWriteRetries {
			return written, err
		}
		time.Sleep(pause)
		pause = min(2*pause, maxWritePause)
	}
}
