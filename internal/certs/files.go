// Package certs reads certificates from files that others renew, and makes a
// fleet's first ones.
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

// Files are a certificate, its key and the authorities to trust, in PEM files.
// It is a go-spiffe source: handshakes use what the files hold then. Files that
// can't be read leave what was read last.
type Files struct {
	domain               spiffeid.TrustDomain
	cert, key, authority string

	mu          sync.Mutex
	lastCheck   time.Time
	fingerprint string
	svid        *x509svid.SVID
	bundle      *x509bundle.Bundle
	err         error // of the last look
}

// checkInterval bounds how often the files' times are asked for.
const checkInterval = time.Second

// Open reads the files.
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

// currentFingerprint tells two states of the files apart.
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
	if err != nil { // perhaps half renewed: the next look sees both files
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

// GetX509SVID is the certificate as of now.
func (f *Files) GetX509SVID() (*x509svid.SVID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reloadIfChanged(time.Now())
	return f.svid, nil
}

// GetX509BundleForTrustDomain is what to trust as of now.
func (f *Files) GetX509BundleForTrustDomain(td spiffeid.TrustDomain) (*x509bundle.Bundle, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reloadIfChanged(time.Now())
	if td != f.domain {
		return nil, fmt.Errorf("certs: %s is not trusted here", td)
	}
	return f.bundle, nil
}

// Left is how long the certificate is still valid; below 0 it has ended.
func (f *Files) Left(now time.Time) time.Duration {
	svid, _ := f.GetX509SVID()
	return svid.Certificates[0].NotAfter.Sub(now)
}

// Check tells why the files as they are can't be used.
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

// Domain is the trust domain.
func (f *Files) Domain() spiffeid.TrustDomain { return f.domain }
