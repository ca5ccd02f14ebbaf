// Package control is the control plane of a router for operators: gRPC on a unix
// socket and, with mutual TLS, on TCP. It authorizes the calls and keeps the log of
// recent events; package lifecycle decides what a command does.
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

// Router is the router that the control plane shows and commands. Its methods are
// safe for concurrent use.
type Router interface {
	Status() *pb.Status
	Sessions(most int) *pb.Sessions
	Engines(ctx context.Context) (*pb.Engines, error)
	Diff() *pb.Diff
	Command(ctx context.Context, c lifecycle.Command) (lifecycle.Result, error)
	Recall(ctx context.Context, id string) (lifecycle.Result, error) // waits for the result of an earlier command, or ErrCommandNotFound
	LogLevel(level string) (string, error)                           // sets the level unless it is "", and returns the present one
	Events() *EventLog
}

// ErrCommandNotFound means that no command of the ID is known to this process.
var ErrCommandNotFound = errors.New("no such command was given in this life")

// Bounds of the control plane. They are small because there are few operators and tools.
const (
	maxMessage       = 1 << 20                // bytes of a gRPC message
	maxStreams       = 64                     // concurrent calls on a connection
	maxID            = 128                    // bytes of a command's ID
	maxSessions      = 10000                  // sessions in an answer to ListSessions
	progressInterval = 200 * time.Millisecond // between two Progress messages of a command
)

// Server serves a router's control plane.
type Server struct {
	pb.UnimplementedControlServer
	router     Router
	unixServer *grpc.Server
	tcpServer  *grpc.Server
	done       chan struct{}
}

// NewServer returns a server; files may be nil if there is no TCP port.
func NewServer(r Router, files *certs.Files) *Server {
	s := &Server{router: r, done: make(chan struct{})}
	opts := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxMessage), grpc.MaxConcurrentStreams(maxStreams),
		grpc.ChainUnaryInterceptor(authorizeUnary), grpc.ChainStreamInterceptor(authorizeStream),
		grpc.ConnectionTimeout(5 * time.Second), grpc.WaitForHandlers(true),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 20 * time.Second, Timeout: 10 * time.Second})}
	s.unixServer = grpc.NewServer(opts...)
	pb.RegisterControlServer(s.unixServer, s)
	if files != nil {
		// The handshake accepts every certificate of the authority; roles are checked at each call.
		tls := tlsconfig.MTLSServerConfig(files, files, tlsconfig.AuthorizeAny())
		s.tcpServer = grpc.NewServer(append(opts, grpc.Creds(credentials.NewTLS(tls)))...)
		pb.RegisterControlServer(s.tcpServer, s)
	}
	return s
}

// Serve serves a listener until Stop: the unix socket, or with secure set the TCP port.
func (s *Server) Serve(ln net.Listener, secure bool) error {
	srv := s.unixServer
	if secure {
		srv = s.tcpServer
	}
	if err := srv.Serve(ln); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
		return err
	}
	return nil
}

// StopAccepting accepts no new connections and calls and lets calls in progress
// finish. A successor that has copies of the listeners goes on accepting.
func (s *Server) StopAccepting() {
	for _, srv := range []*grpc.Server{s.unixServer, s.tcpServer} {
		if srv != nil {
			go srv.GracefulStop()
		}
	}
}

// Stop ends Tail calls and both servers; on each, the other calls in progress have 1 s to finish.
func (s *Server) Stop() {
	close(s.done)
	for _, srv := range []*grpc.Server{s.unixServer, s.tcpServer} {
		if srv == nil {
			continue
		}
		timer := time.AfterFunc(time.Second, srv.Stop)
		srv.GracefulStop()
		timer.Stop()
	}
}

// GetStatus returns the status of the router.
func (s *Server) GetStatus(context.Context, *pb.StatusRequest) (*pb.Status, error) {
	return s.router.Status(), nil
}

// ListSessions lists open sessions, 1000 unless the request has a limit.
func (s *Server) ListSessions(_ context.Context, req *pb.SessionsRequest) (*pb.Sessions, error) {
	limit := int(req.GetMost())
	if limit <= 0 {
		limit = 1000
	}
	return s.router.Sessions(min(limit, maxSessions)), nil
}

// ListEngines lists the engines with the module's view of them.
func (s *Server) ListEngines(ctx context.Context, _ *pb.EnginesRequest) (*pb.Engines, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	list, err := s.router.Engines(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return list, nil
}

// DiffSettings compares the settings in force with the settings file.
func (s *Server) DiffSettings(context.Context, *pb.DiffRequest) (*pb.Diff, error) {
	return s.router.Diff(), nil
}

// SetLogLevel sets the log level if the request has one, and returns the level.
func (s *Server) SetLogLevel(_ context.Context, req *pb.LogLevel) (*pb.LogLevel, error) {
	level, err := s.router.LogLevel(req.GetLevel())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return &pb.LogLevel{Level: level}, nil
}

// Do executes a command and streams its progress and its result. The command continues if the caller disconnects.
func (s *Server) Do(req *pb.Command, stream grpc.ServerStreamingServer[pb.News]) error {
	if req.GetId() == "" || len(req.GetId()) > maxID {
		return status.Errorf(codes.InvalidArgument, "a command has an id of 1 to %d bytes", maxID)
	}
	if !req.GetRecall() && req.GetOp() <= pb.Command_NONE || req.GetOp() > pb.Command_RESTART || req.GetLimitMs() < 0 {
		return status.Error(codes.InvalidArgument, "no such command")
	}
	boot := s.router.Status().GetBoot()
	type outcome struct {
		r   lifecycle.Result
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		if req.GetRecall() {
			r, err := s.router.Recall(stream.Context(), req.GetId())
			done <- outcome{r, err}
			return
		}
		r, err := s.router.Command(stream.Context(), lifecycle.Command{ID: req.GetId(), Op: lifecycle.Op(req.GetOp()),
			Limit: time.Duration(req.GetLimitMs()) * time.Millisecond, Release: req.GetRelease()})
		done <- outcome{r, err}
	}()
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case o := <-done:
			if errors.Is(o.err, ErrCommandNotFound) {
				return status.Error(codes.NotFound, o.err.Error())
			}
			if o.err != nil {
				return status.Error(codes.Unavailable, o.err.Error())
			}
			return stream.Send(&pb.News{Result: &pb.Result{Done: o.r.Done, Cut: o.r.Cut, Note: o.r.Note, Boot: boot}})
		case <-tick.C:
			st := s.router.Status()
			if err := stream.Send(&pb.News{Progress: &pb.Progress{State: st.State, Sessions: st.Sessions, Open: st.Open}}); err != nil {
				return err
			}
		}
	}
}

// Tail streams the events after a number, and with Follow set the new ones as they come.
func (s *Server) Tail(req *pb.TailRequest, stream grpc.ServerStreamingServer[pb.Event]) error {
	after := req.GetAfter()
	for {
		events, changed := s.router.Events().After(after)
		for _, e := range events {
			if err := stream.Send(e); err != nil {
				return err
			}
			after = e.GetNumber()
		}
		if !req.GetFollow() {
			return nil
		}
		select {
		case <-changed:
		case <-s.done:
			return nil
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}
