// Package apikeys tells tenants by their API keys. Keys are kept as digests, are
// compared in constant time, and come and go with their file while the router runs.
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

// Prefix begins every key: gh_ID_SECRET. The id is no secret; it finds the
// digest, and names the key in files and logs.
const Prefix = "gh_"

// Bounds of a key's text.
const (
	maxID  = 32
	maxKey = 256
)

// Key is a key that was made.
type Key struct {
	At      sexp.Pos
	ID      string `gann:"#,need"`
	Tenant  string `gann:"tenant,need"`
	Digest  Digest `gann:"sha256,need"`
	Until   Time   `gann:"until"`
	Revoked bool   `gann:"revoked"`
}

// Client names a key to what counts its tries.
func (k *Key) Client() uint64 { return max(xxhash.Sum64String(k.ID), 1) }

// good tells whether a key counts at a time.
func (k *Key) good(now time.Time) bool {
	return !k.Revoked && (time.Time(k.Until).IsZero() || now.Before(time.Time(k.Until)))
}

// Digest is the SHA-256 of a key's whole text. The secret has 256 random bits:
// no salt or slow hash would make it harder to guess.
type Digest [sha256.Size]byte

// UnmarshalText reads 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(d[:], text); err != nil || n != len(d) || len(text) != 2*len(d) {
		return fmt.Errorf("%.80q is not a digest of 64 hexadecimal digits", text)
	}
	return nil
}

// Time is a time as RFC 3339 has it.
type Time time.Time

// UnmarshalText reads 2026-12-31T00:00:00Z.
func (t *Time) UnmarshalText(text []byte) error {
	at, err := time.Parse(time.RFC3339, string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time; write 2026-12-31T00:00:00Z", text)
	}
	*t = Time(at)
	return nil
}

// New makes a key for a tenant: its text, which is told once, and the line for the file.
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

// Table is the keys of one state of the file. It never changes.
type Table struct{ keys map[string]*Key }

// file is a keys file's form.
type file struct {
	Keys []Key `gann:"key"`
}

// Parse reads a text; name stands for its file in errors. known tells the tenants that there are.
func Parse(name, text string, known func(tenant string) bool) (*Table, error) {
	var f file
	if err := sexp.Read(name, text, &f); err != nil {
		return nil, err
	}
	t := &Table{keys: make(map[string]*Key, len(f.Keys))}
	for i := range f.Keys {
		k := &f.Keys[i]
		switch {
		case k.ID == "" || len(k.ID) > maxID || strings.ContainsRune(k.ID, '_'):
			return nil, sexp.Errorf(k.At, "a key's id has 1 to %d characters and no _", maxID)
		case t.keys[k.ID] != nil:
			return nil, sexp.Errorf(k.At, "key %q is given twice", k.ID)
		case !known(k.Tenant):
			return nil, sexp.Errorf(k.At, "no tenant is named %q", k.Tenant)
		}
		t.keys[k.ID] = k
	}
	return t, nil
}

// nobody is compared with where there is no key of an id, so that a wrong id
// takes as long as a wrong secret.
var nobody Key

// Find is the key of a text as a client sent it.
func (t *Table) Find(now time.Time, text string) (*Key, bool) {
	if len(text) > maxKey {
		return nil, false
	}
	rest, ok := strings.CutPrefix(text, Prefix)
	id, _, ok2 := strings.Cut(rest, "_")
	k := t.keys[id]
	if k == nil {
		k = &nobody
	}
	sum := sha256.Sum256([]byte(text))
	same := subtle.ConstantTimeCompare(sum[:], k.Digest[:]) == 1
	if !ok || !ok2 || !same || k == &nobody || !k.good(now) {
		return nil, false
	}
	return k, true
}

// Good tells whether the key of an id counts.
func (t *Table) Good(now time.Time, id string) bool {
	k := t.keys[id]
	return k != nil && k.good(now)
}

// Gone lists the keys that counted in an earlier state and do not in this one, in order of id.
func (t *Table) Gone(now time.Time, before *Table) []*Key {
	var list []*Key
	for id, k := range before.keys {
		if k.good(now) && !t.Good(now, id) {
			list = append(list, k)
		}
	}
	slices.SortFunc(list, func(a, b *Key) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Len is how many keys there are.
func (t *Table) Len() int { return len(t.keys) }

// File follows a file of keys. A file that can't be read or makes no sense
// leaves the table as it was: nobody loses a key by a slip.
type File struct {
	path  string
	known func(tenant string) bool
	table atomic.Pointer[Table]
	stamp string
}

// Open reads a file.
func Open(path string, known func(tenant string) bool) (*File, error) {
	f := &File{path: path, known: known}
	_, err := f.Look(time.Now())
	if f.table.Load() == nil {
		return nil, err
	}
	return f, nil
}

// Table is the keys as of the last look.
func (f *File) Table() *Table { return f.table.Load() }

// Look reads the file if it has changed, and lists the keys that are gone. One
// goroutine may look.
func (f *File) Look(now time.Time) (gone []*Key, err error) {
	info, err := os.Stat(f.path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	before := f.table.Load()
	stamp := fmt.Sprint(info.ModTime().UnixNano(), info.Size())
	if stamp == f.stamp {
		return nil, nil
	}
	f.stamp = stamp // one that makes no sense is not told of again and again
	text, err := os.ReadFile(f.path)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	t, err := Parse(f.path, string(text), f.known)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	f.table.Store(t)
	if before != nil {
		gone = t.Gone(now, before)
	}
	return gone, nil
}
