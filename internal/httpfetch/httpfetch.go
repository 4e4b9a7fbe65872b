// Package httpfetch downloads documents over HTTP, with limits on their size. A download takes as long as its context
// lasts.
package httpfetch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

// ErrTooLarge reports that a response body exceeds the size limit.
var ErrTooLarge = errors.New("response too large")

// StatusError reports a response status other than 200 OK.
type StatusError struct {
	Status string // status line, such as "503 Service Unavailable"
}

func (e *StatusError) Error() string { return "status " + e.Status }

// ErrQuotaExceeded reports that the responses in transfer together exceed their quota.
var ErrQuotaExceeded = errors.New("responses in transfer exceed their quota")

// Quota limits the bytes of all response bodies that share it, each from its transfer until it is decoded. It is safe for
// concurrent use.
type Quota struct {
	maxBytes int64
	used     atomic.Int64
}

// NewQuota returns a quota of some bytes, of which none are in use.
func NewQuota(maxBytes int64) *Quota { return &Quota{maxBytes: maxBytes} }

// Limits limits a response body.
type Limits struct {
	MaxBytes int64
	Quota    *Quota // shared with other downloads; nil means none
}

// Decode requests a document and returns what decode makes of its whole body, which counts against the quota until decode
// returns. onHeader, if not nil, is called once the header has arrived.
func Decode[T any](
	ctx context.Context, client *http.Client, url string, limits Limits, onHeader func(),
	decode func(body []byte) (T, error),
) (document T, err error) {
	body := &limitedBody{limits: limits}
	defer body.release()
	text, err := body.download(ctx, client, url, onHeader)
	if err != nil {
		return document, err
	}
	return decode(text)
}

// limitedBody is a response body, the bytes of which count against the quota until release.
type limitedBody struct {
	limits Limits
	used   int64
}

// download requests a document and returns its whole body.
func (b *limitedBody) download(ctx context.Context, client *http.Client, url string, onHeader func()) ([]byte, error) {
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
	text, err := io.ReadAll(io.LimitReader(&quotaReader{response.Body, b}, b.limits.MaxBytes+1))
	switch {
	case errors.Is(err, ErrQuotaExceeded):
		return nil, err
	case err != nil:
		return nil, fmt.Errorf("response truncated after %d bytes: %w", len(text), err)
	case int64(len(text)) > b.limits.MaxBytes:
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, b.limits.MaxBytes)
	case response.StatusCode != http.StatusOK:
		return nil, &StatusError{response.Status}
	}
	return text, nil
}

// count counts some bytes against the quota.
func (b *limitedBody) count(n int) error {
	quota := b.limits.Quota
	if quota == nil {
		return nil
	}
	b.used += int64(n)
	if quota.used.Add(int64(n)) > quota.maxBytes {
		return fmt.Errorf("%w of %d bytes", ErrQuotaExceeded, quota.maxBytes)
	}
	return nil
}

func (b *limitedBody) release() {
	if quota := b.limits.Quota; quota != nil {
		quota.used.Add(-b.used)
	}
}

// quotaReader counts the bytes that it reads.
type quotaReader struct {
	reader io.Reader
	body   *limitedBody
}

func (r *quotaReader) Read(buffer []byte) (int, error) {
	n, err := r.reader.Read(buffer)
	if quotaErr := r.body.count(n); quotaErr != nil {
		return n, quotaErr
	}
	return n, err
}
