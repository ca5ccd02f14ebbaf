package control

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/url"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	pb "gannethook/internal/control/controlpb"
)

func TestEventLog(t *testing.T) {
	events := NewEventLog(3)
	if list, _ := events.After(0); len(list) != 0 {
		t.Errorf("%v in an empty log", list)
	}
	for range 5 {
		events.Add("k", "x")
	}
	for after, want := range map[uint64][3]uint64{ // events, first number, missed
		0: {3, 3, 2}, 1: {3, 3, 1}, 2: {3, 3, 0}, 4: {1, 5, 0}, 5: {0, 0, 0}, 99: {3, 3, 2},
	} {
		list, _ := events.After(after)
		got := [3]uint64{uint64(len(list))}
		if len(list) > 0 {
			got[1], got[2] = list[0].Number, list[0].Missed
		}
		if got != want {
			t.Errorf("after %d: %v, want %v", after, got, want)
		}
	}
	_, more := events.After(5)
	events.Add("k", "y")
	select {
	case <-more:
	default:
		t.Error("a new event does not close the channel")
	}
}

// Calls are authorized by the ID and the expiry of the certificate, at each call.
func TestAuthorize(t *testing.T) {
	now := time.Now()
	callerWith := func(id string, end time.Time) context.Context {
		u, err := url.Parse(id)
		if err != nil {
			t.Fatal(err)
		}
		cert := &x509.Certificate{URIs: []*url.URL{u}, NotAfter: end}
		return peer.NewContext(context.Background(), &peer.Peer{Addr: &net.TCPAddr{},
			AuthInfo: credentials.TLSInfo{State: tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}}}})
	}
	later := now.Add(time.Hour)
	readMethod, commandMethod := pb.Control_GetStatus_FullMethodName, pb.Control_Do_FullMethodName
	for _, c := range []struct {
		name, method string
		ctx          context.Context
		want         codes.Code
	}{
		{"operator, command", commandMethod, callerWith("spiffe://f/operator/a", later), codes.OK},
		{"operator, read", readMethod, callerWith("spiffe://f/operator/a", later), codes.OK},
		{"read-only, read", readMethod, callerWith("spiffe://f/read-only/a", later), codes.OK},
		{"read-only, command", commandMethod, callerWith("spiffe://f/read-only/a", later), codes.PermissionDenied},
		{"read-only, log level", pb.Control_SetLogLevel_FullMethodName, callerWith("spiffe://f/read-only/a", later), codes.PermissionDenied},
		{"router, read", readMethod, callerWith("spiffe://f/router/a", later), codes.PermissionDenied},
		{"a path that begins like a role", commandMethod, callerWith("spiffe://f/operators/a", later), codes.PermissionDenied},
		{"a role without a name", commandMethod, callerWith("spiffe://f/operator", later), codes.PermissionDenied},
		{"expired certificate", readMethod, callerWith("spiffe://f/operator/a", now.Add(-time.Second)), codes.Unauthenticated},
		{"no certificate", readMethod, peer.NewContext(context.Background(), &peer.Peer{Addr: &net.TCPAddr{}}), codes.Unauthenticated},
		{"no peer", readMethod, context.Background(), codes.Unauthenticated},
		{"the unix socket", commandMethod, peer.NewContext(context.Background(), &peer.Peer{Addr: &net.UnixAddr{Net: "unix"}}), codes.OK},
	} {
		if err := authorize(c.ctx, c.method, now); status.Code(err) != c.want {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}
