package control

import (
	"context"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	pb "gannethook/internal/control/controlpb"
)

// Role is a set of permissions of a caller.
type Role string

// The roles. A certificate's SPIFFE ID has the role as the first segment of its
// path: spiffe://fleet.example/operator/night-shift.
const (
	ReadOnly   Role = "read-only" // may make the calls that change nothing
	Operator   Role = "operator"  // may make all calls
	RouterRole Role = "router"    // of a router's own certificate; may make no calls
)

// requiredRole returns the least role that may call a method.
func requiredRole(method string) Role {
	switch method {
	case pb.Control_Do_FullMethodName, pb.Control_SetLogLevel_FullMethodName:
		return Operator
	}
	return ReadOnly
}

// RoleOf returns the role in an ID, or "" if it has none.
func RoleOf(id spiffeid.ID) Role {
	path := id.Path()
	for _, r := range []Role{ReadOnly, Operator, RouterRole} {
		if prefix := "/" + string(r) + "/"; len(path) > len(prefix) && path[:len(prefix)] == prefix {
			return r
		}
	}
	return ""
}

// authorize returns an error if the caller may not call the method. On the unix
// socket the permissions of the file decide: a caller that can open it is an operator.
func authorize(ctx context.Context, method string, now time.Time) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return status.Error(codes.Unauthenticated, "no peer")
	}
	if p.Addr.Network() == "unix" {
		return nil
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return status.Error(codes.Unauthenticated, "no certificate")
	}
	cert := info.State.PeerCertificates[0]
	// TLS checks the certificate only at the handshake, and the connection may outlive it. If a caller renews its
	// certificate too late, its next call fails; a command that it gave before continues.
	if now.After(cert.NotAfter) {
		return status.Errorf(codes.Unauthenticated, "the certificate ended %v ago", now.Sub(cert.NotAfter).Round(time.Second))
	}
	id, err := x509svid.IDFromCert(cert)
	if err != nil {
		return status.Error(codes.Unauthenticated, err.Error())
	}
	if r := RoleOf(id); r != Operator && !(r == ReadOnly && requiredRole(method) == ReadOnly) {
		return status.Errorf(codes.PermissionDenied, "%s may not call %s", id, method)
	}
	return nil
}

func authorizeUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := authorize(ctx, info.FullMethod, time.Now()); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func authorizeStream(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := authorize(ss.Context(), info.FullMethod, time.Now()); err != nil {
		return err
	}
	return next(srv, ss)
}
