package certs

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// issue issues a certificate in dir, with an authority that it creates there if there is none.
func issue(t *testing.T, dir, name string, valid time.Duration) (cert, key, auth string) {
	t.Helper()
	a, err := LoadAuthority(dir)
	if err != nil {
		if a, err = NewAuthority(dir, "f.test", time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	cert, key = filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
	if err := a.Issue(cert, key, "operator", name, valid, time.Now()); err != nil {
		t.Fatal(err)
	}
	return cert, key, filepath.Join(dir, AuthorityCert)
}

// Checks that renewed files are used, and that the last valid content remains in use while files are half renewed or missing.
func TestRenewal(t *testing.T) {
	dir := t.TempDir()
	cert, key, auth := issue(t, dir, "a", time.Minute)
	f, err := Open("f.test", cert, key, auth)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	remaining := func() time.Duration { // as if checkInterval had passed
		f.lastCheck = time.Time{}
		return f.Remaining(now).Round(time.Minute)
	}
	if got := remaining(); got != time.Minute {
		t.Errorf("%v remaining, want 1m", got)
	}
	oldKey, _ := os.ReadFile(key)
	issue(t, dir, "a", time.Hour)
	newKey, _ := os.ReadFile(key)
	os.WriteFile(key, oldKey, 0o600) // the certificate is renewed, the key is not yet
	if got := remaining(); got != time.Minute || f.Check(now) == nil {
		t.Errorf("%v remaining with half renewed files, %v", got, f.Check(now))
	}
	os.WriteFile(key, newKey, 0o600)
	if got := remaining(); got != time.Hour || f.Check(now) != nil {
		t.Errorf("%v remaining after the renewal, %v", got, f.Check(now))
	}
	os.Remove(cert)
	if got := remaining(); got != time.Hour || f.Check(now) == nil {
		t.Errorf("%v remaining without a file, %v", got, f.Check(now))
	}
	issue(t, dir, "a", -time.Second)
	remaining()
	if err := f.Check(now); err == nil || !strings.Contains(err.Error(), "has ended") {
		t.Errorf("an expired certificate: %v", err)
	}
}

func TestOpenErrors(t *testing.T) {
	dir := t.TempDir()
	cert, key, auth := issue(t, dir, "a", time.Minute)
	bad := filepath.Join(dir, "bad")
	os.WriteFile(bad, []byte("nonsense"), 0o600)
	for name, c := range map[string]struct{ domain, cert, key, auth, want string }{
		"another domain": {"g.test", cert, key, auth, "is of f.test, not of g.test"},
		"no domain":      {"", cert, key, auth, "certs:"},
		"no file":        {"f.test", filepath.Join(dir, "none"), key, auth, "no such file"},
		"no certificate": {"f.test", bad, key, auth, "certs:"},
		"no authority":   {"f.test", cert, key, bad, "certs:"},
	} {
		if _, err := Open(c.domain, c.cert, c.key, c.auth); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
	if _, err := NewAuthority(dir, "f.test", time.Hour, time.Now()); err == nil || !strings.Contains(err.Error(), "is there already") {
		t.Errorf("a second authority in a directory: %v", err)
	}
}
