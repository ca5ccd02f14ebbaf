package attempt

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"

	"gannethook"
)

// NotSent wraps an error that occurred before the request was written completely, so that nothing can have run.
type NotSent struct {
	Err   error
	Local bool // caused by this machine: no evidence about the server
}

func (e NotSent) Error() string { return e.Err.Error() }

func (e NotSent) Unwrap() error { return e.Err }

// EndedByPeer reports whether err shows that the peer ended the connection, rather than this machine, such as after a
// connection was silent for too long.
func EndedByPeer(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(end error) bool { return errors.Is(err, end) })
}

// ResultOf maps a connection error to the result of the attempt. malformed lists the errors that mean that an answer came
// and cannot be parsed.
func ResultOf(ctx context.Context, err error, malformed ...error) Result {
	r := Result{Outcome: gannethook.Broken, Detail: err.Error(), Interrupted: true, ClosedByServer: EndedByPeer(err)}
	var unsent NotSent
	switch {
	case errors.As(err, &unsent):
		r.Outcome, r.Interrupted = gannethook.ConnectFailed, false
		if unsent.Local {
			r.Outcome = gannethook.NotTried
		}
	case ctx.Err() != nil:
		r = Result{Outcome: gannethook.Cancelled, Detail: ctx.Err().Error(), Interrupted: true}
	case slices.ContainsFunc(malformed, func(bad error) bool { return errors.Is(err, bad) }):
		r.Outcome = gannethook.Failed
	}
	return r
}
