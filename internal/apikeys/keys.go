// Package apikeys authenticates tenants by their API keys. Keys are stored as digests in a file, compared in constant
// time, and added and revoked by changes of the file while the router runs.
package apikeys

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gannethook/internal/sexp"
)

// Prefix starts the text of every key, gh_ID_SECRET. The id is not secret: it selects the digest and names the key in
// files and logs.
const Prefix = "gh_"

// Maximum lengths in bytes of a key's id and of its whole text.
const (
	maxIDLength  = 32
	maxKeyLength = 256
)

// Key is an entry of the keys file.
type Key struct {
	At      sexp.Pos
	ID      string `gann:"#,need"`
	Tenant  string `gann:"tenant,need"`
	Digest  Digest `gann:"sha256,need"`
	Until   Time   `gann:"until"`
	Revoked bool   `gann:"revoked"`
}

// Client returns the key's client id for the retry budget; it is never 0.
func (k *Key) Client() uint64 { return max(xxhash.Sum64String(k.ID), 1) }

// valid reports whether the key is accepted at a time: neither revoked nor expired.
func (k *Key) valid(now time.Time) bool {
	return !k.Revoked && (time.Time(k.Until).IsZero() || now.Before(time.Time(k.Until)))
}

// Digest is the SHA-256 of a key's whole text. Since the secret has 256 random bits, a salt or a slow hash would not
// make it harder to guess.
type Digest [sha256.Size]byte

// UnmarshalText parses 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(d[:], text); err != nil || n != len(d) || len(text) != 2*len(d) {
		return fmt.Errorf("%.80q is not a digest of 64 hexadecimal digits", text)
	}
	return nil
}

// Time is a time in the format of RFC 3339.
type Time time.Time

// UnmarshalText parses a time such as 2026-12-31T00:00:00Z.
func (t *Time) UnmarshalText(text []byte) error {
	at, err := time.Parse(time.RFC3339, string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time; write 2026-12-31T00:00:00Z", text)
	}
	*t = Time(at)
	return nil
}

// New generates a key for a tenant. It returns the key's text, which is not stored anywhere, and the entry for the keys
// file. A zero until means that the key doesn't expire.
func New(tenant string, until time.Time) (text, line string) {
	var raw [40]byte
	rand.Read(raw[:])
	id := strings.ToLower(hex.EncodeToString(raw[:8]))
	text = Prefix + id + "_" + base64.RawURLEncoding.EncodeToString(raw[8:])
	line = fmt.Sprintf("(key %s (tenant %s) (sha256 %x)", id, tenant, sha256.Sum256([]byte(text)))
	if !until.IsZero() {
		line += fmt.Sprintf(" (until %q)", until.UTC().Format(time.RFC3339))
	}
	return text, line + ")"
}

// Table is the keys of one version of the file. It is immutable.
type Table struct{ keys map[string]*Key }

// file is the format of a keys file.
type file struct {
	Keys []Key `gann:"key"`
}

// Parse parses the text of a keys file; name is the file's name in errors. knownTenant reports whether a tenant exists.
func Parse(name, text string, knownTenant func(tenant string) bool) (*Table, error) {
	var f file
	if err := sexp.Read(name, text, &f); err != nil {
		return nil, err
	}
	t := &Table{keys: make(map[string]*Key, len(f.Keys))}
	for i := range f.Keys {
		k := &f.Keys[i]
		switch {
		case k.ID == "" || len(k.ID) > maxIDLength || strings.ContainsRune(k.ID, '_'):
			return nil, sexp.Errorf(k.At, "a key's id has 1 to %d characters and no _", maxIDLength)
		case t.keys[k.ID] != nil:
			return nil, sexp.Errorf(k.At, "key %q is given twice", k.ID)
		case !knownTenant(k.Tenant):
			return nil, sexp.Errorf(k.At, "no tenant is named %q", k.Tenant)
		}
		t.keys[k.ID] = k
	}
	return t, nil
}

// noKey is compared with if no key has the id, so that an unknown id takes as long as a wrong secret.
var noKey Key

// Find returns the valid key whose text a client sent.
func (t *Table) Find(now time.Time, text string) (*Key, bool) {
	if len(text) > maxKeyLength {
		return nil, false
	}
	rest, ok := strings.CutPrefix(text, Prefix)
	id, _, ok2 := strings.Cut(rest, "_")
	k := t.keys[id]
	if k == nil {
		k = &noKey
	}
	sum := sha256.Sum256([]byte(text))
	same := subtle.ConstantTimeCompare(sum[:], k.Digest[:]) == 1
	if !ok || !ok2 || !same || k == &noKey || !k.valid(now) {
		return nil, false
	}
	return k, true
}

// Valid reports whether the key of an id exists and is valid.
func (t *Table) Valid(now time.Time, id string) bool {
	k := t.keys[id]
	return k != nil && k.valid(now)
}

// Invalidated lists the keys that are valid in an earlier version and not in this one, ordered by id.
func (t *Table) Invalidated(now time.Time, before *Table) []*Key {
	var invalidated []*Key
	for id, k := range before.keys {
		if k.valid(now) && !t.Valid(now, id) {
			invalidated = append(invalidated, k)
		}
	}
	slices.SortFunc(invalidated, func(a, b *Key) int { return strings.Compare(a.ID, b.ID) })
	return invalidated
}

// Len returns the number of keys, valid or not.
func (t *Table) Len() int { return len(t.keys) }

// File watches a keys file. A file that can't be read or parsed leaves the current table in use, so that a mistake in
// the file locks no client out.
type File struct {
	path        string
	knownTenant func(tenant string) bool
	table       atomic.Pointer[Table]
	version     string // modification time and size of the file as last read
}

// Open reads a keys file; it fails if the file can't be read or parsed.
func Open(path string, knownTenant func(tenant string) bool) (*File, error) {
	f := &File{path: path, knownTenant: knownTenant}
	_, err := f.Reload(time.Now())
	if f.table.Load() == nil {
		return nil, err
	}
	return f, nil
}

// Table returns the keys as of the last successful Reload.
func (f *File) Table() *Table { return f.table.Load() }

// Reload reads the file again if it has changed, and lists the keys that are no longer valid. It must not be called
// concurrently.
func (f *File) Reload(now time.Time) (invalidated []*Key, err error) {
	info, err := os.Stat(f.path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	before := f.table.Load()
	version := fmt.Sprint(info.ModTime().UnixNano(), info.Size())
	if version == f.version {
		return nil, nil
	}
	f.version = version // a malformed version is reported once
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	t, err := Parse(f.path, string(text), f.knownTenant)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	f.table.Store(t)
	if before != nil {
		invalidated = t.Invalidated(now, before)
	}
	return invalidated, nil
}
