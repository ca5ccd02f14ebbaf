// Package config reads what the users' platform tells a router: EDGE_* and the
// configuration file that EDGE_CONFIG names.
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

// Config is a router's configuration.
type Config struct {
	Name      string
	Listen    string // host:port where clients connect
	Discovery string // host:port
	Seed      uint64
	Cores     float64
	Memory    int64 // bytes
	Sockets   int   // descriptors
	Known     *discovery.List
	Profile   *profile.Profile
}

// Bounds of what a file may ask for.
const (
	leastMemory  = 16 << 20
	leastSockets = 64
	mostFile     = 64 << 20 // bytes
)

// file is the configuration file as it comes.
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

var readFile = faults.ReadFile

// Reading at the start, while the file can't be read for a fault that passes.
const (
	startTries = 100
	startPause = 50 * time.Millisecond
)

// LoadAtStart is Load as the program starts. It goes on for five seconds while the
// file can't be read for a fault that passes, or ends too early, as while it is
// being written; one that makes no sense is told at once.
func LoadAtStart(env func(string) string) (*Config, error) {
	for try := 1; ; try++ {
		c, err := Load(env)
		if err == nil || try == startTries || !mayPass(err) {
			return c, err
		}
		time.Sleep(startPause)
	}
}

// mayPass tells whether a file that can't be read now may be read soon: the system
// fails for a while, or the file is just being written anew.
func mayPass(err error) bool {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Error() == "unexpected end of JSON input"
	}
	return connpool.IsLocal(err) || errors.Is(err, syscall.EIO)
}

// Load reads the file that the environment names. Where the file lacks the
// name or an address, the environment has it. Errors name the field.
func Load(env func(string) string) (*Config, error) {
	path := env("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	if info.Size() > mostFile {
		return nil, fmt.Errorf("EDGE_CONFIG: %s has more than %d bytes", path, mostFile)
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

// Parse reads the file's text.
func Parse(text []byte, env func(string) string) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: or(f.Name, env("EDGE_NAME")), Listen: or(f.Listen, env("EDGE_LISTEN")),
		Discovery: or(f.Discovery, env("EDGE_DISCOVERY")), Cores: f.Limits.Cores,
		Memory: int64(f.Limits.MemoryMB * (1 << 20)), Sockets: f.Limits.Sockets}
	if err := c.check(&f); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not 64 bits in hexadecimal", f.Seed)
	}
	if c.Profile, err = profile.Parse(f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if faults.Broken(faults.BreakStart) {
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

// or is the first text that is not empty.
func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (c *Config) check(f *file) error {
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is not host:port", a.name, a.addr)
		}
	}
	switch {
	case !(c.Cores > 0):
		return fmt.Errorf("limits.cores: %v is not over 0", c.Cores)
	case !(f.Limits.MemoryMB > 0 && f.Limits.MemoryMB < 1<<30) || c.Memory < leastMemory:
		return fmt.Errorf("limits.memory_mb: %v is under %d", f.Limits.MemoryMB, leastMemory>>20)
	case c.Sockets < leastSockets:
		return fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, leastSockets)
	case len(f.Settings) == 0:
		return errors.New("settings: is missing")
	}
	return nil
}
