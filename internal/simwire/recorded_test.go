package simwire

import (
	"bytes"
	"compress/gzip"
	"flag"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"testing"
)

var record = flag.Bool("record", false, "record the days of testdata/kept anew")

func keptFile(day, direction string) string {
	return filepath.Join("testdata", "kept", day+"."+direction+".gz")
}

func readKept(t *testing.T, path string) []byte {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	unzipped, err := gzip.NewReader(file)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	text, err := io.ReadAll(unzipped)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return text
}

func writeKept(t *testing.T, path string, text []byte) {
	t.Helper()
	var zipped bytes.Buffer
	w, _ := gzip.NewWriterLevel(&zipped, gzip.BestCompression) // the level is known
	if _, err := w.Write(text); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, zipped.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestServeRepliesAsRecorded feeds recorded days to Serve and wants the recorded replies byte for byte. With -record
// it plays and records the days anew: only for a change that is meant to decide otherwise.
func TestServeRepliesAsRecorded(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("others may fuse multiplications, and the days were recorded without")
	}
	for _, s := range sites {
		t.Run(s.name, func(t *testing.T) {
			if *record {
				sent, received := (&simulatedDay{t: t, site: s}).play()
				writeKept(t, keptFile(s.name, "in"), sent)
				writeKept(t, keptFile(s.name, "out"), received)
			}
			var got bytes.Buffer
			if err := Serve(bytes.NewReader(readKept(t, keptFile(s.name, "in"))), &got); err != nil {
				t.Fatal(err)
			}
			want := readKept(t, keptFile(s.name, "out"))
			if bytes.Equal(got.Bytes(), want) {
				return
			}
			gotLines, wantLines := bytes.Split(got.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
			for i := range min(len(gotLines), len(wantLines)) {
				if !bytes.Equal(gotLines[i], wantLines[i]) {
					t.Fatalf("line %d of the replies: %s, want %s", i+1, gotLines[i], wantLines[i])
				}
			}
			t.Fatalf("%d lines of replies, want %d", len(gotLines), len(wantLines))
		})
	}
}

// TestRecordedDaysHoldEveryKindOfMessage guards against recordings that show little.
func TestRecordedDaysHoldEveryKindOfMessage(t *testing.T) {
	sent, received := map[string]int{}, map[string]int{}
	for _, s := range sites {
		for kind, n := range linesByKind(t, readKept(t, keptFile(s.name, "in"))) {
			sent[kind] += n
		}
		for kind, n := range linesByKind(t, readKept(t, keptFile(s.name, "out"))) {
			received[kind] += n
		}
	}
	t.Logf("sent %v, received %v", sent, received)
	for _, kind := range []string{"Hello", "Kill", "DefineList", "RosterChange C", "RosterChange D", "RosterChange F",
		"RosterChange X", "Accept", "CancelledByClient", "DeadlineHit", "Started", "Peer", "Sampled pass",
		"Sampled no_route", "Sampled too_slow", "ClosedAttempt pass", "ClosedAttempt fault", "ClosedAttempt no_room",
		"ClosedAttempt too_slow", "ClosedAttempt no_route", "ClosedAttempt cut", "ClosedAttempt undone",
		"ClosedAttempt stale_send"} {
		if sent[kind] == 0 {
			t.Errorf("no recording sends %s", kind)
		}
	}
	for _, kind := range []string{"PassOn", "UndoSend", "SettleQuery", "PushBack", "EndFailed", "Schedule", "Follow", "Inspect"} {
		if received[kind] < 5 {
			t.Errorf("the recordings hold %d replies %s, want some", received[kind], kind)
		}
	}
}
