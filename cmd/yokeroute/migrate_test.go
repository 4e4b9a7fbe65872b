package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMigrateListsLossesAndNeverOverwritesUnasked checks the command's exit status and list, a dry run that writes
// nothing, and that the result is a valid configuration.
func TestMigrateListsLossesAndNeverOverwritesUnasked(t *testing.T) {
	fleet := filepath.Join(t.TempDir(), "fleet.json")
	if err := os.WriteFile(fleet, []byte(`{"discovery":"on_request","limits":{"idleClose":null,"secondCopies":false}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	old := writeConfig(t, "127.0.0.1:8000", "127.0.0.1:8500")
	to := filepath.Join(t.TempDir(), "new.json")
	out, err := execute(t, "migrate", "--config", old, "--fleet", fleet, "--out", to, "--dry-run")
	if !errors.Is(err, errNegative) || !strings.Contains(out, "not carried over: settings.limits.idleClose: ") || !strings.Contains(out, `"on_request"`) {
		t.Errorf("%q, %v", out, err)
	}
	if _, err := os.Stat(to); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a dry run has written: %v", err)
	}
	if _, err := execute(t, "migrate", "--config", old, "--fleet", fleet, "--out", to); !errors.Is(err, errNegative) {
		t.Error(err)
	}
	if out, err := execute(t, "check-config", "--config", to); err != nil || !strings.Contains(out, "127.0.0.1:8500") {
		t.Errorf("%q, %v", out, err)
	}
	first, _ := os.ReadFile(to)
	if _, err := execute(t, "migrate", "--config", to, "--fleet", fleet, "--out", to); err == nil || errors.Is(err, errNegative) {
		t.Errorf("written over unasked: %v", err)
	}
	if out, err := execute(t, "migrate", "--config", to, "--fleet", fleet, "--out", to, "--overwrite"); err != nil || out != "" {
		t.Errorf("its own output once more: %q, %v", out, err)
	}
	if again, _ := os.ReadFile(to); string(again) != string(first) {
		t.Errorf("%s\nis not\n%s", again, first)
	}
	if _, err := execute(t, "migrate", "--config", old); err == nil || errors.Is(err, errNegative) {
		t.Errorf("without a fleet: %v", err)
	}
}

// TestAtomicFileIsCompleteOrAbsent: a file is replaced only on request, and nothing is left behind by a failed write.
func TestAtomicFileIsCompleteOrAbsent(t *testing.T) {
	write := func(name, text string, put func(from, to string) error) error {
		file := atomicFile{name: name, mode: privateFileMode, publish: put}
		return file.write(func(w io.Writer) error { _, err := io.WriteString(w, text); return err })
	}
	folder := t.TempDir()
	name := filepath.Join(folder, "new.json")
	if err := write(name, "one", os.Link); err != nil {
		t.Fatal(err)
	}
	if err := write(name, "two", os.Link); err == nil {
		t.Error("written over")
	}
	if text, _ := os.ReadFile(name); string(text) != "one" {
		t.Errorf("%q", text)
	}
	if err := write(name, "three", os.Rename); err != nil {
		t.Fatal(err)
	}
	if text, _ := os.ReadFile(name); string(text) != "three" {
		t.Errorf("%q", text)
	}
	if left, _ := os.ReadDir(folder); len(left) != 1 {
		t.Errorf("left behind: %v", left)
	}
	if err := write(filepath.Join(folder, "no", "such"), "", os.Rename); err == nil {
		t.Error("written into a folder that is not there")
	}
}
