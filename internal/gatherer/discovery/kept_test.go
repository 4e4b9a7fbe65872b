package discovery

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/shardcall"
)

// The documents in testdata/kept are in the forms that discovery sends, and learnt.txt is what a gatherer of the version
// that kept them learns from each. None may be changed.

var keptStates = map[gather.State]string{gather.Running: "running", gather.Draining: "draining",
	gather.Removed: "gone"}

// TestKeptDocumentsAreReadAsBefore reads documents of all forms, one after the other, and compares what is handed on with the kept text.
func TestKeptDocumentsAreReadAsBefore(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "kept", "[0-9]-*.json"))
	if err != nil || len(files) != 7 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	var b strings.Builder
	f := New(Config{Address: "127.0.0.1:1", OnChange: func(list gather.EndpointList, all []shardcall.Address) {
		fmt.Fprintf(&b, "full %t, failed %t\n", list.Full, list.Failed)
		for _, s := range list.Endpoints {
			fmt.Fprintf(&b, "  server %d group %d zone %q kind %q size %v state %s started %.1f\n",
				s.ID, s.ReplicaSet, s.Zone, s.Kind, s.Size, keptStates[s.State], s.StartedAt)
		}
		for _, a := range all {
			fmt.Fprintf(&b, "  address %d %q at %s state %s started %.1f\n", a.ID, a.Name, a.HostPort,
				keptStates[a.State], a.StartedAt)
		}
	}})
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		r, err := ParseResponse(text)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		fmt.Fprintf(&b, "%s: revision %d, whole %t: ", filepath.Base(file), r.Revision, r.Full)
		f.Apply(r)
	}
	want, err := os.ReadFile(filepath.Join("testdata", "kept", "learnt.txt"))
	if err != nil || b.String() != string(want) {
		t.Errorf("learnt\n%s\nkept\n%s\n%v", b.String(), want, err)
	}
}

// TestKeptInvalidDocumentsAreRefused wants each document that the version that kept them refused refused whole.
func TestKeptInvalidDocumentsAreRefused(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "kept", "refused-*"))
	if err != nil || len(files) != 9 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if r, err := ParseResponse(text); err == nil {
			t.Errorf("%s is read as %+v", file, r)
		}
	}
}
