package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// QueryPart is a part that a client asks for.
type QueryPart struct {
	Shard  int     `json:"shard"`
	Weight float64 `json:"weight"`
	Cost   float64 `json:"cost,omitempty"`
	Key    string  `json:"key,omitempty"`
}

// Query is a client's request.
type Query struct {
	ID        string
	Class     string
	Tenant    string
	TimeoutMS int
	Parts     []QueryPart
	Text      string
}

// EvenParts returns parts of equal weight.
func EvenParts(shards ...int) []QueryPart {
	parts := make([]QueryPart, len(shards))
	for i, s := range shards {
		parts[i] = QueryPart{Shard: s, Weight: 1 / float64(len(shards)), Cost: 90000}
	}
	return parts
}

// Bytes returns the request's bytes.
func (q *Query) Bytes() []byte {
	body, _ := json.Marshal(map[string]any{"shards": q.Parts, "q": q.Text})
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\n", q.Class, q.ID)
	if q.Tenant != "" {
		fmt.Fprintf(&b, "X-Tenant-Id: %s\r\n", q.Tenant)
	}
	fmt.Fprintf(&b, "X-Timeout-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", q.TimeoutMS, len(body))
	b.Write(body)
	return b.Bytes()
}

// Hit is a value in an answer.
type Hit struct {
	Shard int    `json:"shard"`
	Doc   string `json:"doc"`
}

// Result is how a request ended for its client.
type Result struct {
	Query    *Query
	SentAt   time.Time
	EndAt    time.Time
	Status   int // 0: no whole answer
	Body     string
	Complete bool
	Hits     []Hit
	Err      error
}

// Clients keep connections to a gatherer and send one request at a time on each.
type Clients struct {
	rec     *Record
	address string

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

// NewClients returns clients without a connection.
func NewClients(rec *Record, address string) *Clients { return &Clients{rec: rec, address: address} }

func (c *Clients) take() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return c.connect()
}

func (c *Clients) connect() (*clientConn, error) {
	nc, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return newClientConn(nc), nil
}

// Send sends a request and waits for its answer for at most its time and patience.
func (c *Clients) Send(q *Query, patience time.Duration) Result {
	res := Result{Query: q, SentAt: time.Now()}
	conn, err := c.take()
	for again := false; ; again = true {
		if err != nil {
			res.Err = err
			break
		}
		c.rec.Add("request   %s /%s timeout %d ms, %d parts", q.ID, q.Class, q.TimeoutMS, len(q.Parts))
		err = c.exchange(conn, q, &res, patience)
		if err == nil {
			break
		}
		conn.Close()
		if conn.used && !again && errors.Is(err, errNoByte) { // it crossed the close of a resting connection
			c.rec.Add("request   %s is sent once more on a new connection: %v", q.ID, err)
			conn, err = c.connect()
			continue
		}
		res.Err = err
		break
	}
	res.EndAt = time.Now()
	if res.Err != nil {
		c.rec.Add("no answer %s after %v: %v", q.ID, res.EndAt.Sub(res.SentAt).Round(time.Millisecond), res.Err)
	} else {
		c.rec.Add("response  %s %d after %v: %.300s", q.ID, res.Status, res.EndAt.Sub(res.SentAt).Round(time.Millisecond),
			strings.TrimSpace(res.Body))
	}
	return res
}

var errNoByte = errors.New("closed without a byte of an answer")

func (c *Clients) exchange(conn *clientConn, q *Query, res *Result, patience time.Duration) error {
	conn.SetDeadline(time.Now().Add(time.Duration(q.TimeoutMS)*time.Millisecond + patience))
	if _, err := conn.Write(q.Bytes()); err != nil {
		return fmt.Errorf("%w: %w", errNoByte, err)
	}
	if _, err := conn.r.Peek(1); err != nil {
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return err
		}
		return fmt.Errorf("%w: %w", errNoByte, err)
	}
	resp, err := http.ReadResponse(conn.r, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	res.Status, res.Body = resp.StatusCode, string(body)
	if res.Status == 200 {
		var doc struct {
			Complete bool  `json:"complete"`
			Hits     []Hit `json:"hits"`
		}
		if err := json.Unmarshal(body, &doc); err != nil {
			return err
		}
		res.Complete, res.Hits = doc.Complete, doc.Hits
	}
	conn.used = true
	if resp.Close {
		conn.Close()
	} else {
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
	return nil
}

// Close closes the idle connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

func newClientConn(nc net.Conn) *clientConn { return &clientConn{Conn: nc, r: bufio.NewReader(nc)} }
