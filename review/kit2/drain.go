package kit2

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Mixed makes the queries of a load: two of three are once-only claims of two parts, the others reads.
func Mixed(client *Client, shards int) func(n int) *Query {
	return func(n int) *Query {
		if n%3 == 0 {
			return client.NewQuery("dep-resolve", rand.IntN(shards), 4+rand.IntN(4), shards, 2500*time.Millisecond)
		}
		return client.NewQuery("build-claim", rand.IntN(shards), 2, shards, 3*time.Second)
	}
}

// CheckDrain counts the parts that were sent to draining servers later than allowed. Of these it counts the once-only
// queries that were lost with their server: a part of theirs was taken by a draining server, and they ended as failed.
func CheckDrain(record *Record, draining []*Shard, since, bound time.Time, queries []*Query) (broken int) {
	sentTo := map[string]string{}
	last := time.Duration(0)
	for _, s := range draining {
		for _, p := range s.Parts() {
			if !p.At.After(bound) {
				continue
			}
			broken++
			last = max(last, p.At.Sub(since))
			sentTo[p.Query] = s.Name
			record.Printf("BROKEN: %s, which drains, was sent %s %.2f s after the moment from which the rule counts", s.Name, p.ID, p.At.Sub(since).Seconds())
		}
	}
	lost := 0
	for _, q := range queries {
		if server := sentTo[q.ID]; server != "" && q.Class == "build-claim" && q.Status != 200 && q.Status != 503 {
			lost++
			record.Printf("LOST: the once-only query %s, sent to %s against the rule, ended with %d", q.ID, server, q.Status)
		}
	}
	fmt.Printf("%d parts sent to draining servers later than allowed, the last after %.1f s; %d once-only queries lost with them\n",
		broken, last.Seconds(), lost)
	return broken
}
