package httpfetch

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestGetEnforcesLimitsAndStatus checks the result for bodies at and over the size limit, an error status, and bodies
// that are truncated, stall, or arrive too slowly.
func TestGetEnforcesLimitsAndStatus(t *testing.T) {
	const maxBytes = 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/largest":
			io.WriteString(w, strings.Repeat("x", maxBytes))
		case "/larger":
			io.WriteString(w, strings.Repeat("x", maxBytes+1))
		case "/status":
			http.Error(w, "busy", http.StatusServiceUnavailable)
		case "/truncated":
			w.Header().Set("Content-Length", "5")
			io.WriteString(w, "abc")
		case "/stalls":
			io.WriteString(w, "abc")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case "/trickles":
			for r.Context().Err() == nil {
				io.WriteString(w, "a")
				w.(http.Flusher).Flush()
				time.Sleep(50 * time.Millisecond)
			}
		}
	}))
	defer server.Close()
	stalls := Limits{MaxBytes: maxBytes, StallTimeout: 50 * time.Millisecond}
	slow := Limits{MaxBytes: 1 << 20, BodyTimeout: 200 * time.Millisecond, StallTimeout: 10 * time.Second}
	var status *StatusError
	for _, c := range []struct {
		path       string
		limits     Limits
		body       string
		isExpected func(err error) bool
	}{
		{"/largest", Limits{MaxBytes: maxBytes}, "xxxxxxxxxx", func(err error) bool { return err == nil }},
		{"/larger", Limits{MaxBytes: maxBytes}, "", func(err error) bool { return errors.Is(err, ErrTooLarge) }},
		{"/status", Limits{MaxBytes: maxBytes}, "", func(err error) bool {
			return errors.As(err, &status) && status.Status == "503 Service Unavailable"
		}},
		{"/truncated", Limits{MaxBytes: maxBytes}, "", func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		{"/stalls", stalls, "", func(err error) bool { return errors.Is(err, ErrStalled) }},
		{"/trickles", slow, "", func(err error) bool { return errors.Is(err, ErrStalled) }},
	} {
		headerCalls := 0
		body, err := Get(t.Context(), server.Client(), server.URL+c.path, c.limits, func() { headerCalls++ })
		if !c.isExpected(err) || string(body) != c.body || headerCalls != 1 {
			t.Errorf("%s: body %q, error %v, onHeader called %d times", c.path, body, err, headerCalls)
		}
	}
}
