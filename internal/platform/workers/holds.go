package workers

import (
	"context"
	"errors"

	"gannethook/internal/attempt"
)

// Hold requests a place at a writer, once the last byte of the read has been written:
// a worker refuses a place for a request whose read it does not know.
func (c *Client) Hold(ctx context.Context, call *attempt.Call, _ string) attempt.PlaceResult {
	if !call.Written.Wait(ctx) {
		return attempt.Denied // nothing was sent
	}
	ctx, cancel := context.WithTimeout(ctx, c.limits.Load().ReservationTimeout)
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
