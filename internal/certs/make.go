package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
)

// clockSkew is the time by which the validity of a certificate begins before its creation, since the clocks of two data
// centres may differ.
const clockSkew = 10 * time.Minute

// Authority signs the certificates of a fleet. It is meant for a first installation and for tests; in production, the
// organisation's own issuer can replace it.
type Authority struct {
	domain spiffeid.TrustDomain
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

// File names of an authority in its directory.
const (
	AuthorityCert = "authority.pem"
	AuthorityKey  = "authority.key"
)

// newSerial returns a random serial number of 127 bits.
func newSerial() (*big.Int, error) {
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
}

// NewAuthority creates an authority for a trust domain and writes it to a directory. It never replaces an existing one.
func NewAuthority(dir, domain string, valid time.Duration, now time.Time) (*Authority, error) {
	td, err := spiffeid.TrustDomainFromString(domain)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	serial, err := newSerial()
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: "gannethook authority of " + domain},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(valid), IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true,
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageCRLSign, URIs: []*url.URL{td.ID().URL()}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	if err := writePair(filepath.Join(dir, AuthorityCert), filepath.Join(dir, AuthorityKey), der, key, false); err != nil {
		return nil, err
	}
	return LoadAuthority(dir)
}

// LoadAuthority reads an authority that NewAuthority has written to a directory.
func LoadAuthority(dir string) (*Authority, error) {
	certPEM, err := os.ReadFile(filepath.Join(dir, AuthorityCert))
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	keyPEM, err := os.ReadFile(filepath.Join(dir, AuthorityKey))
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	c, k := firstBlock(certPEM), firstBlock(keyPEM)
	if c == nil || k == nil {
		return nil, fmt.Errorf("certs: %s: no PEM block in the authority's files", dir)
	}
	cert, err := x509.ParseCertificate(c)
	if err != nil {
		return nil, fmt.Errorf("certs: %s: %w", AuthorityCert, err)
	}
	key, err := x509.ParsePKCS8PrivateKey(k)
	if err != nil {
		return nil, fmt.Errorf("certs: %s: %w", AuthorityKey, err)
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok || len(cert.URIs) != 1 {
		return nil, fmt.Errorf("certs: the authority in %s was not created by gannethook cert", dir)
	}
	td, err := spiffeid.TrustDomainFromURI(cert.URIs[0])
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	return &Authority{domain: td, cert: cert, key: ec}, nil
}

// firstBlock returns the content of the first PEM block, or nil.
func firstBlock(text []byte) []byte {
	if b, _ := pem.Decode(text); b != nil {
		return b.Bytes
	}
	return nil
}

// Domain returns the trust domain of the authority.
func (a *Authority) Domain() string { return a.domain.Name() }

// Issue signs a certificate with the ID spiffe://DOMAIN/role/name and a new key, and writes both to files. To renew a
// certificate, existing files are replaced, each atomically.
func (a *Authority) Issue(certPath, keyPath, role, name string, valid time.Duration, now time.Time) error {
	id, err := spiffeid.FromSegments(a.domain, role, name)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	serial, err := newSerial()
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-clockSkew),
		NotAfter: now.Add(valid), KeyUsage: x509.KeyUsageDigitalSignature, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, URIs: []*url.URL{id.URL()}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	return writePair(certPath, keyPath, der, key, true)
}

// writePair writes the key before the certificate.
func writePair(certPath, keyPath string, der []byte, key *ecdsa.PrivateKey, replace bool) error {
	pkcs, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	if err := write(keyPath, "PRIVATE KEY", pkcs, 0o600, replace); err != nil {
		return err
	}
	return write(certPath, "CERTIFICATE", der, 0o644, replace)
}

// write writes one PEM block atomically: readers see the old file or the new one. Without replace, an existing file is an
// error.
func write(path, kind string, der []byte, mode os.FileMode, replace bool) error {
	if !replace {
		if _, err := os.Lstat(path); err == nil {
			return fmt.Errorf("certs: %s is there already", path)
		}
	}
	tmp, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, mode)
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	err = pem.Encode(tmp, &pem.Block{Type: kind, Bytes: der})
	if e := tmp.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return fmt.Errorf("certs: %w", err)
	}
	return nil
}
