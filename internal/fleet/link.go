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

// Link is a connection to one router's control plane.
type Link struct {
	Router
	times Times
	ctl   pb.ControlClient
	close func() error
}

// Connect prepares a link; the router is called first when something is asked.
func (f *File) Connect(r Router, files *certs.Files) (*Link, error) {
	ctl, shut, err := control.Dial(r.Control, r.Name, files)
	if err != nil {
		return nil, err
	}
	return &Link{Router: r, times: f.Times, ctl: ctl, close: shut}, nil
}

// Close closes the link.
func (l *Link) Close() { l.close() }

// Seen is a router's status, and by how much its clock is ahead of ours.
type Seen struct {
	*pb.Status
	Ahead, Way time.Duration // Way is how long asking took: Ahead is known to half of it
}

// Status asks for the status.
func (l *Link) Status(ctx context.Context) (*Seen, error) {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	from := time.Now()
	st, err := l.ctl.GetStatus(ctx, &pb.StatusRequest{})
	if err != nil {
		return nil, plain(err)
	}
	way := time.Since(from)
	return &Seen{Status: st, Way: way, Ahead: time.UnixMilli(st.WallUnixMs).Sub(from.Add(way / 2))}, nil
}

// plain leaves out how the call was made.
func plain(err error) error {
	s, ok := status.FromError(err)
	if !ok {
		return err
	}
	return fmt.Errorf("%s: %s", s.Code(), s.Message())
}

// NewID names a command so that no other has its name.
func NewID() string { return rand.Text() }

// Order is a command for one router.
type Order struct {
	Op      pb.Command_Op
	ID      string
	Limit   time.Duration // 0: the fleet file's
	Release string
	NoWait  bool // a restart is done when the successor serves; its predecessor may still end
}

func (o *Order) name() string {
	return [...]string{"none", "drain", "resume", "reload", "stop", "restart"}[o.Op]
}

// Progress hears how a command goes on.
type Progress func(router, state string, open int)

// Do gives a command and follows it to its end, or to the end of what can be known.
func (l *Link) Do(ctx context.Context, o Order, progress Progress) Report {
	from := time.Now()
	r := Report{Router: l.Name, Op: o.name()}
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
		l.carry(ctx, o, before, &r, progress)
	}
	r.TookMs = time.Since(from).Milliseconds()
	return r
}

// carry sends the command to a router that was just seen.
func (l *Link) carry(ctx context.Context, o Order, before *Seen, r *Report, progress Progress) {
	whole := o.Limit + l.times.Hang
	if o.Op == pb.Command_RESTART || o.Op == pb.Command_RELOAD {
		whole = l.times.Start + l.times.Hang
	}
	callCtx, cancel := context.WithTimeout(ctx, whole)
	defer cancel()
	res, err := l.send(callCtx, &pb.Command{Id: o.ID, Op: o.Op, LimitMs: o.Limit.Milliseconds(), Release: o.Release}, progress)
	if err != nil {
		var asked bool
		if res, asked = l.afterBreak(ctx, o, before, r, err, progress); !asked {
			return
		}
	}
	l.judge(ctx, o, res, r, progress)
}

// send gives a command and waits for its result.
func (l *Link) send(ctx context.Context, c *pb.Command, progress Progress) (*pb.Result, error) {
	stream, err := l.ctl.Do(ctx, c)
	if err != nil {
		return nil, err
	}
	for {
		news, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, errors.New("the router ended the call without a result")
		}
		if err != nil {
			return nil, err
		}
		if p := news.GetProgress(); p != nil {
			progress(l.Name, p.State, int(p.Open))
		}
		if news.GetResult() != nil {
			return news.GetResult(), nil
		}
	}
}

// afterBreak finds out what became of a command that had no result. It is
// looked for under its id and never given again; asked is true with a result.
func (l *Link) afterBreak(ctx context.Context, o Order, before *Seen, r *Report, err error, progress Progress) (res *pb.Result, asked bool) {
	switch status.Code(err) {
	case codes.PermissionDenied, codes.Unauthenticated, codes.InvalidArgument, codes.Unimplemented:
		r.Outcome, r.Note = Refused, plain(err).Error()
		return nil, false
	case codes.DeadlineExceeded:
		r.Outcome = Unknown
		r.Note = fmt.Sprintf("process %d gave no result in its time: it may hang", before.Pid)
		return nil, false
	}
	r.Outcome, r.Note = Unknown, "broke off: "+plain(err).Error()
	progress(l.Name, "unknown", 0)
	end := time.Now().Add(l.times.Again)
	for wait := 50 * time.Millisecond; time.Now().Before(end) && ctx.Err() == nil; wait = min(2*wait, time.Second) {
		st, err := l.Status(ctx)
		if err != nil {
			pause(ctx, wait)
			continue
		}
		recall, cancel := context.WithTimeout(ctx, o.Limit+l.times.Hang)
		res, err := l.send(recall, &pb.Command{Id: o.ID, Recall: true}, progress)
		cancel()
		switch {
		case err == nil:
			return res, true
		case status.Code(err) == codes.NotFound && st.Boot == before.Boot:
			r.Outcome, r.Note = Refused, "the command did not arrive"
			return nil, false
		case status.Code(err) == codes.NotFound:
			// It died: what it had begun is lost, and what it had open is not known to anyone here.
			r.After, r.Note = st.Boot, fmt.Sprintf("died in the middle; seen again in another life, %s", st.State)
			return nil, false
		}
		pause(ctx, wait)
	}
	r.Note += "; not seen again"
	return nil, false
}

// recall asks whether the life that answers knows a command's result.
func (l *Link) recall(ctx context.Context, id string) (known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, l.times.Call)
	defer cancel()
	_, err = l.send(ctx, &pb.Command{Id: id, Recall: true}, func(string, string, int) {})
	if status.Code(err) == codes.NotFound {
		return false, nil
	}
	return err == nil, err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// judge takes a result. A restart's is checked at the successor: only what is
// seen there counts.
func (l *Link) judge(ctx context.Context, o Order, res *pb.Result, r *Report, progress Progress) {
	r.Note, r.Cut = res.Note, res.Cut
	if !res.Done {
		r.Outcome = Refused
		return
	}
	r.Outcome = Done
	if o.Op == pb.Command_RESTART {
		l.successor(ctx, o, r, progress)
	}
}

func (l *Link) successor(ctx context.Context, o Order, r *Report, progress Progress) {
	end := time.Now().Add(o.Limit + l.times.Hang)
	r.Outcome, r.Note = Unknown, "the successor was not seen"
	for ; time.Now().Before(end) && ctx.Err() == nil; pause(ctx, 100*time.Millisecond) {
		st, err := l.Status(ctx)
		if err != nil || st.Boot == r.Boot {
			continue
		}
		r.After = st.Boot
		// A life that took over by this restart, or from one that did, knows its result. One that does not was
		// started by someone else after a death: what was open at the dead one is lost.
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
