package slowwrite

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// TestOnlySlowWritesAreLogged tests that a slow write is logged as a warning with its subject, duration and fields, and
// that a fast write is not logged.
func TestOnlySlowWritesAreLogged(t *testing.T) {
	log, entries := logtest.NewNullLogger()
	Log(log, "store", time.Now())
	if n := len(entries.AllEntries()); n != 0 {
		t.Errorf("a fast write logged %d entries, want 0", n)
	}
	Log(log.WithField("queries", 3), "store", time.Now().Add(-time.Second))
	last := entries.LastEntry()
	if last == nil {
		t.Fatal("a slow write was not logged")
	}
	took, _ := last.Data["took"].(time.Duration)
	if last.Level != logrus.WarnLevel || last.Message != "store: slow write" || last.Data["queries"] != 3 || took < time.Second {
		t.Errorf("logged %v %q with fields %v", last.Level, last.Message, last.Data)
	}
}
