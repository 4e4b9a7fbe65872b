// Package platform reads, checks and completes the configuration that the platform gives a gatherer. Errors name the
// key at fault.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"yokeroute/gather"
	"yokeroute/internal/config/settings"
	"yokeroute/internal/gatherer/discovery"
	"yokeroute/internal/version"
)

// Limits are the resources that the platform allows a gatherer.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// defaults are the limits of a platform that states none.
var defaults = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}

// Config is a gatherer's configuration.
type Config struct {
	Name           string
	Listen         string
	Discovery      string
	Seed           uint64
	Limits         Limits
	KnownEndpoints *discovery.Response // nil where nothing was known
	Settings       *gather.Settings
	Checksum       string // fingerprint of the text that was read
}

// Load reads the file at path. Name and addresses that it lacks come from the environment.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, errors.New("NODE_CONFIG: not set, and no file given")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	c, err := Parse(text, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads the text of a configuration.
func Parse(text []byte, env func(string) string) (*Config, error) {
	file := struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}{Name: env("NODE_NAME"), Listen: env("NODE_LISTEN"), Discovery: env("NODE_DISCOVERY"), Limits: defaults}
	if err := json.Unmarshal(text, &file); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s: is a %s", wrong.Field, wrong.Value)
		}
		return nil, err
	}
	c := &Config{Checksum: version.Checksum(text), Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Limits: file.Limits}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not up to 16 hex digits", file.Seed)
	}
	switch l := c.Limits; {
	case !(l.Cores > 0):
		return nil, fmt.Errorf("limits.cores: %v is not above 0", l.Cores)
	case !(l.MemoryMB > 0):
		return nil, fmt.Errorf("limits.memory_mb: %v is not above 0", l.MemoryMB)
	case l.Sockets < minSockets:
		return nil, fmt.Errorf("limits.sockets: %d, at least %d are needed", l.Sockets, minSockets)
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if c.KnownEndpoints, err = discovery.ParseResponse(file.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		c.KnownEndpoints.Full = true // it is the list as this gatherer last held it
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, err = settings.Read(file.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

// minSockets leaves a few descriptors for clients beside those that the process itself holds.
const minSockets = 32
