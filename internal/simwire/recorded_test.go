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

var recordFlag = flag.Bool("record", false, "run the simulations again and replace the recordings in testdata/kept")

// recordingFile returns the path of a simulation's recording; direction is in for the input, out for the replies.
func recordingFile(name, direction string) string {
	return filepath.Join("testdata", "kept", name+"."+direction+".gz")
}

func readRecording(t *testing.T, path string) []byte {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	uncompressed, err := gzip.NewReader(file)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	text, err := io.ReadAll(uncompressed)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return text
}

func writeRecording(t *testing.T, path string, text []byte) {
	t.Helper()
	var compressed bytes.Buffer
	w, _ := gzip.NewWriterLevel(&compressed, gzip.BestCompression) // fails only for an invalid level
	if _, err := w.Write(text); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, compressed.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// TestServeRepliesMatchRecordings guards against unintended changes of decisions. It feeds recorded input to Serve and
// expects the recorded replies byte for byte. With -record it first runs the simulations again and replaces the
// recordings, which is only for a change that is meant to alter decisions.
func TestServeRepliesMatchRecordings(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64; other architectures may fuse multiplications and additions, which alters results")
	}
	for _, config := range simulationConfigs {
		t.Run(config.name, func(t *testing.T) {
			if *recordFlag {
				sent, received := (&simulation{t: t, config: config}).run()
				writeRecording(t, recordingFile(config.name, "in"), sent)
				writeRecording(t, recordingFile(config.name, "out"), received)
			}
			var got bytes.Buffer
			if err := Serve(bytes.NewReader(readRecording(t, recordingFile(config.name, "in"))), &got); err != nil {
				t.Fatal(err)
			}
			want := readRecording(t, recordingFile(config.name, "out"))
			if bytes.Equal(got.Bytes(), want) {
				return
			}
			gotLines, wantLines := bytes.Split(got.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
			for i := range min(len(gotLines), len(wantLines)) {
				if !bytes.Equal(gotLines[i], wantLines[i]) {
					t.Fatalf("reply line %d: %s, want %s", i+1, gotLines[i], wantLines[i])
				}
			}
			t.Fatalf("%d reply lines, want %d", len(gotLines), len(wantLines))
		})
	}
}

// TestRecordingsContainEveryKindOfMessage guards against recordings that leave messages of some kind untested.
func TestRecordingsContainEveryKindOfMessage(t *testing.T) {
	sent, received := map[string]int{}, map[string]int{}
	for _, config := range simulationConfigs {
		for kind, n := range countLinesByKind(t, readRecording(t, recordingFile(config.name, "in"))) {
			sent[kind] += n
		}
		for kind, n := range countLinesByKind(t, readRecording(t, recordingFile(config.name, "out"))) {
			received[kind] += n
		}
	}
	t.Logf("messages sent: %v, received: %v", sent, received)
	for _, kind := range []string{"Hello", "Kill", "DefineList", "RosterChange C", "RosterChange D", "RosterChange F",
		"RosterChange X", "Accept", "CancelledByClient", "DeadlineHit", "Started", "Peer", "Sampled pass",
		"Sampled no_route", "Sampled too_slow", "ClosedAttempt pass", "ClosedAttempt fault", "ClosedAttempt no_room",
		"ClosedAttempt too_slow", "ClosedAttempt no_route", "ClosedAttempt cut", "ClosedAttempt undone",
		"ClosedAttempt stale_send"} {
		if sent[kind] == 0 {
			t.Errorf("no recording contains a message %s", kind)
		}
	}
	for _, kind := range []string{"PassOn", "UndoSend", "SettleQuery", "PushBack", "EndFailed", "Schedule", "Follow", "Inspect"} {
		if received[kind] < 5 {
			t.Errorf("the recordings contain %d replies %s, want at least 5", received[kind], kind)
		}
	}
}
