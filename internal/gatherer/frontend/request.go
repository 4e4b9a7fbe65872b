package frontend

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"

	"yokeroute/internal/gatherer/dispatch"
)

const (
	maxBodyBytes     = 64 << 10  // what the protocol lets a body hold
	maxHeaderBytes   = 16 << 10  // of a request
	maxTimeoutMillis = 3_600_000 // milliseconds that a client may ask for; a longer time is a mistake
	maxIDBytes       = 128       // bytes of a client's name for its lookup
	weightTolerance  = 0.01      // by which weights may miss adding up to 1
)

// requestError is a request that cannot be taken, with the status that says so.
type requestError struct {
	status int
	text   string
}

func (f *requestError) Error() string { return f.text }

func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// body is what is needed of a lookup's body; the rest stays bytes.
type body struct {
	Shards []struct {
		Shard  *int     `json:"shard"`
		Weight *float64 `json:"weight"`
		Cost   float64  `json:"cost"`
		Key    string   `json:"key"`
	} `json:"shards"`
	Text json.RawMessage `json:"q"`
}

// parseHead takes from a request what stands before its body; its time counts from when it was sent.
func (s *Server) parseHead(r *http.Request, sent float64) (*dispatch.Query, error) {
	index, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case !s.classes[index]:
		return nil, &requestError{http.StatusNotFound, fmt.Sprintf("no index %q", index)}
	case r.Method != http.MethodPost:
		return nil, &requestError{http.StatusMethodNotAllowed, "a lookup is a POST"}
	case s.keyedClasses[index]:
		// Without its mark a repeat would run twice, and the protocol's pages do not say how it travels.
		return nil, &requestError{http.StatusNotImplemented, "fingerprinted lookups cannot be passed on yet"}
	}
	h := r.Header
	lk := &dispatch.Query{ID: h.Get("X-Request-ID"), Class: index, Tenant: h.Get("X-Tenant-Id"),
		RouteKey: h.Get("X-Route-Key"), Retried: h.Get("X-Retried") == "1"}
	if len(h["X-Request-Id"]) != 1 || lk.ID == "" || len(lk.ID) > maxIDBytes ||
		strings.ContainsFunc(lk.ID, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
		return nil, badRequest("X-Request-ID: %.40q", lk.ID)
	}
	if len(s.tenants) > 0 && !s.tenants[lk.Tenant] {
		return nil, badRequest("X-Tenant-Id: no customer %.40q", lk.Tenant)
	}
	wait, err := strconv.ParseUint(h.Get("X-Timeout-Ms"), 10, 64) // digits only: it is told in whole milliseconds
	if err != nil || len(h["X-Timeout-Ms"]) != 1 || wait == 0 || wait > maxTimeoutMillis {
		return nil, badRequest("X-Timeout-Ms: %.40q", h.Get("X-Timeout-Ms"))
	}
	lk.Deadline = sent + float64(wait)
	return lk, nil
}

// parseBody takes the parts from a body.
func (s *Server) parseBody(lk *dispatch.Query, text []byte) error {
	var b body
	if err := json.Unmarshal(text, &b); err != nil {
		return badRequest("body: %s", bodyError(err))
	}
	if len(b.Shards) == 0 {
		return badRequest("body: no shards")
	}
	var err error
	if lk.Payload, err = queryText(b.Text); err != nil {
		return err
	}
	seen, sum := make(map[int]bool, len(b.Shards)), 0.0
	for i, p := range b.Shards {
		switch {
		case p.Shard == nil || *p.Shard < 0 || s.shards > 0 && *p.Shard >= s.shards:
			return badRequest("body: shards[%d]: no such shard", i)
		case seen[*p.Shard]:
			return badRequest("body: shards[%d]: shard %d twice", i, *p.Shard)
		case p.Weight == nil || !(*p.Weight > 0) || *p.Weight > 1+weightTolerance:
			return badRequest("body: shards[%d]: weight", i)
		case p.Cost < 0:
			return badRequest("body: shards[%d]: cost", i)
		}
		seen[*p.Shard] = true
		sum += *p.Weight
		cost := p.Cost / 1000 // from microseconds
		lk.ShardRequests = append(lk.ShardRequests, dispatch.ShardRequest{Shard: *p.Shard, Weight: *p.Weight, Cost: cost, Key: p.Key})
		lk.Cost += cost
	}
	if math.Abs(sum-1) > weightTolerance {
		return badRequest("body: weights add up to %v, not 1", sum)
	}
	return nil
}

// bodyError is the text for a body that does not have the form of the protocol. encoding/json names the Go type of the
// outermost value, and clients see the text: the name that they know stays.
func bodyError(err error) string {
	return strings.Replace(err.Error(), "frontend.body", "front.body", 1)
}

// queryText is the query's text: the bytes between the quotes as they came, or what its escapes stand for.
func queryText(raw json.RawMessage) ([]byte, error) {
	if len(raw) < 2 || raw[0] != '"' {
		return nil, badRequest("body: q is no text")
	}
	if !bytes.ContainsRune(raw, '\\') {
		return raw[1 : len(raw)-1], nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return nil, badRequest("body: q: %v", err)
	}
	return []byte(text), nil
}

// statusOf is the status for a request that could not be read.
func statusOf(err error) int {
	var f *requestError
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &f):
		return f.status
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
