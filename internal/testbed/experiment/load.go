package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"yokeroute/internal/pcg"
)

// Connections of a load to its gatherer.
const (
	maxIdleConns    = 64
	maxConns        = 512
	idleConnTimeout = time.Second
)

// Load is an open-loop load: queries arrive at random times, whether or not earlier ones are answered.
type Load struct {
	Origin        string // the prefix of its queries' names
	Address       string // of the gatherer
	Class         string
	Rate          float64 // queries a second
	ShardRequests int     // of a query, to neighbouring shards
	Shards        int
	Deadline      time.Duration
	Seed          uint64
	Queries       int                    // how many different queries there are, q0 and so on; 0 for a new one each time
	FirstShard    func(draw float64) int // the first shard for a draw from 0 to 1; if nil, all are equally likely
}

// Play sends a load for a while and waits for its answers.
func Play(ctx context.Context, load Load, duration, objective time.Duration) *Outcome {
	outcome := NewOutcome()
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		MaxConnsPerHost:     maxConns,
		IdleConnTimeout:     idleConnTimeout,
	}}
	defer client.CloseIdleConnections()
	random := pcg.New(load.Seed)
	idPrefix := fmt.Sprintf("%s-%x", load.Origin, rand.Uint64()) // new at each call, so that no ID is used twice
	var mu sync.Mutex
	var queries sync.WaitGroup
	start := time.Now()
	next := start
	for n := 0; ; n++ {
		next = next.Add(time.Duration(-math.Log(1-random.Float64()) / load.Rate * float64(time.Second)))
		if next.Sub(start) > duration || ctx.Err() != nil {
			break
		}
		first := load.firstShard(random.Float64())
		dueAt := next
		time.Sleep(time.Until(dueAt))
		outcome.Sent++
		queries.Go(func() {
			sentAt := time.Now()
			status, complete := load.send(ctx, client, fmt.Sprintf("%s-%d", idPrefix, n), n, first)
			latency := time.Since(sentAt)
			mu.Lock()
			defer mu.Unlock()
			outcome.addAnswer(status, complete, latency, objective)
			if status != http.StatusOK {
				outcome.addUnserved(UnservedQuery{
					Number:    n,
					SentAt:    sentAt.Sub(start),
					SendDelay: sentAt.Sub(dueAt),
					Status:    status,
					Latency:   latency,
				})
			}
		})
	}
	queries.Wait()
	return outcome
}

func (l *Load) firstShard(draw float64) int {
	if l.FirstShard != nil {
		return l.FirstShard(draw)
	}
	return int(draw * float64(l.Shards))
}

// Body returns the body of a query with shard requests of equal weight to neighbouring shards.
func Body(first, shardRequests, shards int, text string) string {
	var body strings.Builder
	body.WriteString(`{"shards":[`)
	for i := range shardRequests {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"shard":%d,"weight":%.6f}`, (first+i)%shards, 1/float64(shardRequests))
	}
	fmt.Fprintf(&body, `],"q":%q}`, text)
	return body.String()
}

// queryMultiplier spreads the numbers of arrivals over the different queries.
const queryMultiplier = 0x9e3779b97f4a7c15

// send sends the n-th query. The status is 0 without an answer.
func (l *Load) send(
	ctx context.Context, client *http.Client, id string, n, first int,
) (status int, complete bool) {
	query := n
	if l.Queries > 0 {
		query = int(uint64(n) * queryMultiplier >> 33 % uint64(l.Queries))
	}
	body := Body(first, l.ShardRequests, l.Shards, fmt.Sprint("q", query))
	url := "http://" + l.Address + "/" + l.Class
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, false
	}
	req.Header.Set("X-Request-ID", id)
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
