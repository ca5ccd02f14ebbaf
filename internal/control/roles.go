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

// Role is what a caller may do.
type Role string

// The roles. A certificate's id has its role as the first part of its path:
// spiffe://fleet.example/operator/night-shift.
const (
	ReadOnly Role = "read-only"
	Operator Role = "operator"
	AsRouter Role = "router" // a router's own certificate; it may call nothing
)

// needs is the role that a call takes.
func needs(method string) Role {
	switch method {
	case pb.Control_Do_FullMethodName, pb.Control_SetLogLevel_FullMethodName:
		return Operator
	}
	return ReadOnly
}

// RoleOf reads the role from an id.
func RoleOf(id spiffeid.ID) Role {
	path := id.Path()
	for _, r := range []Role{ReadOnly, Operator, AsRouter} {
		if prefix := "/" + string(r) + "/"; len(path) > len(prefix) && path[:len(prefix)] == prefix {
			return r
		}
	}
	return ""
}

// allow decides whether the caller may make a call. On the unix socket the
// file's permissions have decided: whoever may open it is an operator.
func allow(ctx context.Context, method string, now time.Time) error {
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
	// Guards against a connection that outlives its certificate: TLS looks at it once. Harms a call under way
	// of an operator whose rotation is late: the next call fails, its command goes on.
	if now.After(cert.NotAfter) {
		return status.Errorf(codes.Unauthenticated, "the certificate ended %v ago", now.Sub(cert.NotAfter).Round(time.Second))
	}
	id, err := x509svid.IDFromCert(cert)
	if err != nil {
		return status.Error(codes.Unauthenticated, err.Error())
	}
	if r := RoleOf(id); r != Operator && !(r == ReadOnly && needs(method) == ReadOnly) {
		return status.Errorf(codes.PermissionDenied, "%s may not call %s", id, method)
	}
	return nil
}

func guardUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := allow(ctx, info.FullMethod, time.Now()); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func guardStream(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := allow(ss.Context(), info.FullMethod, time.Now()); err != nil {
		return err
	}
	return next(srv, ss)
}
