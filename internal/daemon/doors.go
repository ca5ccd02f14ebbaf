package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"go.uber.org/zap"

	"gannethook/internal/apikeys"
	"gannethook/internal/certs"
	"gannethook/internal/limits"
	"gannethook/internal/settings"
)

// openDoors reads what clients are told by: keys, and the certificates of the port.
func (d *Daemon) openDoors(cfg *settings.File) (err error) {
	if cfg.Keys.File != "" {
		known := func(tenant string) bool { return d.Settings().TenantNamed(tenant) >= 0 }
		if d.keys, err = apikeys.Open(cfg.Keys.File, known); err != nil {
			return err
		}
	}
	if t := cfg.TLS; t.Cert != "" {
		d.doors, err = certs.Open(t.Domain, t.Cert, t.Key, t.Authority)
	}
	return err
}

// guardDoors has the front ask for what was read, and follow the keys' file.
func (d *Daemon) guardDoors() {
	if d.doors != nil {
		d.front.Secure(doorTLS(d.doors, d.cfg.TLS.Clients))
	}
	if d.keys == nil {
		return
	}
	d.front.Keys(d.keys.Table(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	d.stopKeys = cancel
	d.work.Go(func() {
		tick := time.NewTicker(d.cfg.Keys.Every)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				d.lookKeys(time.Now())
			case <-ctx.Done():
				return
			}
		}
	})
}

// Keys is how many API keys are known.
func (d *Daemon) Keys() int {
	if d.keys == nil {
		return 0
	}
	return d.keys.Table().Len()
}

// lookKeys takes a changed file of keys.
func (d *Daemon) lookKeys(now time.Time) {
	before := d.keys.Table()
	gone, err := d.keys.Look(now)
	switch {
	case err != nil:
		d.warn("keys")(err)
	case d.keys.Table() != before:
		d.front.Keys(d.keys.Table(), gone)
		d.log.Info("keys", zap.Int("keys", d.keys.Table().Len()), zap.Int("gone", len(gone)))
		d.tape.Add("keys", fmt.Sprintf("%d keys, %d gone", d.keys.Table().Len(), len(gone)))
	}
}

// doorTLS is the clients' port's: their certificates are checked against the
// authority if they show any, and need to be shown if must says so. No session
// is taken up again: a certificate is checked at each handshake.
func doorTLS(f *certs.Files, must bool) *tls.Config {
	cfg := tlsconfig.MTLSServerConfig(f, f, tlsconfig.AuthorizeMemberOf(f.Domain()))
	cfg.SessionTicketsDisabled = true
	if must {
		return cfg
	}
	verify := cfg.VerifyPeerCertificate
	cfg.ClientAuth = tls.RequestClientCert
	cfg.VerifyPeerCertificate = func(raw [][]byte, chains [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return nil
		}
		return verify(raw, chains)
	}
	return cfg
}

// Limits shows what stands between the clients and the module.
func (d *Daemon) Limits() limits.View { return d.intake.View() }
