package httpfetch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// get returns a whole body.
func get(ctx context.Context, client *http.Client, url string, limits Limits, onHeader func()) ([]byte, error) {
	return Decode(ctx, client, url, limits, onHeader, func(body []byte) ([]byte, error) { return body, nil })
}

// TestGetEnforcesLimitsAndStatus checks the result for bodies at and over the size limit, an error status, a body that is
// truncated, one that arrives in pieces with pauses, and those that stall or never end when the context ends.
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
		case "/pauses":
			for _, piece := range []string{"abc", "", "def"} {
				io.WriteString(w, piece)
				w.(http.Flusher).Flush()
				time.Sleep(100 * time.Millisecond)
			}
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
	unlimited := Limits{MaxBytes: 1 << 20}
	ended := func(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
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
		{"/pauses", Limits{MaxBytes: maxBytes}, "abcdef", func(err error) bool { return err == nil }},
		{"/stalls", Limits{MaxBytes: maxBytes}, "", ended},
		{"/trickles", unlimited, "", ended},
	} {
		headerCalls := 0
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		body, err := get(ctx, server.Client(), server.URL+c.path, c.limits, func() { headerCalls++ })
		cancel()
		if !c.isExpected(err) || string(body) != c.body || headerCalls != 1 {
			t.Errorf("%s: body %q, error %v, onHeader called %d times", c.path, body, err, headerCalls)
		}
	}
}

// TestQuotaLimitsDownloadsTogether has two downloads share a quota that has room for one body. The second must fail
// while the first is in transfer, and succeed once that has ended.
func TestQuotaLimitsDownloadsTogether(t *testing.T) {
	const size = 10
	inTransfer, finish := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, strings.Repeat("x", size))
		if r.URL.Path == "/open" {
			w.(http.Flusher).Flush()
			<-finish
		}
	}))
	defer server.Close()
	limits := Limits{MaxBytes: size, Quota: NewQuota(size + size/2)}
	var openErr error
	var open sync.WaitGroup
	open.Go(func() {
		_, openErr = get(t.Context(), server.Client(), server.URL+"/open", limits, func() { close(inTransfer) })
	})
	<-inTransfer
	for limits.Quota.used.Load() < size {
		time.Sleep(time.Millisecond)
	}
	if _, err := get(t.Context(), server.Client(), server.URL, limits, nil); !errors.Is(err, ErrQuotaExceeded) {
		t.Errorf("beside another download: error %v, want ErrQuotaExceeded", err)
	}
	close(finish)
	open.Wait()
	if openErr != nil {
		t.Errorf("the first download: %v", openErr)
	}
	if _, err := get(t.Context(), server.Client(), server.URL, limits, nil); err != nil {
		t.Errorf("after the first download: %v", err)
	}
}

// TestQuotaIsHeldUntilBodyIsDecoded guards against memory without a bound: bodies that wait to be decoded, which takes
// longer than their transfer, no longer counted against the quota.
func TestQuotaIsHeldUntilBodyIsDecoded(t *testing.T) {
	const size = 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", size))
	}))
	defer server.Close()
	limits := Limits{MaxBytes: size, Quota: NewQuota(size + size/2)}
	getError := func() error {
		_, err := get(t.Context(), server.Client(), server.URL, limits, nil)
		return err
	}
	var besideDecoding error
	_, err := Decode(t.Context(), server.Client(), server.URL, limits, nil, func([]byte) (string, error) {
		besideDecoding = getError()
		return "", nil
	})
	if afterwards := getError(); err != nil || !errors.Is(besideDecoding, ErrQuotaExceeded) || afterwards != nil {
		t.Errorf("while a body is decoded: error %v, want ErrQuotaExceeded; its own error %v, a later one %v, want none",
			besideDecoding, err, afterwards)
	}
}
