package attempt

import (
	"context"
	"errors"
	"slices"

	"gannethook"
)

// NotSent marks that a request was not written whole, so that nothing can have run.
type NotSent struct {
	Err   error
	Local bool // the reason lies on this machine, and tells nothing of the server
}

func (e NotSent) Error() string { return e.Err.Error() }

func (e NotSent) Unwrap() error { return e.Err }

// Ended maps an error of the connection to how the attempt ended; spoilt are
// the errors of an answer that came and can't be read.
func Ended(ctx context.Context, err error, spoilt ...error) Result {
	r := Result{Outcome: gannethook.Broken, Detail: err.Error(), Cut: true}
	var unsent NotSent
	switch {
	case errors.As(err, &unsent):
		r.Outcome, r.Cut = gannethook.ConnectFailed, false
		if unsent.Local {
			r.Outcome = gannethook.NotTried
		}
	case ctx.Err() != nil:
		r = Result{Outcome: gannethook.Cancelled, Detail: ctx.Err().Error(), Cut: true}
	case slices.ContainsFunc(spoilt, func(bad error) bool { return errors.Is(err, bad) }):
		r.Outcome = gannethook.Failed
	}
	return r
}
