package attempt

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"

	"gannethook"
)

// NotSent marks that a request was not written whole, so that nothing can have run.
type NotSent struct {
	Err   error
	Local bool // the reason lies on this machine, and tells nothing of the server
}

func (e NotSent) Error() string { return e.Err.Error() }

func (e NotSent) Unwrap() error { return e.Err }

// EndedByPeer tells whether an error is the word of the connection's other end, and not this machine's own, as of a connection
// that has been silent for too long.
func EndedByPeer(err error) bool {
	return slices.ContainsFunc([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(end error) bool { return errors.Is(err, end) })
}

// ResultOf maps an error of the connection to how the attempt ended; spoilt are
// the errors of an answer that came and can't be read.
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
