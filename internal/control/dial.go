package control

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"gannethook/internal/certs"
	pb "gannethook/internal/control/controlpb"
)

// Dial returns a client of a router's control plane and a function that closes it.
// addr is unix:PATH or host:port. A TCP connection needs the certificate files and
// accepts only a server certificate issued for the router of that name. The
// connection is made at the first call and made again after a loss.
func Dial(addr, name string, files *certs.Files) (pb.ControlClient, func() error, error) {
	opts := []grpc.DialOption{grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(16 * maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 2 * time.Second,
			Backoff: backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second}}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 20 * time.Second, Timeout: 5 * time.Second}),
		grpc.WithDisableServiceConfig(), grpc.WithNoProxy()}
	path, unix := strings.CutPrefix(addr, "unix:")
	switch {
	case unix:
		opts = append(opts, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
				var d net.Dialer
				return d.DialContext(ctx, "unix", path)
			}))
		addr = "passthrough:///" + name
	case files == nil:
		return nil, nil, fmt.Errorf("%s: a port needs a certificate, a key and an authority", addr)
	default:
		id, err := spiffeid.FromSegments(files.Domain(), string(RouterRole), name)
		if err != nil {
			return nil, nil, fmt.Errorf("router %q: %w", name, err)
		}
		tls := tlsconfig.MTLSClientConfig(files, files, tlsconfig.AuthorizeID(id))
		opts = append(opts, grpc.WithTransportCredentials(credentials.NewTLS(tls)))
		addr = "passthrough:///" + addr
	}
	conn, err := grpc.NewClient(addr, opts...)
	if err != nil {
		return nil, nil, fmt.Errorf("control: %w", err)
	}
	return pb.NewControlClient(conn), conn.Close, nil
}
