package kit2

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Break is a broken rule.
type Break struct {
	Rule string
	Text string
}

// CheckAll checks the rules that clients and shard servers see, for one gatherer.
func CheckAll(queries []*Query, parts []Part, ran map[string]int) (breaks []Break) {
	add := func(rule, format string, args ...any) {
		breaks = append(breaks, Break{rule, fmt.Sprintf(format, args...)})
	}
	byID := map[string]*Query{}
	for _, q := range queries {
		byID[q.ID] = q
	}
	byPart := map[string][]Part{}
	sort.Slice(parts, func(i, j int) bool { return parts[i].At.Before(parts[j].At) })
	for _, p := range parts {
		q := byID[p.Query]
		if q == nil {
			add("foreign", "%s got %s of no query", p.Server, p.ID)
			continue
		}
		byPart[p.ID] = append(byPart[p.ID], p)
		left := q.SentAt.Add(q.Timeout).Sub(p.At).Seconds() * 1000
		if float64(p.D) > left+150 {
			add("deadline", "%s told d=%d with %.0f ms left", p.ID, p.D, left)
		}
		if !q.EndedAt.IsZero() && p.At.After(q.EndedAt.Add(100*time.Millisecond)) {
			add("late part", "%s at %s %.0f ms after the end", p.ID, p.Server, p.At.Sub(q.EndedAt).Seconds()*1000)
		}
	}
	for id, ps := range byPart {
		q := byID[ps[0].Query]
		if q.Class == "build-claim" && ran[id] > 1 {
			add("duplicate", "%s ran %d times", id, ran[id])
		}
		if len(ps) > 3 {
			add("attempts", "%s had %d part calls", id, len(ps))
		}
	}
	for _, q := range queries {
		limit := q.Timeout + 500*time.Millisecond
		if q.Status == 0 {
			add("lost", "%s: %v", q.ID, q.Err)
			continue
		}
		if q.EndedAt.Sub(q.SentAt) > limit {
			add("late", "%s after %v of %v", q.ID, q.EndedAt.Sub(q.SentAt), q.Timeout)
		}
		if (q.Status == 503 || q.Status == 429) && q.Class == "build-claim" {
			for _, s := range q.Shards {
				if n := ran[fmt.Sprintf("%s.%d", q.ID, s)]; n > 0 {
					add("refused", "%s refused, shard %d ran", q.ID, s)
				}
			}
		}
		if q.Status != 200 {
			continue
		}
		if q.Err != nil {
			add("answer", "%s: %v in %.200s", q.ID, q.Err, q.Body)
		}
		want := map[int]bool{}
		for _, s := range q.Shards {
			want[s] = true
		}
		for s, doc := range q.Hits {
			if !want[s] || doc != ValueOf(q.ID, s, q.Text) {
				add("foreign", "%s shard %d: %q", q.ID, s, doc)
			}
		}
		share := float64(len(q.Hits)) / float64(len(q.Shards))
		need := 1.0
		if q.Class == "file-search" {
			need = 0.75
		}
		if share < need-1e-4 {
			add("honest", "%s: share %.3f of %.2f, complete %v", q.ID, share, need, q.Complete)
		}
	}
	breaks = append(breaks, checkBudget(queries, byPart)...)
	return breaks
}

func checkBudget(queries []*Query, byPart map[string][]Part) (breaks []Break) {
	var further []time.Time
	for _, ps := range byPart {
		for _, p := range ps[1:] {
			further = append(further, p.At)
		}
	}
	sort.Slice(further, func(i, j int) bool { return further[i].Before(further[j]) })
	worst := math.Inf(-1)
	for i, at := range further {
		from := at.Add(-2 * time.Second)
		n := 0
		for j := i; j >= 0 && !further[j].Before(from); j-- {
			n++
		}
		taken := 0
		for _, q := range queries {
			if q.SentAt.After(from.Add(-20*time.Millisecond)) && q.SentAt.Before(at) {
				taken += 1 + len(q.Shards)
			}
		}
		over := float64(n) - (10 + 0.05*float64(taken))
		if over > worst {
			worst = over
		}
		if over > 0.5 {
			breaks = append(breaks, Break{"budget", fmt.Sprintf("%d further calls in 2 s, %d taken", n, taken)})
		}
	}
	return breaks
}
