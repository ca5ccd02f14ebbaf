package fleet

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gannethook/internal/certs"
	"gannethook/internal/control"
	pb "gannethook/internal/control/controlpb"
)

// ControlClient is a client of one router's control plane.
type ControlClient struct {
	Router
	times Times
	ctl   pb.ControlClient
	close func() error
}

// Connect returns a link to a router. It connects on the first call.
func (f *File) Connect(r Router, files *certs.Files) (*ControlClient, error) {
	ctl, shut, err := control.Dial(r.Control, r.Name, files)
	if err != nil {
		return nil, err
	}
	return &ControlClient{Router: r, times: f.Times, ctl: ctl, close: shut}, nil
}

// Close closes the link.
func (l *ControlClient) Close() { l.close() }

// RouterStatus is a router's status with an estimate of its clock's offset.
type RouterStatus struct {
	*pb.Status
	ClockAhead, RoundTrip time.Duration // ClockAhead is exact to half of RoundTrip
}

// Status queries the router's status.
func (l *ControlClient) Status(ctx context.Context) (*RouterStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	start := time.Now()
	st, err := l.ctl.GetStatus(ctx, &pb.StatusRequest{})
	if err != nil {
		return nil, withoutCallInfo(err)
	}
	roundTrip := time.Since(start)
	return &RouterStatus{Status: st, RoundTrip: roundTrip, ClockAhead: time.UnixMilli(st.WallUnixMs).Sub(start.Add(roundTrip / 2))}, nil
}

// withoutCallInfo reduces a gRPC error to its code and message.
func withoutCallInfo(err error) error {
	s, ok := status.FromError(err)
	if !ok {
		return err
	}
	return fmt.Errorf("%s: %s", s.Code(), s.Message())
}

// NewCommandID returns a unique command id.
func NewCommandID() string { return rand.Text() }

// Command is a command to a router.
type Command struct {
	Op      pb.Command_Op
	ID      string
	Limit   time.Duration // for open requests to end; 0: (times (drain ...)) of the fleet file
	Release string
	NoWait  bool // a restart is Done once the successor serves, while the predecessor may still drain
}

func (o *Command) opName() string {
	return [...]string{"none", "drain", "resume", "reload", "stop", "restart"}[o.Op]
}

// ProgressFunc is called with the progress of a command: the router's state and its number of open requests.
type ProgressFunc func(router, state string, open int)

// Do sends a command and waits for its outcome. If the call breaks, it queries the router for the result
// until (times (again ...)) is over.
func (l *ControlClient) Do(ctx context.Context, o Command, progress ProgressFunc) Report {
	start := time.Now()
	r := Report{Router: l.Name, Op: o.opName()}
	if o.Limit <= 0 {
		o.Limit = l.times.Drain
	}
	before, err := l.Status(ctx)
	switch {
	case err == nil && before.Name != l.Name:
		r.Outcome, r.Note = Refused, fmt.Sprintf("the router there calls itself %q; nothing was sent", before.Name)
	case err != nil:
		r.Outcome, r.Note = Unreachable, err.Error()
	default:
		r.Boot = before.Boot
		l.execute(ctx, o, before, &r, progress)
	}
	r.TookMs = time.Since(start).Milliseconds()
	return r
}

// execute sends the command to a router whose status is before, and completes the report.
func (l *ControlClient) execute(ctx context.Context, o Command, before *RouterStatus, r *Report, progress ProgressFunc) {
	timeout := o.Limit + l.times.Hang
	if o.Op == pb.Command_RESTART || o.Op == pb.Command_RELOAD {
		timeout = l.times.Start + l.times.Hang
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := l.send(callCtx, &pb.Command{Id: o.ID, Op: o.Op, LimitMs: o.Limit.Milliseconds(), Release: o.Release}, progress)
	if err != nil {
		var known bool
		if res, known = l.recoverResult(ctx, o, before, r, err, progress); !known {
			return
		}
	}
	l.evaluate(ctx, o, res, r, progress)
}

// send makes the call of a command and returns its result.
func (l *ControlClient) send(ctx context.Context, c *pb.Command, progress ProgressFunc) (*pb.Result, error) {
	stream, err := l.ctl.Do(ctx, c)
	if err != nil {
		return nil, err
	}
	for {
		msg, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, errors.New("the router ended the call without a result")
		}
		if err != nil {
			return nil, err
		}
		if p := msg.GetProgress(); p != nil {
			progress(l.Name, p.State, int(p.Open))
		}
		if msg.GetResult() != nil {
			return msg.GetResult(), nil
		}
	}
}

// recoverResult determines the outcome of a command whose call failed. It queries
// the result by the command's id and never sends the command again. known reports
// whether res is valid; otherwise the report has the outcome.
func (l *ControlClient) recoverResult(ctx context.Context, o Command, before *RouterStatus, r *Report, err error, progress ProgressFunc) (res *pb.Result, known bool) {
	switch status.Code(err) {
	case codes.PermissionDenied, codes.Unauthenticated, codes.InvalidArgument, codes.Unimplemented:
		r.Outcome, r.Note = Refused, withoutCallInfo(err).Error()
		return nil, false
	case codes.DeadlineExceeded:
		r.Outcome = Unknown
		r.Note = fmt.Sprintf("process %d gave no result in its time: it may hang", before.Pid)
		return nil, false
	}
	r.Outcome, r.Note = Unknown, "broke off: "+withoutCallInfo(err).Error()
	progress(l.Name, "unknown", 0)
	deadline := time.Now().Add(l.times.Again)
	for wait := 50 * time.Millisecond; time.Now().Before(deadline) && ctx.Err() == nil; wait = min(2*wait, time.Second) {
		st, err := l.Status(ctx)
		if err != nil {
			sleep(ctx, wait)
			continue
		}
		recallCtx, cancel := context.WithTimeout(ctx, o.Limit+l.times.Hang)
		res, err := l.send(recallCtx, &pb.Command{Id: o.ID, Recall: true}, progress)
		cancel()
		switch {
		case err == nil:
			return res, true
		case status.Code(err) == codes.NotFound && st.Boot == before.Boot:
			r.Outcome, r.Note = Refused, "the command did not arrive"
			return nil, false
		case status.Code(err) == codes.NotFound:
			// Another incarnation without the result: the router crashed, and its open requests are lost.
			r.BootAfter, r.Note = st.Boot, fmt.Sprintf("died in the middle; seen again in another life, %s", st.State)
			return nil, false
		}
		sleep(ctx, wait)
	}
	r.Note += "; not seen again"
	return nil, false
}

// recall reports whether the incarnation that answers has a command's result.
func (l *ControlClient) recall(ctx context.Context, id string) (known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	_, err = l.send(ctx, &pb.Command{Id: id, Recall: true}, func(string, string, int) {})
	if status.Code(err) == codes.NotFound {
		return false, nil
	}
	return err == nil, err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// evaluate turns a result into the report's outcome. A successful restart is Done
// only once the successor confirms it.
func (l *ControlClient) evaluate(ctx context.Context, o Command, res *pb.Result, r *Report, progress ProgressFunc) {
	r.Note, r.Cut = res.Note, res.Cut
	if !res.Done {
		r.Outcome = Refused
		return
	}
	r.Outcome = Done
	if o.Op == pb.Command_RESTART {
		l.awaitSuccessor(ctx, o, r, progress)
	}
}

// awaitSuccessor waits for the successor of a restart, and unless NoWait for the end of its predecessor.
func (l *ControlClient) awaitSuccessor(ctx context.Context, o Command, r *Report, progress ProgressFunc) {
	deadline := time.Now().Add(o.Limit + l.times.Hang)
	r.Outcome, r.Note = Unknown, "the successor was not seen"
	for ; time.Now().Before(deadline) && ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		st, err := l.Status(ctx)
		if err != nil || st.Boot == r.Boot {
			continue
		}
		r.BootAfter = st.Boot
		// Results are handed over from predecessor to successor. An incarnation without this result was
		// started by a supervisor after a crash, and the requests open at the crashed one are lost.
		if known, err := l.recall(ctx, o.ID); err != nil {
			continue
		} else if !known {
			r.Note = "died after the hand-over; seen again in another life, " + st.State
			return
		}
		if o.Release != "" && st.Release != o.Release {
			r.Note = fmt.Sprintf("another life is seen, on release %q", st.Release)
			return
		}
		p := st.Predecessor
		if p == nil || o.NoWait {
			r.Outcome, r.Note = Done, ""
			return
		}
		progress(l.Name, "predecessor ends", int(p.Open))
		r.Note = fmt.Sprintf("the successor serves, but process %d has not ended in its time: it may hang", p.Pid)
	}
}
