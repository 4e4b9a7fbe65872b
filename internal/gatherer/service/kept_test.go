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

// TestStoredConfigIsParsed: a configuration of the platform is read key by key as it was when its format began.
func TestStoredConfigIsParsed(t *testing.T) {
	c, err := platform.Load(filepath.Join("testdata", "kept", "config.json"), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "g7" || c.Listen != "127.0.0.1:8001" || c.Discovery != "127.0.0.1:9001" || c.Seed != 0xdeadbeef ||
		c.Limits != (platform.Limits{Cores: 0.5, MemoryMB: 64, Sockets: 512}) {
		t.Errorf("%+v", c)
	}
	if c.Checksum != "fcaf128cf5aab831" {
		t.Errorf("fingerprint %s", c.Checksum)
	}
	if c.KnownEndpoints == nil || c.KnownEndpoints.Revision != 12 {
		t.Fatalf("known: %+v", c.KnownEndpoints)
	}
	stored := map[string]float64{"s1": 1796168000000, "s2": 1796168000000, "s3": 0}
	if marked := c.KnownEndpoints.MarkDraining(stored); marked != 1 {
		t.Errorf("%d of the known servers were marked as draining, one of them was in service", marked)
	}
}

// TestAdminEndpointResponses: what a gatherer says on its own paths is what it was.
func TestAdminEndpointResponses(t *testing.T) {
	own := &operator.File{BackgroundShare: 0.05, TracesKept: 4, TraceShare: 1}
	_, address, end := startGatherer(t, own, plainMachine, func(text string) string { return text })
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
	for until := time.Now().Add(10 * time.Second); get("/-/ready") != ready && time.Now().Before(until); {
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
