package apikeys

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func anyTenant(string) bool { return true }

// A key is found only by its whole text and while it is valid, and its entry in the file doesn't contain the secret.
func TestFind(t *testing.T) {
	now := time.Now()
	text, line := New("acme", time.Time{})
	expired, expiredLine := New("acme", now.Add(-time.Hour))
	_, secret, _ := strings.Cut(strings.TrimPrefix(text, Prefix), "_")
	if strings.Contains(line, secret) {
		t.Fatalf("the entry contains the secret: %s", line)
	}
	table, err := Parse("f", line+"\n"+expiredLine, anyTenant)
	if err != nil {
		t.Fatal(err)
	}
	if k, ok := table.Find(now, text); !ok || k.Tenant != "acme" || k.Client() == 0 {
		t.Errorf("%+v, %v", k, ok)
	}
	for _, wrong := range []string{"", "gh_", text[:len(text)-1], text + "x", strings.Replace(text, "gh_", "sk_", 1), expired,
		"gh__" + secret, strings.Repeat("x", 1000), "gh_ffffffffffffffff_" + secret} {
		if _, ok := table.Find(now, wrong); ok {
			t.Errorf("%.80q is accepted as a key", wrong)
		}
	}
}

// Errors in a keys file name the position and the cause.
func TestErrors(t *testing.T) {
	digest := strings.Repeat("0", 64)
	for text, want := range map[string]string{
		`(key a (tenant t) (sha256 12))`:                                                        `f:1:27: "12" is not a digest of 64 hexadecimal digits`,
		`(key a (sha256 ` + digest + `))`:                                                       `f:1:1: (tenant ...) is missing`,
		`(key a_b (tenant t) (sha256 ` + digest + `))`:                                          `f:1:1: a key's id has 1 to 32 characters and no _`,
		`(key a (tenant x) (sha256 ` + digest + `))`:                                            `f:1:1: no tenant is named "x"`,
		`(key a (tenant t) (sha256 ` + digest + `) (until tomorrow))`:                           `f:1:100: "tomorrow" is not a time; write 2026-12-31T00:00:00Z`,
		`(key a (tenant t) (sha256 ` + digest + `)) (key a (tenant t) (sha256 ` + digest + `))`: `f:1:94: key "a" is given twice`,
	} {
		if _, err := Parse("f", text, func(n string) bool { return n == "t" }); err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

// Keys are added and revoked with the file; a malformed file changes nothing.
func TestRotation(t *testing.T) {
	now := time.Now()
	path := filepath.Join(t.TempDir(), "keys")
	write := func(at int, lines ...string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			t.Fatal(err)
		}
		os.Chtimes(path, now, now.Add(time.Duration(at)*time.Second))
	}
	old, oldLine := New("acme", time.Time{})
	next, nextLine := New("acme", time.Time{})
	write(0, oldLine)
	f, err := Open(path, anyTenant)
	if err != nil {
		t.Fatal(err)
	}
	write(1, oldLine, nextLine)
	if invalidated, err := f.Reload(now); err != nil || len(invalidated) != 0 || f.Table().Len() != 2 {
		t.Fatalf("%v, %v", invalidated, err)
	}
	write(2, strings.TrimSuffix(oldLine, ")")+" (revoked yes))", nextLine)
	invalidated, err := f.Reload(now)
	if err != nil || len(invalidated) != 1 || !strings.Contains(oldLine, invalidated[0].ID) {
		t.Fatalf("%v, %v", invalidated, err)
	}
	if _, ok := f.Table().Find(now, old); ok {
		t.Error("a revoked key is accepted")
	}
	write(3, "(key")
	if _, err := f.Reload(now); err == nil {
		t.Error("a malformed file is not reported")
	}
	if _, ok := f.Table().Find(now, next); !ok {
		t.Error("a malformed file invalidated a key")
	}
	if _, err := f.Reload(now); err != nil {
		t.Errorf("a malformed file is reported twice: %v", err)
	}
	if _, err := Open(path, anyTenant); err == nil {
		t.Error("Open accepts a malformed file")
	}
}

// FuzzFind checks that no other text is accepted as a key.
func FuzzFind(f *testing.F) {
	text, line := New("acme", time.Time{})
	f.Add(text)
	table, err := Parse("f", line, anyTenant)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, in string) {
		if _, ok := table.Find(time.Now(), in); ok && in != text {
			t.Fatalf("%q is accepted as a key", in)
		}
	})
}
