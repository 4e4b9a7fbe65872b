// Package httpfetch downloads documents over HTTP, with limits on their size and on the time they take to arrive.
package httpfetch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrStalled reports that a response body stopped arriving or took longer than the body timeout.
var ErrStalled = errors.New("response stalled")

// ErrTooLarge reports that a response body exceeds the size limit.
var ErrTooLarge = errors.New("response too large")

// StatusError reports a response status other than 200 OK.
type StatusError struct {
	Status string // status line, such as "503 Service Unavailable"
}

func (e *StatusError) Error() string { return "status " + e.Status }

// Limits limits a response body. The time until the header arrives is limited by the client's transport.
type Limits struct {
	MaxBytes     int64
	BodyTimeout  time.Duration // limit for the whole body; 0 means none
	StallTimeout time.Duration // limit between two reads that return bytes; 0 means none
}

// Get requests a document and returns its whole body. onHeader, if not nil, is called once the header has arrived.
func Get(ctx context.Context, client *http.Client, url string, limits Limits, onHeader func()) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if onHeader != nil {
		onHeader()
	}
	body, err := limits.read(response.Body, func() { cancel(ErrStalled) })
	switch {
	case err != nil && errors.Is(context.Cause(ctx), ErrStalled):
		return nil, fmt.Errorf("%w after %d bytes", ErrStalled, len(body))
	case err != nil:
		return nil, fmt.Errorf("response truncated after %d bytes: %w", len(body), err)
	case int64(len(body)) > limits.MaxBytes:
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, limits.MaxBytes)
	case response.StatusCode != http.StatusOK:
		return nil, &StatusError{response.Status}
	}
	return body, nil
}

// read reads a body to its end, or to one byte beyond MaxBytes. It calls stop when a timeout expires.
func (l *Limits) read(body io.Reader, stop func()) ([]byte, error) {
	if l.BodyTimeout > 0 {
		timer := time.AfterFunc(l.BodyTimeout, stop)
		defer timer.Stop()
	}
	if l.StallTimeout > 0 {
		timer := time.AfterFunc(l.StallTimeout, stop)
		defer timer.Stop()
		body = &progressReader{body, timer, l.StallTimeout}
	}
	return io.ReadAll(io.LimitReader(body, l.MaxBytes+1))
}

// progressReader restarts a timer whenever bytes arrive.
type progressReader struct {
	reader  io.Reader
	timer   *time.Timer
	timeout time.Duration
}

func (p *progressReader) Read(buf []byte) (int, error) {
	n, err := p.reader.Read(buf)
	if n > 0 {
		p.timer.Reset(p.timeout)
	}
	return n, err
}
