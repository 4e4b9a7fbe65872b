package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yokeroute/internal/pcg"
)

// Load is lookups that come at random times, whether or not earlier ones are answered.
type Load struct {
	Origin        string // what the names of its lookups begin with
	Address       string // of the gatherer
	Class         string
	Rate          float64 // lookups a second
	ShardRequests int
	Shards        int // parts are at neighbouring ones from a drawn one on
	Deadline      time.Duration
	Seed          uint64
	Queries       int                    // the text is one of so many, q0 and so on; 0 for a new one each time
	FirstShard    func(draw float64) int // first shard for a draw from 0 to 1, nil for all alike
}

// Outcome is how the lookups of a load ended.
type Outcome struct {
	Sent            int                     `json:"Sent"`
	Served          int                     `json:"Satisfied"`
	Complete        int                     `json:"Whole"`
	Rejected        int                     `json:"Nacked"`
	Failed          int                     `json:"Aborted"`
	Errors          int                     `json:"Failed"`
	WithinObjective int                     `json:"InAim"` // satisfied within the soft deadline
	Latency         *hdrhistogram.Histogram `json:"-"`
}

// Add sums up outcomes.
func (o *Outcome) Add(other *Outcome) {
	o.Sent += other.Sent
	o.Served += other.Served
	o.Complete += other.Complete
	o.Rejected += other.Rejected
	o.Failed += other.Failed
	o.Errors += other.Errors
	o.WithinObjective += other.WithinObjective
	o.Latency.Merge(other.Latency)
}

// NewOutcome is one of no lookups.
func NewOutcome() *Outcome { return &Outcome{Latency: hdrhistogram.New(1, 60_000_000, 3)} }

// Play sends a load for a while and waits for its answers. Aim is the soft deadline.
func Play(ctx context.Context, load Load, length, aim time.Duration) *Outcome {
	out := NewOutcome()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 512, IdleConnTimeout: time.Second}}
	defer client.CloseIdleConnections()
	chance := pcg.New(load.Seed)
	var mu sync.Mutex
	var wait sync.WaitGroup
	start := time.Now()
	next := start
	for n := 0; ; n++ {
		next = next.Add(time.Duration(-math.Log(1-chance.Float64()) / load.Rate * 1e9))
		if next.Sub(start) > length || ctx.Err() != nil {
			break
		}
		draw := chance.Float64()
		first := int(draw * float64(load.Shards))
		if load.FirstShard != nil {
			first = load.FirstShard(draw)
		}
		time.Sleep(time.Until(next))
		wait.Add(1)
		out.Sent++
		go func() {
			defer wait.Done()
			began := time.Now()
			status, whole := load.send(ctx, client, n, first)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			switch status {
			case http.StatusOK:
				out.Served++
				out.Latency.RecordValue(took.Microseconds())
				if whole {
					out.Complete++
				}
				if took <= aim {
					out.WithinObjective++
				}
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				out.Rejected++
			case http.StatusGatewayTimeout:
				out.Failed++
			default:
				out.Errors++
			}
		}()
	}
	wait.Wait()
	return out
}

// Body is that of a lookup of parts of equal weight at neighbouring shards.
func Body(first, parts, shards int, text string) string {
	var body strings.Builder
	body.WriteString(`{"shards":[`)
	for i := range parts {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"shard":%d,"weight":%.6f}`, (first+i)%shards, 1/float64(parts))
	}
	fmt.Fprintf(&body, `],"q":%q}`, text)
	return body.String()
}

// send sends one lookup; the status is 0 where no answer came.
func (l *Load) send(ctx context.Context, client *http.Client, n, first int) (status int, whole bool) {
	query := n
	if l.Queries > 0 {
		query = int(uint64(n) * 0x9e3779b97f4a7c15 >> 33 % uint64(l.Queries))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Address+"/"+l.Class, strings.NewReader(Body(first, l.ShardRequests, l.Shards, fmt.Sprint("q", query))))
	if err != nil {
		return 0, false
	}
	req.Header.Set("X-Request-ID", fmt.Sprintf("%s-%x-%d", l.Origin, l.Seed, n))
	req.Header.Set("X-Timeout-Ms", fmt.Sprint(l.Deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, false
	}
	var answer struct{ Complete bool }
	if resp.StatusCode == http.StatusOK && json.Unmarshal(text, &answer) != nil {
		return 0, false
	}
	return resp.StatusCode, answer.Complete
}
