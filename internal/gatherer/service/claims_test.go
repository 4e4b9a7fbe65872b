package service

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	standin "yokeroute/internal/testbed/standin/segmentserver"
	"yokeroute/logic/ownership"
)

// claimInput and claimOutput are an operation on one key, for the check of histories.
type claimInput struct {
	key      uint64
	claimant string
}

var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[uint64][]porcupine.Operation{}
		var keys []uint64
		for _, op := range history {
			k := op.Input.(claimInput).key
			if byKey[k] == nil {
				keys = append(keys, k)
			}
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, k := range keys {
			parts = append(parts, byKey[k])
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		has, who := state.(string), input.(claimInput).claimant
		switch output.(string) {
		case "given":
			return has == "", who
		case "held":
			return has != "", has
		case "never": // rejected: it had no effect
			return true, has
		}
		if has == "" { // failed, or no answer: it may have had its effect, or not; if not it may be put last
			return true, who
		}
		return true, has
	},
}

// claimOutcome is what a claim's client knows.
func claimOutcome(a answer) string {
	switch a.status {
	case http.StatusOK:
		for _, h := range a.Hits {
			if h.Doc == "given" || h.Doc == "held" {
				return h.Doc
			}
		}
		return "lost"
	case http.StatusServiceUnavailable:
		return "never"
	}
	return "unknown"
}

// claim makes one claim and records it.
func claim(address, id string, key uint64, startedAt time.Time) porcupine.Operation {
	shard := 0
	for ownership.ShardRange(shard, 4).Hi < key {
		shard++
	}
	op := porcupine.Operation{Input: claimInput{key, id}, Call: time.Since(startedAt).Nanoseconds()}
	got := claimOutcome(sendOwned(address, "claim", id, []int{shard}, fmt.Sprintf("claim %016x %s", key, id)))
	op.Output, op.Return = got, time.Since(startedAt).Nanoseconds()
	return op
}

// checkHistory holds what ran against what clients learnt.
func checkHistory(t *testing.T, ran []standin.Execution, history []porcupine.Operation) {
	t.Helper()
	if twice := findDuplicates(ran); len(twice) > 0 {
		t.Errorf("%d claims ran, or keys were given, twice: %v", len(twice), twice[:min(len(twice), 5)])
	}
	by := map[string]bool{}
	for _, r := range ran {
		by[r.Claimant] = true
	}
	for _, op := range history {
		if who := op.Input.(claimInput).claimant; op.Output == "never" && by[who] {
			t.Errorf("%s was nacked and has run", who)
		}
	}
	// A claim whose end is not known may take effect at any time later.
	for i := range history {
		if history[i].Output == "unknown" {
			history[i].Return = 1 << 62
		}
	}
	if result, _ := porcupine.CheckOperationsVerbose(claimModel, history, 20*time.Second); result != porcupine.Ok {
		t.Errorf("the history of %d claims is not linearizable: %v", len(history), result)
	}
}

// findDuplicates are claims that ran twice and keys that were given twice.
func findDuplicates(ran []standin.Execution) (twice []string) {
	claims, keys := map[string]int{}, map[uint64]string{}
	for _, r := range ran {
		if claims[r.Claimant]++; claims[r.Claimant] > 1 {
			twice = append(twice, fmt.Sprintf("%s ran %d times", r.Claimant, claims[r.Claimant]))
		}
		if r.Granted {
			if first := keys[r.Key]; first != "" {
				twice = append(twice, fmt.Sprintf("key %016x to %s and to %s at %s", r.Key, first, r.Claimant, r.Host))
			}
			keys[r.Key] = r.Claimant
		}
	}
	return twice
}
