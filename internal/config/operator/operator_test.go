package operator

import (
	"os"
	"path/filepath"
	"testing"
)

// TestReference wants the page in docs to be the one that the table gives, and the file in deploy to say nothing.
func TestReference(t *testing.T) {
	page := filepath.Join("..", "..", "..", "docs", "operate", "reference-operator.md")
	if text, err := os.ReadFile(page); err != nil || string(text) != Reference() {
		t.Errorf("%s is not what yokeroute reference operator prints: %v", page, err)
	}
	f, err := Read(filepath.Join("..", "..", "..", "deploy", "yokeroute.conf"))
	if err != nil || f.Plan != "" || f.Placement != "" || len(f.TwoPhase) > 0 || f.TracesKept > 0 || f.NameRetention > 0 || f.SegmentAuthority+f.Segments != "" {
		t.Errorf("%+v, %v", f, err)
	}
}
