package workers

import (
	"context"
	"errors"

	"gannethook/internal/attempt"
)

// Hold asks a writer for a place, once the read's last byte is on its way:
// a worker that knows of no read can't hold one.
func (c *Client) Hold(ctx context.Context, call *attempt.Call, _ string) attempt.PlaceResult {
	if !call.Written.Wait(ctx) {
		return attempt.Denied // nothing was asked
	}
	ctx, cancel := context.WithTimeout(ctx, c.lim.Load().ReservationTimeout)
	defer cancel()
	x, err := c.open(ctx, call.Addr, "POST", HoldsPath+call.Key, &attempt.Call{Key: call.Key})
	var unsent attempt.NotSent
	switch {
	case errors.As(err, &unsent):
		return attempt.Denied
	case err != nil:
		return attempt.NoAnswer
	}
	status := x.res.Status
	if x.discard() != nil {
		return attempt.NoAnswer
	}
	switch status {
	case 200:
		return attempt.Granted
	case 404, 409:
		return attempt.Denied
	}
	return attempt.Unknown
}
