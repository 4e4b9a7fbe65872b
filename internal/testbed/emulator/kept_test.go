package emulator

import (
	"path/filepath"
	"testing"
)

// TestKept plays the days that are kept: one for each rule under its hardest troubles, and one of the kind of each
// incident that was written up (docs/incidents), each at its seed. Every rule has to hold, and what each day expects;
// a change that is meant to move a day moves its expectation in the same commit.
func TestKept(t *testing.T) {
	files, err := filepath.Glob("testdata/kept/*.conf")
	if err != nil || len(files) < 20 {
		t.Fatalf("%d days, %v", len(files), err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			sc, err := Read(file)
			if err != nil {
				t.Fatal(err)
			}
			if len(sc.Expect) == 0 {
				t.Error("expects nothing")
			}
			r := play(t, sc, Options{Seed: sc.Seed, Variant: Ours})
			for _, short := range r.Short(sc) {
				t.Error(short)
			}
		})
	}
}
