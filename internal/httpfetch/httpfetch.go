// Package httpfetch gets documents over HTTP, with bounds on their size and on the time that they take to arrive.
package httpfetch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// ErrStalled is a response whose body stopped arriving or took too long.
var ErrStalled = errors.New("response stalled")

// ErrTooLarge is a response over the size limit.
var ErrTooLarge = errors.New("response too large")

// StatusError is a response with a status other than 200 OK.
type StatusError struct {
	Status string // as in http.Response
}

func (e *StatusError) Error() string { return "status " + e.Status }

// Limits bound a response's body. How long its header may take is the transport's to bound.
type Limits struct {
	MaxBytes     int64
	BodyTimeout  time.Duration // for the whole body, 0 for no limit
	StallTimeout time.Duration // between two reads that return bytes, 0 for no limit
}

// Get requests a document and returns it in full. onHeader, if it is not nil, is called once the header has arrived.
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

// read reads a body to its end, or to one byte beyond MaxBytes. It calls stop where a timeout runs out.
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

// progressReader postpones a timer each time that bytes arrive.
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
