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
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/millis"
	"yokeroute/logic"
)

const (
	maxBodyBytes   = 64 << 10 // limit of the protocol
	maxHeaderBytes = 16 << 10

	maxTimeoutMillis = 3_600_000 // limit of X-Timeout-Ms; a longer timeout is an error of the client
	maxIDBytes       = 128       // limit of X-Request-ID

	weightTolerance = 0.01 // clients round weights, so their sum may differ from 1 by this much

	// maxDepth limits how deep the elements of a body are nested, before the body is parsed. A query has three levels.
	maxDepth = 16

	// maxCommasPerShard limits the commas of a body outside of its texts, for each shard that it can name, before the body
	// is parsed. A shard request has four fields.
	maxCommasPerShard = 16

	microsPerMilli = 1000
)

// requestError is the error for a request that is not served, with the status and text of the response.
type requestError struct {
	status int
	text   string
}

func (e *requestError) Error() string { return e.text }

func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// queryLimits holds the settings that requests are validated against.
type queryLimits struct {
	classes      map[string]bool
	keyedClasses map[string]bool    // classes of idempotency-keyed queries
	tenants      map[string]bool    // empty: any tenant is accepted
	shards       int                // 0: any shard is accepted
	maxDeadline  time.Duration      // the longest deadline of all classes
	retryAfter   map[string]float64 // Retry-After, in milliseconds, for a query that is rejected unread, by class
}

func newQueryLimits(settings *gather.Settings, log *logrus.Logger) queryLimits {
	l := queryLimits{
		classes:      setOf(settings.ClassNames()),
		keyedClasses: map[string]bool{},
		tenants:      setOf(settings.TenantNames()),
		shards:       settings.Shards,
		retryAfter:   map[string]float64{},
	}
	for _, class := range settings.Classes {
		l.maxDeadline = max(l.maxDeadline, millis.Duration(class.Deadline))
		l.retryAfter[class.Name] = logic.LateRetryAfter(settings, &class)
		if class.Effect == gather.IdempotencyKeyed {
			l.keyedClasses[class.Name] = true
			log.WithField("class", class.Name).Warn("front end: queries of an idempotency-keyed class are rejected")
		}
	}
	if l.maxDeadline == 0 {
		l.maxDeadline = killTimeout
	}
	return l
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// body is the JSON form of a query's body. encoding/json includes the name of this type and the anonymous type in its
// errors, which are part of the responses to invalid bodies; so neither may change.
type body struct {
	Shards []struct {
		Shard  *int     `json:"shard"`
		Weight *float64 `json:"weight"`
		Cost   float64  `json:"cost"` // microseconds
		Key    string   `json:"key"`
	} `json:"shards"`
	Text json.RawMessage `json:"q"`
}

// classOf returns the class that a request's path names.
func classOf(r *http.Request) string {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return class
}

// parseHead returns the query that a request's path and headers describe. The client's timeout starts at sentAt.
func (l *queryLimits) parseHead(r *http.Request, sentAt float64) (*dispatch.Query, error) {
	class := classOf(r)
	switch {
	case !l.classes[class]:
		return nil, &requestError{http.StatusNotFound, fmt.Sprintf("no index %.40q", class)}
	case r.Method != http.MethodPost:
		return nil, &requestError{http.StatusMethodNotAllowed, "a lookup is a POST"}
	case l.keyedClasses[class]:
		// Without its idempotency key a retried query would run twice, and the protocol does not define how the key is
		// transmitted.
		return nil, &requestError{http.StatusNotImplemented, "fingerprinted lookups cannot be passed on yet"}
	}
	h := r.Header
	query := &dispatch.Query{
		ID:       h.Get("X-Request-ID"),
		Class:    class,
		Tenant:   h.Get("X-Tenant-Id"),
		RouteKey: h.Get("X-Route-Key"),
		Retried:  h.Get("X-Retried") == "1",
	}
	if len(h["X-Request-Id"]) != 1 || !validID(query.ID) {
		return nil, badRequest("X-Request-ID: %.40q", query.ID)
	}
	if len(l.tenants) > 0 && !l.tenants[query.Tenant] {
		return nil, badRequest("X-Tenant-Id: no customer %.40q", query.Tenant)
	}
	timeout, err := strconv.ParseUint(h.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || len(h["X-Timeout-Ms"]) != 1 || timeout == 0 || timeout > maxTimeoutMillis {
		return nil, badRequest("X-Timeout-Ms: %.40q", h.Get("X-Timeout-Ms"))
	}
	query.Deadline = sentAt + float64(timeout)
	return query, nil
}

// validID reports whether an ID is not empty, at most maxIDBytes long, and printable ASCII without spaces.
func validID(id string) bool {
	disallowed := func(c rune) bool { return c <= ' ' || c >= 0x7f }
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsFunc(id, disallowed)
}

// parseBody parses the body of a query and adds its shard requests and payload to the query.
func (l *queryLimits) parseBody(query *dispatch.Query, text []byte) error {
	if err := l.checkStructure(text); err != nil {
		return err
	}
	var b body
	if err := json.Unmarshal(text, &b); err != nil {
		return badRequest("body: %s", bodyError(err))
	}
	if len(b.Shards) == 0 {
		return badRequest("body: no shards")
	}
	var err error
	if query.Payload, err = queryText(b.Text); err != nil {
		return err
	}
	requested := make(map[int]bool, len(b.Shards))
	weightSum := 0.0
	for i, s := range b.Shards {
		switch {
		case s.Shard == nil || *s.Shard < 0 || l.shards > 0 && *s.Shard >= l.shards:
			return badRequest("body: shards[%d]: no such shard", i)
		case requested[*s.Shard]:
			return badRequest("body: shards[%d]: shard %d twice", i, *s.Shard)
		case s.Weight == nil || !(*s.Weight > 0) || *s.Weight > 1+weightTolerance:
			return badRequest("body: shards[%d]: weight", i)
		case s.Cost < 0:
			return badRequest("body: shards[%d]: cost", i)
		}
		requested[*s.Shard] = true
		weightSum += *s.Weight
		cost := s.Cost / microsPerMilli
		query.Cost += cost
		query.ShardRequests = append(query.ShardRequests,
			dispatch.ShardRequest{Shard: *s.Shard, Weight: *s.Weight, Cost: cost, Key: s.Key})
	}
	if math.Abs(weightSum-1) > weightTolerance {
		return badRequest("body: weights add up to %v, not 1", weightSum)
	}
	return nil
}

// checkStructure checks the depth and the number of the elements of a body before it is parsed. Parsing takes much longer
// than this check, and creates a value for each element.
func (l *queryLimits) checkStructure(text []byte) error {
	maxCommas := math.MaxInt
	if l.shards > 0 {
		maxCommas = l.shards * maxCommasPerShard
	}
	depth, commas := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i += lengthOfText(text[i+1:])
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case ',':
			commas++
		}
		switch {
		case depth > maxDepth:
			return badRequest("body: nested too deeply")
		case commas > maxCommas:
			return badRequest("body: too many elements")
		}
	}
	return nil
}

// lengthOfText returns the length of the JSON string that begins in front of text, with its closing quote.
func lengthOfText(text []byte) int {
	for from := 0; ; {
		quote := bytes.IndexByte(text[from:], '"')
		if quote < 0 {
			return len(text)
		}
		escape := bytes.IndexByte(text[from:from+quote], '\\')
		if escape < 0 {
			return from + quote + 1
		}
		from = min(from+escape+2, len(text)) // behind the escaped character
	}
}

// bodyError returns the response text for a body that does not follow the protocol. encoding/json names the Go type of
// the outermost value together with its package. The package was first named front; clients see the text, so it keeps
// that name.
func bodyError(err error) string {
	return strings.Replace(err.Error(), "frontend.body", "front.body", 1)
}

// queryText returns the text of a JSON string: its bytes unchanged if it has no escapes, otherwise unescaped.
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

// statusOf returns the response status for a request that is not served.
func statusOf(err error) int {
	var invalid *requestError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &invalid):
		return invalid.status
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
