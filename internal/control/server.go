// Package control is the operators' side of a router: gRPC on a unix socket
// and, with certificates on both sides, on TCP. It decides who may call what;
// what a command does is decided by package lifecycle.
package control

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"gannethook/internal/certs"
	pb "gannethook/internal/control/controlpb"
	"gannethook/internal/lifecycle"
)

// Router is what the control plane shows and commands. Its methods are safe
// for concurrent use.
type Router interface {
	Status() *pb.Status
	Sessions(most int) *pb.Sessions
	Engines(ctx context.Context) (*pb.Engines, error)
	Diff() *pb.Diff
	Command(ctx context.Context, c lifecycle.Command) (lifecycle.Result, error)
	Recall(ctx context.Context, id string) (lifecycle.Result, error) // of a command given before, or ErrNotKnown
	LogLevel(level string) (string, error)                           // "" only asks
	Tape() *Tape
}

// ErrNotKnown tells that no command of an id was given in this life of a router.
var ErrNotKnown = errors.New("no such command was given in this life")

// Bounds of the control plane. Operators and their tools are few.
const (
	maxMessage  = 1 << 20
	maxStreams  = 64
	maxID       = 128
	maxSessions = 10000
	newsEvery   = 200 * time.Millisecond
)

// Server serves a router's control plane.
type Server struct {
	pb.UnimplementedControlServer
	router Router
	plain  *grpc.Server
	secure *grpc.Server
	done   chan struct{}
}

// NewServer returns a server; certs may be nil where there is no TCP port.
func NewServer(r Router, files *certs.Files) *Server {
	s := &Server{router: r, done: make(chan struct{})}
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessage), grpc.MaxConcurrentStreams(maxStreams),
		grpc.ChainUnaryInterceptor(guardUnary), grpc.ChainStreamInterceptor(guardStream),
		grpc.ConnectionTimeout(5 * time.Second), grpc.WaitForHandlers(true),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 20 * time.Second, Timeout: 10 * time.Second})}
	s.plain = grpc.NewServer(opts...)
	pb.RegisterControlServer(s.plain, s)
	if files != nil {
		// Who may call is asked at each call; the handshake takes whom the authority has signed.
		tls := tlsconfig.MTLSServerConfig(files, files, tlsconfig.AuthorizeAny())
		s.secure = grpc.NewServer(append(opts, grpc.Creds(credentials.NewTLS(tls)))...)
		pb.RegisterControlServer(s.secure, s)
	}
	return s
}

// Serve serves the unix socket, or with secure the TCP port, until Stop.
func (s *Server) Serve(ln net.Listener, secure bool) error {
	srv := s.plain
	if secure {
		srv = s.secure
	}
	if err := srv.Serve(ln); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

// Turn takes no more connections; calls under way go on. The caller has handed
// the listeners to a successor or wants them closed.
func (s *Server) Turn() {
	for _, srv := range []*grpc.Server{s.plain, s.secure} {
		if srv != nil {
			go srv.GracefulStop()
		}
	}
}

// Stop ends everything; calls under way have a moment for their last words.
func (s *Server) Stop() {
	close(s.done)
	for _, srv := range []*grpc.Server{s.plain, s.secure} {
		if srv == nil {
			continue
		}
		t := time.AfterFunc(time.Second, srv.Stop)
		srv.GracefulStop()
		t.Stop()
	}
}

// GetStatus tells how the router is.
func (s *Server) GetStatus(context.Context, *pb.StatusRequest) (*pb.Status, error) {
	return s.router.Status(), nil
}

// ListSessions lists open sessions.
func (s *Server) ListSessions(_ context.Context, req *pb.SessionsRequest) (*pb.Sessions, error) {
	most := int(req.GetMost())
	if most <= 0 {
		most = 1000
	}
	return s.router.Sessions(min(most, maxSessions)), nil
}

// ListEngines lists engines as the router's module sees them.
func (s *Server) ListEngines(ctx context.Context, _ *pb.EnginesRequest) (*pb.Engines, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	list, err := s.router.Engines(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return list, nil
}

// DiffSettings compares the settings that run with the file's.
func (s *Server) DiffSettings(context.Context, *pb.DiffRequest) (*pb.Diff, error) {
	return s.router.Diff(), nil
}

// SetLogLevel sets or asks the log's level.
func (s *Server) SetLogLevel(_ context.Context, req *pb.LogLevel) (*pb.LogLevel, error) {
	level, err := s.router.LogLevel(req.GetLevel())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &pb.LogLevel{Level: level}, nil
}

// Do gives a command and streams how it goes. The command goes on if the caller leaves.
func (s *Server) Do(req *pb.Command, stream grpc.ServerStreamingServer[pb.News]) error {
	if req.GetId() == "" || len(req.GetId()) > maxID {
		return status.Errorf(codes.InvalidArgument, "a command has an id of 1 to %d bytes", maxID)
	}
	if !req.GetRecall() && req.GetOp() <= pb.Command_NONE || req.GetOp() > pb.Command_RESTART || req.GetLimitMs() < 0 {
		return status.Error(codes.InvalidArgument, "no such command")
	}
	boot := s.router.Status().GetBoot()
	type end struct {
		r   lifecycle.Result
		err error
	}
	ended := make(chan end, 1)
	go func() {
		if req.GetRecall() {
			r, err := s.router.Recall(stream.Context(), req.GetId())
			ended <- end{r, err}
			return
		}
		r, err := s.router.Command(stream.Context(), lifecycle.Command{ID: req.GetId(), Op: lifecycle.Op(req.GetOp()),
			Limit: time.Duration(req.GetLimitMs()) * time.Millisecond, Release: req.GetRelease()})
		ended <- end{r, err}
	}()
	tick := time.NewTicker(newsEvery)
	defer tick.Stop()
	for {
		select {
		case e := <-ended:
			if errors.Is(e.err, ErrNotKnown) {
				return status.Error(codes.NotFound, e.err.Error())
			}
			if e.err != nil {
				return status.Error(codes.Unavailable, e.err.Error())
			}
			return stream.Send(&pb.News{Result: &pb.Result{Done: e.r.Done, Cut: e.r.Cut, Note: e.r.Note, Boot: boot}})
		case <-tick.C:
			st := s.router.Status()
			if err := stream.Send(&pb.News{Progress: &pb.Progress{State: st.State, Sessions: st.Sessions, Open: st.Open}}); err != nil {
				return err
			}
		}
	}
}

// Tail streams events.
func (s *Server) Tail(req *pb.TailRequest, stream grpc.ServerStreamingServer[pb.Event]) error {
	after := req.GetAfter()
	for {
		list, more := s.router.Tape().After(after)
		for _, e := range list {
			if err := stream.Send(e); err != nil {
				return err
			}
			after = e.GetNumber()
		}
		if !req.GetFollow() {
			return nil
		}
		select {
		case <-more:
		case <-s.done:
			return nil
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}
