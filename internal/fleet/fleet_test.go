package fleet

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "gannethook/internal/control/controlpb"
	"gannethook/internal/rollout"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const fleetText = `(fleet f) (router a (at "unix:/tmp/a") (centre north) (labels blue)) (router b (at "unix:/tmp/b") (centre south))
(router c (at "unix:/tmp/c") (centre south) (labels blue))`

func TestFile(t *testing.T) {
	for change, want := range map[string]string{
		"":                                     "",
		`(router a (at "unix:/x") (centre n))`: "f:3:1: router \"a\" is given twice",
		`(router "a=b" (at "unix:/x") (centre n))`:            `f:3:1: router "a=b": a name must not contain =, / or space`,
		`(router d (at "unix:") (centre n))`:                  "f:3:1: (at ...): unix: needs a path",
		`(router d (at "here") (centre n))`:                   `f:3:1: (at ...): "here" is neither unix:PATH nor host:port`,
		`(router d (at "h:1") (centre n))`:                    "f:1:1: routers at host:port need (domain ...), (cert ...), (key ...) and (authority ...)",
		`(router d (centre n))`:                               "f:3:1: (at ...) is missing",
		`(rollout (share 1.5))`:                               "f:1:1: (rollout ...): share, centre-share and service must be at most 1",
		`(rollout (share 0.5) (centre-share 0) (silence 1s))`: "f:1:1: (rollout ...): look must be above 0, and silence at least twice look",
		`(rolout (share 0.5))`:                                `f:3:2: "rolout" is not known here; is "rollout" meant?`,
	} {
		text := fleetText + "\n" + change
		_, err := Parse("f", text)
		if want == "" && err != nil || want != "" && (err == nil || err.Error() != want) {
			t.Errorf("%s: %v; want %s", change, err, want)
		}
	}
}

func TestPossible(t *testing.T) {
	f, err := Parse("f", fleetText)
	if err != nil {
		t.Fatal(err)
	}
	want := "f:1:1: (rollout ...): a, b, c can't be restarted within share, centre-share and down"
	if err := f.CheckFeasible(f.Routers); err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
	if f.Rollout.Share, f.Rollout.CentreShare = 0.6, 0; f.CheckFeasible(f.Routers) != nil {
		t.Error(f.CheckFeasible(f.Routers))
	}
}

func TestPick(t *testing.T) {
	f, err := Parse("f", fleetText)
	if err != nil {
		t.Fatal(err)
	}
	for words, want := range map[string]string{"all": "abc", "b": "b", "c a": "ac", "centre=south": "bc", "label=blue": "ac",
		"label=blue b": "abc", "d": `no router of fleet f is "d"`, "a centre=west": `no router of fleet f is "centre=west"`} {
		list, err := f.Select(strings.Fields(words))
		got := ""
		for _, r := range list {
			got += r.Name
		}
		if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%s: %s, want %s", words, got, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(fleetText)
	f.Add(`(fleet f) (router a (at "h:1") (centre n)) (domain d) (cert c) (key k) (authority a) (rollout (down 0))`)
	f.Fuzz(func(t *testing.T, in string) {
		if _, err := Parse("f", in); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Fatalf("the error has no file position: %v", err)
		}
	})
}

// fakeRouter is a scripted control plane. handle answers commands without a
// stored result that are not recalls.
type fakeRouter struct {
	pb.UnimplementedControlServer
	mu         sync.Mutex
	status     pb.Status
	clockAhead time.Duration
	results    map[string]bool // ids of commands with a result, which recalls find
	handle     func(r *fakeRouter, c *pb.Command, stream grpc.ServerStreamingServer[pb.News]) error
	commands   int
	server     *grpc.Server
	path       string
}

func (r *fakeRouter) GetStatus(context.Context, *pb.StatusRequest) (*pb.Status, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st := pb.Status{Name: r.status.Name, Boot: r.status.Boot, State: r.status.State, Release: r.status.Release, Pid: r.status.Pid, Predecessor: r.status.Predecessor}
	st.WallUnixMs = time.Now().Add(r.clockAhead).UnixMilli()
	return &st, nil
}

func (r *fakeRouter) Do(c *pb.Command, stream grpc.ServerStreamingServer[pb.News]) error {
	r.mu.Lock()
	known := r.results[c.Id]
	if !c.Recall {
		r.commands++
	}
	r.mu.Unlock()
	if c.Recall && !known {
		return status.Error(codes.NotFound, "no such command")
	}
	if known {
		return stream.Send(&pb.News{Result: &pb.Result{Done: true}})
	}
	return r.handle(r, c, stream)
}

func (r *fakeRouter) change(f func(r *fakeRouter)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func serve(t *testing.T, r *fakeRouter) *ControlClient {
	t.Helper()
	r.path = filepath.Join(t.TempDir(), "s")
	r.results = map[string]bool{}
	r.status.Name, r.status.Boot, r.status.State, r.status.Pid = "a", "boot-1", "ready", 7
	r.listen(t)
	t.Cleanup(func() { r.server.Stop() })
	f := defaults()
	f.Times = Times{Call: 300 * time.Millisecond, Drain: 300 * time.Millisecond, Start: 300 * time.Millisecond,
		Hang: 100 * time.Millisecond, Again: 600 * time.Millisecond}
	l, err := f.Connect(Router{Name: "a", Control: "unix:" + r.path}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func (r *fakeRouter) listen(t *testing.T) {
	t.Helper()
	os.Remove(r.path)
	ln, err := net.Listen("unix", r.path)
	if err != nil {
		t.Fatal(err)
	}
	r.server = grpc.NewServer()
	pb.RegisterControlServer(r.server, r)
	go r.server.Serve(ln)
}

var errBroken = status.Error(codes.Unavailable, "cut")

func completeCommand(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
	return s.Send(&pb.News{Result: &pb.Result{Done: true}})
}

// The outcome that the tool reports for each way a router can handle a command. A command is sent once.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name string
		op   pb.Command_Op
		do   func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error
		want Outcome
		note string
	}{
		{"it does it", pb.Command_DRAIN, completeCommand, Done, ""},
		{"it says no", pb.Command_DRAIN, func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
			return s.Send(&pb.News{Result: &pb.Result{Note: "the router is stopping"}})
		}, Refused, "the router is stopping"},
		{"the caller may not", pb.Command_DRAIN, func(*fakeRouter, *pb.Command, grpc.ServerStreamingServer[pb.News]) error {
			return status.Error(codes.PermissionDenied, "no")
		}, Refused, "PermissionDenied: no"},
		{"it hangs", pb.Command_DRAIN, func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
			<-s.Context().Done()
			return s.Context().Err()
		}, Unknown, "process 7 gave no result in its time: it may hang"},
		{"the call breaks, the result is there", pb.Command_DRAIN, func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
			r.change(func(r *fakeRouter) { r.results[c.Id] = true })
			return errBroken
		}, Done, ""},
		{"the call breaks before the command arrives", pb.Command_DRAIN, func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
			return errBroken
		}, Refused, "the command did not arrive"},
		{"it dies and is back", pb.Command_DRAIN, func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
			r.change(func(r *fakeRouter) { r.status.Boot = "boot-2" })
			return errBroken
		}, Unknown, "died in the middle; seen again in another life, ready"},
		{"it dies and stays away", pb.Command_DRAIN, func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
			go r.server.Stop()
			<-s.Context().Done()
			return errBroken
		}, Unknown, "not seen again"},
		{"a restart", pb.Command_RESTART, func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
			r.change(func(r *fakeRouter) { r.status.Boot, r.results[c.Id] = "boot-2", true })
			return completeCommand(r, c, s)
		}, Done, ""},
		{"a restart that nobody sees", pb.Command_RESTART, completeCommand, Unknown, "the successor was not seen"},
		{"a restart, and a death after it", pb.Command_RESTART, func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
			r.change(func(r *fakeRouter) { r.status.Boot = "boot-3" })
			return completeCommand(r, c, s)
		}, Unknown, "died after the hand-over; seen again in another life, ready"},
		{"a predecessor that does not end", pb.Command_RESTART, func(r *fakeRouter, c *pb.Command, s grpc.ServerStreamingServer[pb.News]) error {
			r.change(func(r *fakeRouter) {
				r.status.Boot, r.results[c.Id], r.status.Predecessor = "boot-2", true, &pb.Predecessor{Pid: 7}
			})
			return completeCommand(r, c, s)
		}, Unknown, "the successor serves, but process 7 has not ended in its time: it may hang"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := &fakeRouter{handle: c.do}
			l := serve(t, r)
			got := l.Do(context.Background(), Command{Op: c.op, ID: NewCommandID()}, func(string, string, int) {})
			if got.Outcome != c.want || !strings.HasSuffix(got.Note, c.note) || (c.note == "") != (got.Note == "") {
				t.Errorf("%v, want %v: %s", got, c.want, c.note)
			}
			r.change(func(r *fakeRouter) {
				if r.commands != 1 {
					t.Errorf("the command was sent %d times, want once", r.commands)
				}
			})
		})
	}
}

func TestNotSent(t *testing.T) {
	r := &fakeRouter{handle: completeCommand}
	l := serve(t, r)
	r.change(func(r *fakeRouter) { r.status.Name = "other" })
	if got := l.Do(context.Background(), Command{Op: pb.Command_DRAIN, ID: NewCommandID()}, nil); got.Outcome != Refused || r.commands > 0 {
		t.Errorf("%v: a router of another name got the command %d times", got, r.commands)
	}
	r.server.Stop()
	if got := l.Do(context.Background(), Command{Op: pb.Command_DRAIN, ID: NewCommandID()}, nil); got.Outcome != Unreachable {
		t.Errorf("%v, want unreachable", got)
	}
}

// A router's clock that is 5 s ahead is shown, and does not affect the outcome of commands.
func TestSkew(t *testing.T) {
	r := &fakeRouter{handle: completeCommand, clockAhead: 5 * time.Second}
	l := serve(t, r)
	st, err := l.Status(context.Background())
	if err != nil || st.ClockAhead < 4900*time.Millisecond || st.ClockAhead > 5100*time.Millisecond || clockOffset(st) != "+5.0s" {
		t.Fatalf("%v, %+v", err, st)
	}
	if got := l.Do(context.Background(), Command{Op: pb.Command_DRAIN, ID: NewCommandID()}, nil); got.Outcome != Done {
		t.Error(got)
	}
}

func TestJudge(t *testing.T) {
	for kinds, want := range map[string]int{"d": 0, "dd": 0, "dr": ExitPartly, "du": ExitUnknown, "rr": ExitRefused,
		"xx": ExitUnreachable, "xr": ExitPartly, "dux": ExitUnknown, "u": ExitUnknown} {
		var list []Report
		for _, k := range kinds {
			list = append(list, Report{Outcome: map[rune]Outcome{'d': Done, 'r': Refused, 'u': Unknown, 'x': Unreachable}[k]})
		}
		err := ExitStatus(list)
		var e *ExitError
		if got := 0; errors.As(err, &e) && e.Code != want || err == nil && got != want {
			t.Errorf("%s: %v, want %d", kinds, err, want)
		}
	}
}

// A journal truncated at any byte is read up to its last complete line and can be
// continued; a second run of the tool can't open it.
func TestJournal(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "j")
	j, err := OpenJournal(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenJournal(path); !errors.Is(err, errLocked) {
		t.Errorf("second run of the tool: %v", err)
	}
	j.Begin(Head{ID: "x", Release: "v2", Routers: []string{"a", "b"}})
	j.Append(rollout.Entry{Kind: "restart", Router: "a", ID: "x/a/1", Was: "boot-1"})
	j.Append(rollout.Entry{Kind: "done", Router: "a"})
	j.Close()
	text, _ := os.ReadFile(path)
	for n := range len(text) + 1 {
		truncated := filepath.Join(dir, "cut")
		os.WriteFile(truncated, text[:n], 0o644)
		j, err := OpenJournal(truncated)
		if err != nil {
			t.Fatalf("truncated at %d: %v", n, err)
		}
		if lines := bytes.Count(text[:n], []byte("\n")); j.Open() != (lines > 0) || len(j.Entries) != max(lines-1, 0) {
			t.Errorf("truncated at %d: %d entries of %d lines", n, len(j.Entries), lines)
		}
		if j.Open() {
			j.End("all done")
		}
		j.Close()
		if j, err = OpenJournal(truncated); err != nil || j.Open() {
			t.Errorf("truncated at %d and ended: %v", n, err)
		}
		j.Close()
	}
	os.WriteFile(path, []byte("{}\nnonsense\n"), 0o644)
	if _, err := OpenJournal(path); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("malformed line: %v", err)
	}
}
