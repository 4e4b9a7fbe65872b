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

// TestNewReleasesResourcesOnFailure: when a part can't be assembled, what the parts before it hold is given back: the
// address of the reports can be listened on, and the folder of the state opened, again.
func TestNewReleasesResourcesOnFailure(t *testing.T) {
	address := reservedport.ForTest(t)
	c, err := platform.Parse([]byte(configJSON("127.0.0.1:1", "127.0.0.1:1", fixtureSettings)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	folder := t.TempDir()
	own := &operator.File{
		State: filepath.Join(folder, "state"), NameRetention: 60_000, JournalMaxBytes: 1 << 20,
		ReportAddress: address, Record: filepath.Join(folder, "nowhere", "day.trace"),
	}
	for range 2 {
		_, err := New(c, own, log)
		if !errors.Is(err, os.ErrNotExist) || !strings.HasPrefix(err.Error(), "record: ") {
			t.Fatalf("%v", err)
		}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("the address of reports is still taken: %v", err)
	}
	listener.Close()
}
