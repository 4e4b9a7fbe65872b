package main

import (
	"testing"

	"yokeroute/internal/control/rollout"
)

// TestRolloutBackStaysAnAliasOfRollback: the command's earlier name finds the same command.
func TestRolloutBackStaysAnAliasOfRollback(t *testing.T) {
	cmd := rolloutCommand()
	for _, name := range []string{"rollback", "back"} {
		found, _, err := cmd.Find([]string{name, "release-42.conf"})
		if err != nil || found.Name() != "rollback" {
			t.Errorf("%s: %v, %v", name, found, err)
		}
	}
	if rollout.CommandBack != "back" {
		t.Errorf("the command's word in a rollout's folder is %q", rollout.CommandBack)
	}
}
