package report

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestReadLimitsTheReportSize tests that Read rejects a report of more than MaxBytes, here from a server that sends
// twice as much.
func TestReadLimitsTheReportSize(t *testing.T) {
	endless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 2 * MaxBytes / 1024 {
			if _, err := w.Write(make([]byte, 1024)); err != nil {
				return
			}
		}
	}))
	defer endless.Close()
	resp, err := http.Get(endless.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := Read(resp.Body); err == nil || !strings.Contains(err.Error(), "larger than 4 MB") {
		t.Errorf("error %v, want one that names the limit of 4 MB", err)
	}
}
