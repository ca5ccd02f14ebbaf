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

func TestTape(t *testing.T) {
	tape := NewTape(3)
	if list, _ := tape.After(0); len(list) != 0 {
		t.Errorf("%v on an empty tape", list)
	}
	for range 5 {
		tape.Add("k", "x")
	}
	for after, want := range map[uint64][3]uint64{ // events, first number, missed
		0: {3, 3, 2}, 1: {3, 3, 1}, 2: {3, 3, 0}, 4: {1, 5, 0}, 5: {0, 0, 0}, 99: {3, 3, 2},
	} {
		list, _ := tape.After(after)
		got := [3]uint64{uint64(len(list))}
		if len(list) > 0 {
			got[1], got[2] = list[0].Number, list[0].Missed
		}
		if got != want {
			t.Errorf("after %d: %v, want %v", after, got, want)
		}
	}
	_, more := tape.After(5)
	tape.Add("k", "y")
	select {
	case <-more:
	default:
		t.Error("an event wakes nobody")
	}
}

// Who may call what: by id and by the certificate's end, at each call.
func TestAllow(t *testing.T) {
	now := time.Now()
	from := func(id string, end time.Time) context.Context {
		u, err := url.Parse(id)
		if err != nil {
			t.Fatal(err)
		}
		cert := &x509.Certificate{URIs: []*url.URL{u}, NotAfter: end}
		return peer.NewContext(context.Background(), &peer.Peer{Addr: &net.TCPAddr{},
			AuthInfo: credentials.TLSInfo{State: tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}}}})
	}
	later := now.Add(time.Hour)
	look, act := pb.Control_GetStatus_FullMethodName, pb.Control_Do_FullMethodName
	for _, c := range []struct {
		name, method string
		ctx          context.Context
		want         codes.Code
	}{
		{"an operator acts", act, from("spiffe://f/operator/a", later), codes.OK},
		{"an operator looks", look, from("spiffe://f/operator/a", later), codes.OK},
		{"a watcher looks", look, from("spiffe://f/read-only/a", later), codes.OK},
		{"a watcher acts", act, from("spiffe://f/read-only/a", later), codes.PermissionDenied},
		{"a watcher sets the log's level", pb.Control_SetLogLevel_FullMethodName, from("spiffe://f/read-only/a", later), codes.PermissionDenied},
		{"a router looks", look, from("spiffe://f/router/a", later), codes.PermissionDenied},
		{"a name that begins like a role", act, from("spiffe://f/operators/a", later), codes.PermissionDenied},
		{"a role without a name", act, from("spiffe://f/operator", later), codes.PermissionDenied},
		{"a certificate that has ended", look, from("spiffe://f/operator/a", now.Add(-time.Second)), codes.Unauthenticated},
		{"no certificate", look, peer.NewContext(context.Background(), &peer.Peer{Addr: &net.TCPAddr{}}), codes.Unauthenticated},
		{"no peer", look, context.Background(), codes.Unauthenticated},
		{"the unix socket", act, peer.NewContext(context.Background(), &peer.Peer{Addr: &net.UnixAddr{Net: "unix"}}), codes.OK},
	} {
		if err := allow(c.ctx, c.method, now); status.Code(err) != c.want {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}
