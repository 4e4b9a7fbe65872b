package main

import (
	"errors"
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
