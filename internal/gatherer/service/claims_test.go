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

// claimInput is the input of one claim of a key, for the linearizability check.
type claimInput struct {
	key      uint64
	claimant string
}

// claimModel is the sequential model of claims: a key, once given to a claimant, is held by it for good.
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
		holder, claimant := state.(string), input.(claimInput).claimant
		switch output.(string) {
		case "given":
			return holder == "", claimant
		case "held":
			return holder != "", holder
		case "rejected": // had no effect
			return true, holder
		}
		// Failed or unanswered: the claim may or may not have taken effect. One that did not may be placed last in the
		// history.
		if holder == "" {
			return true, claimant
		}
		return true, holder
	},
}

// claimOutcome returns what the client learns from the answer to its claim.
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
		return "rejected"
	}
	return "unknown"
}

// claim sends one claim and returns it as an operation of the history.
func claim(address, id string, key uint64, startedAt time.Time) porcupine.Operation {
	shard := 0
	for ownership.ShardRange(shard, 4).Hi < key {
		shard++
	}
	op := porcupine.Operation{Input: claimInput{key, id}, Call: time.Since(startedAt).Nanoseconds()}
	result := claimOutcome(sendOwned(address, "claim", id, []int{shard}, fmt.Sprintf("claim %016x %s", key, id)))
	op.Output, op.Return = result, time.Since(startedAt).Nanoseconds()
	return op
}

// checkHistory compares the claims that hosts executed with the outcomes that clients learned.
func checkHistory(t *testing.T, executions []standin.Execution, history []porcupine.Operation) {
	t.Helper()
	if duplicates := findDuplicates(executions); len(duplicates) > 0 {
		t.Errorf("%d claims ran twice or keys were given twice: %v", len(duplicates), duplicates[:min(len(duplicates), 5)])
	}
	executed := map[string]bool{}
	for _, r := range executions {
		executed[r.Claimant] = true
	}
	for _, op := range history {
		if claimant := op.Input.(claimInput).claimant; op.Output == "rejected" && executed[claimant] {
			t.Errorf("claim %s was rejected but was executed", claimant)
		}
	}
	// A claim with an unknown outcome may take effect at any later time.
	for i := range history {
		if history[i].Output == "unknown" {
			history[i].Return = 1 << 62
		}
	}
	if result, _ := porcupine.CheckOperationsVerbose(claimModel, history, 20*time.Second); result != porcupine.Ok {
		t.Errorf("the history of %d claims is not linearizable: %v", len(history), result)
	}
}

// findDuplicates describes claims that ran more than once and keys that were given more than once.
func findDuplicates(executions []standin.Execution) (duplicates []string) {
	claims, keys := map[string]int{}, map[uint64]string{}
	for _, r := range executions {
		if claims[r.Claimant]++; claims[r.Claimant] > 1 {
			duplicates = append(duplicates, fmt.Sprintf("%s ran %d times", r.Claimant, claims[r.Claimant]))
		}
		if r.Granted {
			if first := keys[r.Key]; first != "" {
				duplicates = append(duplicates,
					fmt.Sprintf("key %016x was given to %s, and to %s at host %s", r.Key, first, r.Claimant, r.Host))
			}
			keys[r.Key] = r.Claimant
		}
	}
	return duplicates
}
