package segments

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"yokeroute/logic/ownership"
)

// The documents in testdata/kept are those of the version that wrote them. None may be changed: authorities, gatherers
// and operators' files of two versions have to understand each other.

func kept(t *testing.T, name string) []byte {
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
	step := func(c ownership.Change, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		if m, err = m.Apply(c); err != nil {
			t.Fatal(err)
		}
		changes = append(changes, c)
	}
	step(m.MoveSegment("a", []string{"h-03", "h-01"}))
	step(m.SplitSegment("a", 1<<61, "a1", "a2"))
	step(m.MergeSegments("a1", "a2", "a"))
	step(m.MoveSegment("b", nil))
	return changes
}

// TestKeptResponsesAreReadAndWrittenAsBefore reads the authority's replies as they were kept, and writes the same values to the same bytes.
func TestKeptResponsesAreReadAndWrittenAsBefore(t *testing.T) {
	for name, want := range map[string]*Response{
		"whole.json":   {Full: keptMap(t)},
		"changes.json": {Changes: keptChanges(t)},
		"both.json":    {Full: keptMap(t), Changes: keptChanges(t)[:1]},
		"nothing.json": {},
	} {
		text := kept(t, name)
		got, err := ParseResponse(text)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if want.Full != nil && !reflect.DeepEqual(got.Full, want.Full) || len(got.Changes) != len(want.Changes) {
			t.Errorf("%s: read %+v, want %+v", name, got, want)
		}
		for i := range got.Changes {
			if !reflect.DeepEqual(got.Changes[i], want.Changes[i]) {
				t.Errorf("%s: change %d is read as %+v, want %+v", name, i, got.Changes[i], want.Changes[i])
			}
		}
		if written := want.Encode(); !bytes.Equal(written, text) {
			t.Errorf("%s: written %s, kept %s", name, written, text)
		}
		if written := got.Encode(); !bytes.Equal(written, text) {
			t.Errorf("%s: read and written again: %s, kept %s", name, written, text)
		}
	}
	// What a later authority may add is left aside.
	got, err := ParseResponse(kept(t, "unknown-keys.json"))
	if err != nil || !reflect.DeepEqual(got, &Response{Full: keptMap(t)}) {
		t.Errorf("unknown keys: %+v, %v", got, err)
	}
}

// TestKeptMapFilesAreReadAndWrittenAsBefore reads a map file in all forms that operators write, and writes the same map to the same bytes.
func TestKeptMapFilesAreReadAndWrittenAsBefore(t *testing.T) {
	for _, name := range []string{"by-hand.conf", "written.conf"} {
		got, shards, err := ReadMap(filepath.Join("testdata", "kept", name))
		if err != nil || shards != 18 || !reflect.DeepEqual(got, keptMap(t)) {
			t.Errorf("%s: read %+v, %d shards, %v", name, got, shards, err)
		}
	}
	if written, want := FormatMap(keptMap(t), 18), string(kept(t, "written.conf")); written != want {
		t.Errorf("written %s, kept %s", written, want)
	}
	if written, want := FormatMap(keptMap(t), 0), string(kept(t, "written-without-shards.conf")); written != want {
		t.Errorf("written %s, kept %s", written, want)
	}
}
