package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// get makes one call. Its answer has to begin within the time that the transport gives it, to go on without a stall and
// to be whole within a limit.
func (f *Watcher) get(ctx context.Context, url string, limit time.Duration, begun *atomic.Bool) (*Response, error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if begun != nil {
		begun.Store(true)
	}
	whole := time.AfterFunc(limit, func() { stop(errStalled) })
	defer whole.Stop()
	stalled := time.AfterFunc(stallTimeout, func() { stop(errStalled) })
	defer stalled.Stop()
	body, err := io.ReadAll(&moving{io.LimitReader(resp.Body, maxBodyBytes+1), stalled})
	switch {
	case err != nil && context.Cause(ctx) == errStalled:
		return nil, fmt.Errorf("%w after %d bytes", errStalled, len(body))
	case err != nil:
		return nil, fmt.Errorf("answer cut after %d bytes: %w", len(body), err)
	case len(body) > maxBodyBytes:
		return nil, fmt.Errorf("%w: an answer of over %d bytes", errTooLarge, maxBodyBytes)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("discovery answers %s", resp.Status)
	}
	return ParseResponse(body)
}

var errStalled = errors.New("answer stalled")

// moving puts a timer off each time that something comes.
type moving struct {
	r     io.Reader
	timer *time.Timer
}

func (m *moving) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	if n > 0 {
		m.timer.Reset(stallTimeout)
	}
	return n, err
}
