package service

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
)

// TestStoredConfigIsParsed checks that a stored platform configuration is still parsed key by key as in the first
// version of its format.
func TestStoredConfigIsParsed(t *testing.T) {
	c, err := platform.Load(filepath.Join("testdata", "kept", "config.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "g7" || c.Listen != "127.0.0.1:8001" || c.Discovery != "127.0.0.1:9001" || c.Seed != 0xdeadbeef ||
		c.Limits != (platform.Limits{Cores: 0.5, MemoryMB: 64, Sockets: 512}) {
		t.Errorf("parsed configuration %+v", c)
	}
	if c.Checksum != "fcaf128cf5aab831" {
		t.Errorf("checksum %s, want fcaf128cf5aab831", c.Checksum)
	}
	if c.KnownEndpoints == nil || c.KnownEndpoints.Revision != 12 {
		t.Fatalf("known endpoints %+v, want revision 12", c.KnownEndpoints)
	}
	stored := map[string]float64{"s1": 1796168000000, "s2": 1796168000000, "s3": 0}
	if marked := c.KnownEndpoints.MarkDraining(stored); marked != 1 {
		t.Errorf("%d known servers were marked as draining, want 1: only s1 is stored as draining and was in service", marked)
	}
}

// TestAdminEndpointResponsesAreUnchanged checks status, content type and body of the gatherer's own endpoints byte for
// byte.
func TestAdminEndpointResponsesAreUnchanged(t *testing.T) {
	operatorFile := &operator.File{BackgroundShare: 0.05, TracesKept: 4, TraceShare: 1}
	_, address, end := startGatherer(t, operatorFile, plainMachine, func(text string) string { return text })
	defer end()
	get := func(path string) string {
		resp, err := http.Get("http://" + address + path)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Error(err)
		}
		return fmt.Sprintf("%d %s %s", resp.StatusCode, resp.Header.Get("Content-Type"), text)
	}
	ready := "200 text/plain; charset=utf-8 ready\n"
	for deadline := time.Now().Add(10 * time.Second); get("/-/ready") != ready && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	for path, want := range map[string]string{
		"/-/ready":   ready,
		"/-/healthy": "200 text/plain; charset=utf-8 healthy\n",
		"/-/trace":   "200 application/json []",
		"/-/other":   "404 text/plain; charset=utf-8 no index \"-\"\n",
	} {
		if got := get(path); got != want {
			t.Errorf("%s: %q, want %q", path, got, want)
		}
	}
}
