package kit2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Query is one query of a client, with what became of it.
type Query struct {
	ID      string
	Class   string
	Shards  []int
	Text    string
	Timeout time.Duration
	SentAt  time.Time

	Status   int // 0: no whole answer came
	Err      error
	EndedAt  time.Time
	Complete bool
	Hits     map[int]string
	Body     string
}

// Client sends queries to one gatherer.
type Client struct {
	Address string
	Tenant  string
	Record  *Record
	Prefix  string
	http    *http.Client
	rest    time.Duration // 0: keeps connections for further queries

	mu      sync.Mutex
	queries []*Query
	n       int
	wg      sync.WaitGroup
	stop    chan struct{}
}

// NewClient returns a client that keeps connections and opens more when all are busy.
func NewClient(address, prefix string, record *Record) *Client {
	return &Client{Address: address, Tenant: "mainline", Record: record, Prefix: prefix, stop: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// NewRestingClient returns a client that opens a connection for each query, and closes it only some time after its
// answer.
func NewRestingClient(address, prefix string, rest time.Duration, record *Record) *Client {
	c := NewClient(address, prefix, record)
	c.rest = rest
	return c
}

// NewQuery makes a query of consecutive shards.
func (c *Client) NewQuery(class string, first, parts, shards int, timeout time.Duration) *Query {
	c.mu.Lock()
	c.n++
	n := c.n
	c.mu.Unlock()
	q := &Query{ID: fmt.Sprintf("%s%08x%06x", c.Prefix, rand.Uint32(), n), Class: class, Text: fmt.Sprintf("t%d", n), Timeout: timeout}
	for i := range parts {
		q.Shards = append(q.Shards, (first+i)%shards)
	}
	return q
}

// Body is the body of a query.
func (q *Query) body() []byte {
	type part struct {
		Shard  int     `json:"shard"`
		Weight float64 `json:"weight"`
		Cost   int     `json:"cost"`
	}
	var b struct {
		Shards []part `json:"shards"`
		Q      string `json:"q"`
	}
	for _, s := range q.Shards {
		b.Shards = append(b.Shards, part{s, 1 / float64(len(q.Shards)), 9000})
	}
	b.Q = q.Text
	text, _ := json.Marshal(b)
	return text
}

// Send sends a query and waits for its end.
func (c *Client) Send(q *Query) {
	c.mu.Lock()
	c.queries = append(c.queries, q)
	c.mu.Unlock()
	// The client waits half a second longer than it says, so that a late answer is seen.
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout+time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/"+q.Class, bytes.NewReader(q.body()))
	r.Host = "service.internal"
	r.Header.Set("X-Request-ID", q.ID)
	r.Header.Set("X-Tenant-Id", c.Tenant)
	r.Header.Set("X-Timeout-Ms", strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	q.SentAt = time.Now()
	c.Record.At(q.SentAt, "client sends %s /%s shards %v timeout %d ms", q.ID, q.Class, q.Shards, q.Timeout.Milliseconds())
	do := c.http
	if c.rest > 0 {
		t := &http.Transport{DisableCompression: true}
		time.AfterFunc(q.Timeout+c.rest, t.CloseIdleConnections)
		do = &http.Client{Transport: t}
	}
	res, err := do.Do(r)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(res.Body)
		res.Body.Close()
	}
	q.EndedAt = time.Now()
	if err != nil {
		q.Err = err
		c.Record.At(q.EndedAt, "client %s: no answer: %v", q.ID, err)
		return
	}
	q.Status = res.StatusCode
	q.Body = string(text)
	if q.Status == 200 {
		var d struct {
			Complete bool `json:"complete"`
			Hits     []struct {
				Shard int    `json:"shard"`
				Doc   string `json:"doc"`
			} `json:"hits"`
		}
		q.Err = json.Unmarshal(text, &d)
		q.Complete = d.Complete
		q.Hits = map[int]string{}
		for _, h := range d.Hits {
			q.Hits[h.Shard] = h.Doc
		}
	}
	c.Record.At(q.EndedAt, "client %s: %d after %.1f ms: %.300s", q.ID, q.Status, float64(q.EndedAt.Sub(q.SentAt).Microseconds())/1000, bytes.TrimSpace(text))
}

// Load sends queries at a rate until Stop, each by next.
func (c *Client) Load(perSecond float64, next func(n int) *Query) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			q := next(n)
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.Send(q)
			}()
		}
	}()
}

// Stop ends the load and waits for all answers.
func (c *Client) Stop() {
	close(c.stop)
	c.wg.Wait()
	c.http.CloseIdleConnections()
}

// Queries are all queries that were sent.
func (c *Client) Queries() []*Query {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Query(nil), c.queries...)
}
