package main

import (
	"fmt"
	"slices"
)

// PartID returns the name of a request's part on the wire.
func (q *Query) PartID(shard int) string { return fmt.Sprintf("%s.%d", q.ID, shard) }

// CheckValues checks that an answer holds only the values that shard servers made for its parts, each once.
func (w *World) CheckValues(res Result) {
	if res.Status != 200 {
		return
	}
	seen := map[int]bool{}
	for _, h := range res.Hits {
		asked := slices.ContainsFunc(res.Query.Parts, func(p QueryPart) bool { return p.Shard == h.Shard })
		if !asked || seen[h.Shard] || !w.Work.Made(res.Query.PartID(h.Shard), h.Doc) {
			w.Rec.Broken("request %s was answered 200 (complete %v) with the value %q for shard %d, which no shard server made for it",
				res.Query.ID, res.Complete, h.Doc, h.Shard)
		}
		seen[h.Shard] = true
	}
}
