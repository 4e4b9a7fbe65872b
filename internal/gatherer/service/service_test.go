package service

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/testbed/reservedport"
)

// TestNewReleasesResourcesOnFailure checks that New releases what earlier parts hold when a later part fails: the
// report address can be listened on again, and the state folder opened again.
func TestNewReleasesResourcesOnFailure(t *testing.T) {
	address := reservedport.ForTest(t)
	c, err := platform.Parse([]byte(configJSON("127.0.0.1:1", "127.0.0.1:1", fixtureSettings)),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	folder := t.TempDir()
	operatorFile := &operator.File{
		State: filepath.Join(folder, "state"), NameRetention: 60_000, JournalMaxBytes: 1 << 20,
		ReportAddress: address, Record: filepath.Join(folder, "nowhere", "day.trace"),
	}
	for range 2 {
		_, err := New(c, operatorFile, log)
		if !errors.Is(err, os.ErrNotExist) || !strings.HasPrefix(err.Error(), "record: ") {
			t.Fatalf("New returned %v, want a record error for a missing folder", err)
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("the report address is still in use: %v", err)
	}
	listener.Close()
}
