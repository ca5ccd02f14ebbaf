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

// openClientAuth reads the API keys and the certificates of the port for clients.
func (d *Daemon) openClientAuth(cfg *settings.File) (err error) {
	if cfg.Keys.File != "" {
		known := func(tenant string) bool { return d.Settings().TenantIndex(tenant) >= 0 }
		if d.keys, err = apikeys.Open(cfg.Keys.File, known); err != nil {
			return err
		}
	}
	if t := cfg.TLS; t.Cert != "" {
		d.clientCerts, err = certs.Open(t.Domain, t.Cert, t.Key, t.Authority)
	}
	return err
}

// enableClientAuth makes the front check API keys and certificates, and starts to watch the key file for changes.
func (d *Daemon) enableClientAuth() {
	if d.clientCerts != nil {
		d.front.SetTLS(clientTLS(d.clientCerts, d.cfg.TLS.RequireClientCert))
	}
	if d.keys == nil {
		return
	}
	d.front.SetAPIKeys(d.keys.Table(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	d.stopKeys = cancel
	d.background.Go(func() {
		tick := time.NewTicker(d.cfg.Keys.PollInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				d.reloadKeys(time.Now())
			case <-ctx.Done():
				return
			}
		}
	})
}

// Keys returns the number of API keys.
func (d *Daemon) Keys() int {
	if d.keys == nil {
		return 0
	}
	return d.keys.Table().Len()
}

// reloadKeys applies the key file if it has changed.
func (d *Daemon) reloadKeys(now time.Time) {
	before := d.keys.Table()
	revoked, err := d.keys.Reload(now)
	switch {
	case err != nil:
		d.reportFault("keys")(err)
	case d.keys.Table() != before:
		d.front.SetAPIKeys(d.keys.Table(), revoked)
		d.log.Info("keys", zap.Int("keys", d.keys.Table().Len()), zap.Int("gone", len(revoked)))
		d.events.Add("keys", fmt.Sprintf("%d keys, %d gone", d.keys.Table().Len(), len(revoked)))
	}
}

// clientTLS returns the TLS configuration of the port for clients. A client
// certificate is verified against the authority if there is one, and demanded if
// required is set. Sessions are not resumed, so that every handshake checks the
// certificate.
func clientTLS(files *certs.Files, required bool) *tls.Config {
	cfg := tlsconfig.MTLSServerConfig(files, files, tlsconfig.AuthorizeMemberOf(files.Domain()))
	cfg.SessionTicketsDisabled = true
	if required {
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

// Limits returns the present state of admission.
func (d *Daemon) Limits() limits.View { return d.admission.View() }
