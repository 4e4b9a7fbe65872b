package slowwrite

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// TestSlowWritesAloneAreLogged: a slow write is one warning, with its subject, duration and fields; a fast one is none.
func TestSlowWritesAloneAreLogged(t *testing.T) {
	log, entries := logtest.NewNullLogger()
	Log(log, "store", time.Now())
	if n := len(entries.AllEntries()); n != 0 {
		t.Errorf("%d entries of a fast write", n)
	}
	Log(log.WithField("queries", 3), "store", time.Now().Add(-time.Second))
	last := entries.LastEntry()
	if last == nil {
		t.Fatal("a slow write is not logged")
	}
	took, _ := last.Data["took"].(time.Duration)
	if last.Level != logrus.WarnLevel || last.Message != "store: slow write" || last.Data["queries"] != 3 || took < time.Second {
		t.Errorf("%v %q %v", last.Level, last.Message, last.Data)
	}
}
