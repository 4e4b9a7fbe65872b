package segments

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"yokeroute/logic/ownership"
)

// The files in testdata/kept were written by earlier versions and must not be changed: authorities, gatherers and
// operators' files of different versions have to stay compatible.

func readKept(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "kept", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func keptMap(t *testing.T) *ownership.Map {
	t.Helper()
	quarter := uint64(1) << 62
	m, err := ownership.NewMap(7, []ownership.Segment{
		{Name: "a", Range: ownership.Range{Lo: 0, Hi: quarter - 1}, Owners: []string{"h-01", "h-02"}, OwnedSince: 3},
		{Name: "b", Range: ownership.Range{Lo: quarter, Hi: 2*quarter - 1}, Owners: []string{"h-02"}},
		{Name: "c", Range: ownership.Range{Lo: 3 * quarter, Hi: ^uint64(0)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func keptChanges(t *testing.T) []ownership.Change {
	t.Helper()
	m := keptMap(t)
	var changes []ownership.Change
	appendChange := func(c ownership.Change, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		if m, err = m.Apply(c); err != nil {
			t.Fatal(err)
		}
		changes = append(changes, c)
	}
	appendChange(m.MoveSegment("a", []string{"h-03", "h-01"}))
	appendChange(m.SplitSegment("a", 1<<61, "a1", "a2"))
	appendChange(m.MergeSegments("a1", "a2", "a"))
	appendChange(m.MoveSegment("b", nil))
	return changes
}

// TestKeptResponsesAreReadAndWrittenAsBefore checks that the kept responses of an authority parse to the expected
// values and that these values are encoded to the same bytes.
func TestKeptResponsesAreReadAndWrittenAsBefore(t *testing.T) {
	for name, want := range map[string]*Response{
		"whole.json":   {Full: keptMap(t)},
		"changes.json": {Changes: keptChanges(t)},
		"both.json":    {Full: keptMap(t), Changes: keptChanges(t)[:1]},
		"nothing.json": {},
	} {
		text := readKept(t, name)
		got, err := ParseResponse(text)
		if err != nil {
			t.Errorf("%s: parse: %v", name, err)
			continue
		}
		if want.Full != nil && !reflect.DeepEqual(got.Full, want.Full) || len(got.Changes) != len(want.Changes) {
			t.Errorf("%s: parsed to %+v, want %+v", name, got, want)
		}
		for i := range got.Changes {
			if !reflect.DeepEqual(got.Changes[i], want.Changes[i]) {
				t.Errorf("%s: change %d parsed to %+v, want %+v", name, i, got.Changes[i], want.Changes[i])
			}
		}
		if written := want.Encode(); !bytes.Equal(written, text) {
			t.Errorf("%s: encoded to %s, want the kept %s", name, written, text)
		}
		if written := got.Encode(); !bytes.Equal(written, text) {
			t.Errorf("%s: parsed and encoded again: got %s, want the kept %s", name, written, text)
		}
	}
	// Keys that a later version of the authority may add are ignored.
	got, err := ParseResponse(readKept(t, "unknown-keys.json"))
	if err != nil || !reflect.DeepEqual(got, &Response{Full: keptMap(t)}) {
		t.Errorf("response with unknown keys: got %+v, %v; want them ignored", got, err)
	}
}

// TestKeptMapFilesAreReadAndWrittenAsBefore checks that kept map files, among them one written by hand in all
// permitted forms, parse to the same map, and that the map is formatted to the same bytes.
func TestKeptMapFilesAreReadAndWrittenAsBefore(t *testing.T) {
	for _, name := range []string{"by-hand.conf", "written.conf"} {
		got, shards, err := ReadMap(filepath.Join("testdata", "kept", name))
		if err != nil || shards != 18 || !reflect.DeepEqual(got, keptMap(t)) {
			t.Errorf("%s: got %+v, %d shards, %v; want the kept map, 18 shards", name, got, shards, err)
		}
	}
	if written, want := FormatMap(keptMap(t), 18), string(readKept(t, "written.conf")); written != want {
		t.Errorf("with shards: formatted as %s, want the kept %s", written, want)
	}
	if written, want := FormatMap(keptMap(t), 0), string(readKept(t, "written-without-shards.conf")); written != want {
		t.Errorf("without shards: formatted as %s, want the kept %s", written, want)
	}
}
