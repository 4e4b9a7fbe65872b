package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yokeroute/internal/testbed/soak"
)

// TestSoakInAFolderInUseIsRefused guards against two soaks that remove each other's files: the second is
// refused before it touches anything, and may play once the first has ended.
func TestSoakInAFolderInUseIsRefused(t *testing.T) {
	folder := t.TempDir()
	left := filepath.Join(folder, "seed-1", "state")
	if err := os.MkdirAll(left, 0o755); err != nil {
		t.Fatal(err)
	}
	first, err := soak.LockFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	play := []string{"soak", "--first", "1", "--seeds", "1", "--gatherer", writeFile(t, "no-program", ""), "--out", folder}
	if out, err := execute(t, play...); !errors.Is(err, soak.ErrFolderInUse) || !strings.Contains(err.Error(), folder) {
		t.Errorf("%s%v", out, err)
	}
	if _, err := os.Stat(left); err != nil {
		t.Errorf("the refused soak touched the other one's files: %v", err)
	}
	first.Close()
	if out, err := execute(t, play...); !errors.Is(err, errNegative) || !strings.Contains(out, "permission denied") {
		t.Errorf("after the first has ended: %s%v", out, err)
	}
}
