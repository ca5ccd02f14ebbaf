// Package certs reads certificates from files that are renewed from outside while the process runs, and issues the first
// certificates of a fleet. Identities are SPIFFE IDs.
package certs

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/spiffe/go-spiffe/v2/bundle/x509bundle"
	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"
)

// Files is a certificate, its key and the authorities to trust, read from PEM files. It is a source of X.509 SVIDs and
// bundles for go-spiffe: each TLS handshake uses the current content of the files. While the files can't be read, the last
// content that could be read remains in use.
type Files struct {
	domain               spiffeid.TrustDomain
	cert, key, authority string

	mu          sync.Mutex
	lastCheck   time.Time
	fingerprint string
	svid        *x509svid.SVID
	bundle      *x509bundle.Bundle
	err         error // of the last check
}

// checkInterval is the minimum time between two checks of the files' modification times. Each use of Files may check.
const checkInterval = time.Second

// Open reads the files. The certificate must be of the trust domain.
func Open(domain, cert, key, authority string) (*Files, error) {
	td, err := spiffeid.TrustDomainFromString(domain)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	f := &Files{domain: td, cert: cert, key: key, authority: authority}
	f.reloadIfChanged(time.Now())
	if f.svid == nil {
		return nil, f.err
	}
	return f, nil
}

// currentFingerprint returns the modification times and sizes of the files, which change when the files do.
func (f *Files) currentFingerprint() (string, error) {
	s := ""
	for _, path := range []string{f.cert, f.key, f.authority} {
		info, err := os.Stat(path)
		if err != nil {
			return "", fmt.Errorf("certs: %w", err)
		}
		s += fmt.Sprint(info.ModTime().UnixNano(), info.Size(), " ")
	}
	return s, nil
}

// reloadIfChanged reads the files if they have changed, at most once per checkInterval. The caller holds the mutex.
func (f *Files) reloadIfChanged(now time.Time) {
	if now.Sub(f.lastCheck) < checkInterval {
		return
	}
	f.lastCheck = now
	fingerprint, err := f.currentFingerprint()
	if err != nil || fingerprint == f.fingerprint {
		f.err = err
		return
	}
	svid, err := x509svid.Load(f.cert, f.key)
	if err != nil { // certificate and key may be half renewed; the next check sees both
		f.err = fmt.Errorf("certs: %w", err)
		return
	}
	bundle, err := x509bundle.Load(f.domain, f.authority)
	if err == nil && svid.ID.TrustDomain() != f.domain {
		err = fmt.Errorf("%s: the certificate is of %s, not of %s", f.cert, svid.ID.TrustDomain(), f.domain)
	}
	if err != nil {
		f.err = fmt.Errorf("certs: %w", err)
		return
	}
	f.fingerprint, f.svid, f.bundle, f.err = fingerprint, svid, bundle, nil
}

// GetX509SVID returns the current certificate with its key.
func (f *Files) GetX509SVID() (*x509svid.SVID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reloadIfChanged(time.Now())
	return f.svid, nil
}

// GetX509BundleForTrustDomain returns the current authorities of the own trust domain; no other domain is trusted.
func (f *Files) GetX509BundleForTrustDomain(td spiffeid.TrustDomain) (*x509bundle.Bundle, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reloadIfChanged(time.Now())
	if td != f.domain {
		return nil, fmt.Errorf("certs: trust domain %s is not trusted", td)
	}
	return f.bundle, nil
}

// Remaining returns the remaining validity of the certificate, which is negative once it has expired.
func (f *Files) Remaining(now time.Time) time.Duration {
	svid, _ := f.GetX509SVID()
	return svid.Certificates[0].NotAfter.Sub(now)
}

// Check returns why the files can't be used in their current state, or nil: they can't be read, or the certificate has expired.
func (f *Files) Check(now time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reloadIfChanged(now)
	if f.err != nil {
		return f.err
	}
	if c := f.svid.Certificates[0]; now.After(c.NotAfter) {
		return errors.New("certs: the certificate has ended on " + c.NotAfter.Format(time.RFC3339))
	}
	return nil
}

// Domain returns the trust domain.
func (f *Files) Domain() spiffeid.TrustDomain { return f.domain }
