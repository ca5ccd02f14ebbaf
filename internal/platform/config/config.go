// Package config loads a router's configuration on the users' platform: the EDGE_*
// environment variables and the JSON file that EDGE_CONFIG names.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"gannethook/internal/connpool"
	"gannethook/internal/faults"
	"gannethook/internal/platform/discovery"
	"gannethook/internal/profile"
)

// Config is a router's validated configuration.
type Config struct {
	Name      string
	Listen    string           // host:port where clients connect
	Discovery string           // host:port
	Seed      uint64           // of the module's random numbers
	Cores     float64          // CPU limit
	Memory    int64            // limit in bytes
	Sockets   int              // limit of open file descriptors
	Known     *discovery.List  // workers known at the start; nil: none given
	Profile   *profile.Profile // the decoded settings
}

// Smallest limits that a router can run with, and the largest file that is read.
const (
	minMemory   = 16 << 20 // bytes
	minSockets  = 64       // file descriptors
	maxFileSize = 64 << 20 // bytes
)

// file is the configuration file as encoded.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

var readFile = faults.ReadFile // replaced in tests

// Retries at startup while the file can't be read because of a transient fault: for 5 s in all.
const (
	startAttempts   = 100
	startRetryDelay = 50 * time.Millisecond
)

// LoadAtStart is Load for the start of the program. It retries for five seconds while
// the file can't be read because of a transient fault, or is truncated because it is
// being written. Any other error is returned at once.
func LoadAtStart(env func(string) string) (*Config, error) {
	for attempt := 1; ; attempt++ {
		c, err := Load(env)
		if err == nil || attempt == startAttempts || !isTransient(err) {
			return c, err
		}
		time.Sleep(startRetryDelay)
	}
}

// isTransient reports whether reading the file may succeed soon: the error is a
// transient fault of the system, or the JSON is truncated because the file is being written.
func isTransient(err error) bool {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Error() == "unexpected end of JSON input"
	}
	return connpool.IsLocal(err) || errors.Is(err, syscall.EIO)
}

// Load reads the file that EDGE_CONFIG names. A name or address that the file lacks
// is taken from the environment. Errors name the field.
func Load(env func(string) string) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("EDGE_CONFIG: %s has more than %d bytes", path, maxFileSize)
	}
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	c, err := Parse(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse decodes and validates the text of a configuration file.
func Parse(text []byte, env func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: firstNonEmpty(f.Name, env("EDGE_NAME")), Listen: firstNonEmpty(f.Listen, env("EDGE_LISTEN")),
		Discovery: firstNonEmpty(f.Discovery, env("EDGE_DISCOVERY")), Cores: f.Limits.Cores,
		Memory: int64(f.Limits.MemoryMB * (1 << 20)), Sockets: f.Limits.Sockets}
	if err := c.validate(&f); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not 64 bits in hexadecimal", f.Seed)
	}
	if c.Profile, err = profile.Parse(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if faults.GuardDisabled(faults.BreakStart) {
		c.Profile.Settings.WarmAfter = 0
	}
	if err := c.Profile.Settings.Validate(); err != nil {
		return nil, err
	}
	if len(c.Profile.Classes) == 0 {
		return nil, errors.New("settings: classes is empty")
	}
	if len(f.Known) > 0 {
		if c.Known, err = discovery.Parse(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (c *Config) validate(f *file) error {
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is not host:port", a.name, a.addr)
		}
	}
	switch {
	case !(c.Cores > 0):
		return fmt.Errorf("limits.cores: %v is not over 0", c.Cores)
	case !(f.Limits.MemoryMB > 0 && f.Limits.MemoryMB < 1<<30) || c.Memory < minMemory:
		return fmt.Errorf("limits.memory_mb: %v is under %d", f.Limits.MemoryMB, minMemory>>20)
	case c.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, minSockets)
	case len(f.Settings) == 0:
		return errors.New("settings: is missing")
	}
	return nil
}
