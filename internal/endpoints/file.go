package endpoints

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gannethook"
	"gannethook/internal/sexp"
)

// File watches a file with the list of servers, in the form of docs/settings.md:
// (server "host:port" (kind K) (zone Z) (cell N) (state ready|draining) (started TIME)).
type File struct {
	Path         string
	PollInterval time.Duration // polling interval
	Names        Names
	Publish      func(gannethook.Membership) // called with each changed list
	Report       func(error)                 // called once per distinct error
}

// fileEntry is a (server ...) form.
type fileEntry struct {
	At      sexp.Pos
	Addr    string    `gann:"#,need"`
	Kind    string    `gann:"kind,need"`
	Zone    string    `gann:"zone"`
	Cell    int       `gann:"cell"`
	State   fileState `gann:"state"`
	Started startTime `gann:"started"`
}

// fileState is the state of a server, as written in the file.
type fileState gannethook.ServerState

func (s *fileState) UnmarshalText(t []byte) error {
	switch string(t) {
	case "ready":
		*s = fileState(gannethook.Ready)
	case "draining":
		*s = fileState(gannethook.Draining)
	default:
		return fmt.Errorf("%q is not ready or draining", t)
	}
	return nil
}

// startTime is a time in Unix milliseconds, written in RFC 3339.
type startTime float64

func (s *startTime) UnmarshalText(t []byte) error {
	at, err := time.Parse(time.RFC3339Nano, string(t))
	if err != nil {
		return fmt.Errorf("%q is not a time; write 2026-01-31T03:00:00Z", t)
	}
	*s = startTime(at.UnixMicro()) / 1000
	return nil
}

// ParseFile parses the text of a server file; path is used in errors only.
func ParseFile(path, text string, names Names) ([]gannethook.Server, error) {
	var f struct {
		Servers []fileEntry `gann:"server"`
	}
	if err := sexp.Read(path, text, &f); err != nil {
		return nil, err
	}
	var list []gannethook.Server
	seen := map[string]bool{}
	for _, e := range f.Servers {
		s, err := e.server(names)
		if err == nil && seen[e.Addr] {
			err = fmt.Errorf("server %q is given twice", e.Addr)
		}
		if err != nil {
			return nil, sexp.Errorf(e.At, "%v", err)
		}
		seen[e.Addr] = true
		list = append(list, s)
	}
	return list, nil
}

// server checks an entry and converts it.
func (e *fileEntry) server(names Names) (gannethook.Server, error) {
	s := gannethook.Server{ID: gannethook.ServerID(e.Addr), Kind: slices.Index(names.Kinds, e.Kind), Cell: e.Cell,
		State: gannethook.ServerState(e.State), Since: gannethook.Millis(e.Started)}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil {
		return s, fmt.Errorf("%q is not host:port", e.Addr)
	}
	if s.Kind < 0 {
		return s, fmt.Errorf("kind %q is not one of %q", e.Kind, names.Kinds)
	}
	if e.Zone != "" {
		if s.Zone = slices.Index(names.Zones, e.Zone); s.Zone < 0 {
			return s, fmt.Errorf("zone %q is not one of %q", e.Zone, names.Zones)
		}
	}
	if s.State == 0 {
		s.State = gannethook.Ready
	}
	return s, nil
}

// Run polls the file until the context is done. An invalid file is reported once and leaves the list as it is.
func (f *File) Run(ctx context.Context) {
	table := NewTable(f.Names)
	lastText, lastError := "", ""
	for ctx.Err() == nil {
		text, err := os.ReadFile(f.Path)
		if err == nil && string(text) != lastText {
			var list []gannethook.Server
			if list, err = ParseFile(f.Path, string(text), f.Names); err == nil {
				lastText, lastError = string(text), ""
				f.Publish(table.SetServers(list))
			}
		}
		if err != nil && err.Error() != lastError {
			lastError = err.Error()
			f.Report(err)
		}
		sleep(ctx, f.PollInterval)
	}
}

// SaveCache writes a list for the next start of the router. It writes a temporary file in the same
// directory and renames it, so that readers never see a partial one.
func SaveCache(path string, list []gannethook.Server) error {
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(text)
	if err2 := tmp.Close(); err == nil {
		err = err2
	}
	if err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}

// LoadCache reads a list written by SaveCache. A missing file or an empty path is no error, a malformed file
// is. Servers that are Gone or whose kind is not in the settings any more are dropped.
func LoadCache(path string, names Names) ([]gannethook.Server, error) {
	text, err := os.ReadFile(path)
	if os.IsNotExist(err) || path == "" {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var list []gannethook.Server
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return slices.DeleteFunc(list, func(s gannethook.Server) bool {
		return s.Kind < 0 || s.Kind >= len(names.Kinds) || s.State == gannethook.Gone
	}), nil
}
