package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeConfig(t *testing.T, listen, discovery string) string {
	path := filepath.Join(t.TempDir(), "config.json")
	rewriteConfig(t, path, listen, discovery)
	return path
}

// writeLimitedConfig is writeConfig with limits of one core, memory and sockets.
func writeLimitedConfig(t *testing.T, listen, discovery string, memoryMB, sockets int) string {
	path := writeConfig(t, listen, discovery)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	limits := fmt.Appendf(nil, `"limits":{"cores":1,"memory_mb":%d,"sockets":%d},"seed"`, memoryMB, sockets)
	if err := os.WriteFile(path, bytes.Replace(text, []byte(`"seed"`), limits, 1), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func rewriteConfig(t *testing.T, path, listen, discovery string) {
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1","settings":{"tick":5000,
		"classes":[{"name":"find","effect":"pure","goalTime":1000000,"hardLimit":3000000}],
		"domain":{"cells":1,"inARow":1,"shards":4,"partsACall":16},
		"limits":{"cancel":true,"connectTimeout":250000,"idleClose":30000000,"streamsPerConn":100,"attemptsCap":3}}}`, listen, discovery)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func execute(t *testing.T, args ...string) (string, error) {
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetArgs(args)
	cmd.SetOut(&out)
	cmd.SetErr(&out)
	err := cmd.ExecuteContext(t.Context())
	return out.String(), err
}

func TestCommandsNameFaultyConfiguration(t *testing.T) {
	if out, err := execute(t, "version"); err != nil || !strings.HasPrefix(out, "yokeroute ") {
		t.Errorf("%q, %v", out, err)
	}
	good := writeConfig(t, "127.0.0.1:8000", "127.0.0.1:8500")
	if out, err := execute(t, "check-config", "--config", good); err != nil || !strings.Contains(out, "127.0.0.1:8000") {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := execute(t, "check-config", "--config", writeConfig(t, "here", "127.0.0.1:8500")); err == nil ||
		!strings.Contains(err.Error(), "listen: ") {
		t.Errorf("error %v", err)
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if _, err := execute(t, "serve", "--config", writeConfig(t, taken.Addr().String(), "127.0.0.1:8500")); err == nil ||
		!strings.Contains(err.Error(), "listen: ") {
		t.Errorf("an address in use: %v", err)
	}
	if _, err := execute(t, "serve", "--config", good, "--log-level", "loud"); err == nil || !strings.Contains(err.Error(), "log-level") {
		t.Errorf("a level that is none: %v", err)
	}
}
