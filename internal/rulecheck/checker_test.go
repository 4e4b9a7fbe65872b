package rulecheck

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
)

func testHeader() Header {
	return Header{
		Recorder:      "test",
		GroundTruth:   true,
		DrainGrace:    250,
		DeadlineSlack: 20,
		Budget:        &Budget{Window: 2000, FreeRetries: 2, Ratio: 0.1},
		SlowStart:     &SlowStart{InitialShare: 0.2, Duration: 10_000, Window: 1000, OverloadFactor: 3},
		Servers:       map[uint32]Server{1: {4}, 2: {4}, 3: {4}},
		Classes: map[string]Class{
			"any":  {Effect: "idempotent", CompleteShare: 0.75, MinShare: 0.5},
			"once": {Effect: "once-only", CompleteShare: 1, MinShare: 1},
			"mark": {Effect: "fingerprinted", IdempotencyWindow: 300, CompleteShare: 1, MinShare: 1},
		},
	}
}

// parseScript parses events in a short form, separated by semicolons, in the texts of the event kinds:
//
//	AT take ID CLASS DEADLINE SHARDS | AT send ID SHARD SERVER ATTEMPT [first]
//	AT end ID SHARD ATTEMPT OUTCOME [first] [empty]
//	AT answer ID whole|part SHARDS.. | AT nack ID | AT abort ID | AT left ID | AT died | AT told SERVER STATE
//	AT came SERVER WORK | AT ran ID SHARD | AT start SERVER
//
// LO..HI is the keys of a send, end or ran; a shard holds the keys 0..99. In an answer, SHARD:LO..HI stands for some
// of a shard's keys.
func parseScript(text string) (events []Event) {
	for line := range strings.SplitSeq(text, ";") {
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		num := func(i int) (f float64) { fmt.Sscan(w[i], &f); return f }
		e := Event{At: num(0), Kind: EventKind(w[1]), Gatherer: 1}
		for _, word := range w {
			if k := parseKeyRange(word); k != nil && !strings.Contains(word, ":") {
				e.Keys = k
			}
		}
		has := func(word string) bool { return strings.Contains(line, " "+word) }
		switch e.Kind {
		case "start":
			e.Kind, e.Server = ServerStarted, uint32(num(2))
		case WorkArrived:
			e.Server, e.Work = uint32(num(2)), num(3)
		case EndpointStateLearned:
			e.Server, e.State = uint32(num(2)), w[3]
		case GathererStopped:
		default:
			e.Query = uint64(num(2))
		}
		switch e.Kind {
		case QueryAdmitted:
			e.Class, e.Deadline = w[3], num(4)
			for i := range int(num(5)) {
				e.ShardRequests = append(e.ShardRequests, ShardRequest{Shard: i, Weight: 1 / num(5), Keys: &KeyRange{0, 99}})
			}
		case AttemptSent:
			e.Shard, e.Server, e.Attempt, e.FirstPass = int(num(3)), uint32(num(4)), int(num(5)), has("first")
		case AttemptEnded:
			e.Shard, e.Attempt, e.Outcome = int(num(3)), int(num(4)), w[5]
			e.FirstPass, e.ProvenEmpty = has("first"), has("empty")
		case QueryServed:
			e.Complete = w[3] == "whole"
			for _, word := range w[4:] {
				shard, keys, _ := strings.Cut(word, ":")
				n, _ := strconv.Atoi(shard)
				e.IncludedShards, e.IncludedKeys = append(e.IncludedShards, n), append(e.IncludedKeys, parseKeyRange(keys))
			}
		case WorkStarted:
			e.Shard = int(num(3))
		}
		events = append(events, e)
	}
	return events
}

func parseKeyRange(word string) *KeyRange {
	var k KeyRange
	if n, _ := fmt.Sscanf(word, "%d..%d", &k.Lo, &k.Hi); n < 2 {
		return nil
	}
	return &k
}

func checkScript(t *testing.T, h Header, text string, over float64) *Report {
	c, err := NewChecker(h)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range parseScript(text) {
		c.Observe(e)
	}
	if over >= 0 {
		c.Observe(Event{At: over, Kind: TraceEnd})
	}
	return c.Finish()
}

// retriesScript returns a query whose shard request is retried so many times, all at one time.
func retriesScript(id, at, n int) string {
	text := fmt.Sprintf("%d take %d any %d 1; %d send %d 0 1 0;", at, id, at+900, at, id)
	for i := range n {
		text += fmt.Sprintf("%d end %d 0 %d full; %d send %d 0 2 %d;", at, id, i, at, id, i+1)
	}
	return text + fmt.Sprintf("%d nack %d;", at, id)
}

// TestCheckerFindsViolationsOfEachRuleAndNoOthers has traces that violate one rule each, and traces that nearly do.
func TestCheckerFindsViolationsOfEachRuleAndNoOthers(t *testing.T) {
	const whole = "0 take 1 any 1000 4; 0 send 1 0 1 0; 0 send 1 1 1 0; 0 send 1 2 2 0; 9 end 1 0 0 answered; " +
		"9 end 1 1 0 answered;"
	const pieces = "0 take 1 any 1000 2; 0 send 1 0 1 0 0..49; 0 send 1 0 2 0 50..99; 0 send 1 1 1 0; " +
		"5 end 1 0 0 answered 0..49; 5 end 1 0 0 answered 50..99; 5 end 1 1 0 answered;"
	for name, c := range map[string]struct {
		text string
		rule int // that is violated, 0 for none
	}{
		"answered at the last moment":      {whole + "9 end 1 2 0 answered; 1020 answer 1 whole 0 1 2", 0},
		"answered too late":                {whole + "9 end 1 2 0 answered; 1021 answer 1 whole 0 1 2", 1},
		"never answered":                   {whole, 1},
		"answered twice":                   {whole + "10 abort 1; 11 abort 1", 1},
		"an attempt after the answer":      {whole + "10 abort 1; 11 send 1 3 2 0", 1},
		"an attempt after the client left": {whole + "10 left 1; 11 send 1 3 2 0", 1},
		"an attempt for an unknown shard":  {whole + "10 send 1 9 2 0; 11 abort 1", 1},
		"the client left":                  {whole + "10 left 1", 0},
		"the gatherer stopped":             {whole + "10 died", 0},
		"non-idempotent, retried after proof": {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 end 1 0 0 unreached; " +
			"5 send 1 0 2 1; 6 ran 1 0; 9 end 1 0 1 answered; 9 answer 1 whole 0", 0},
		"non-idempotent, retried after a reset": {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 end 1 0 0 cut; " +
			"5 send 1 0 2 1; 9 abort 1", 2},
		"non-idempotent, retried while in flight":  {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 send 1 0 2 1; 9 abort 1", 2},
		"non-idempotent, rejected after proof":     {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 end 1 0 0 full; 9 nack 1", 0},
		"non-idempotent, rejected while in flight": {"0 take 1 once 900 1; 0 send 1 0 1 0; 9 nack 1", 2},
		"non-idempotent, ran twice": {"0 take 1 once 900 1; 0 send 1 0 1 0; 1 ran 1 0; " +
			"2 end 1 0 0 unreached; 3 send 1 0 2 1; 4 ran 1 0; 9 abort 1", 2},
		"non-idempotent, runs after rejection": {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 end 1 0 0 full; 9 nack 1; " +
			"10 ran 1 0", 2},
		"non-idempotent, runs after failure": {"0 take 1 once 900 1; 0 send 1 0 1 0; 9 abort 1; 10 ran 1 0", 0},
		"idempotency-keyed, inside its window": {"0 take 1 mark 900 1; 0 send 1 0 1 0; 5 end 1 0 0 cut; " +
			"300 send 1 0 2 1; 301 abort 1", 0},
		"idempotency-keyed, outside its window": {"0 take 1 mark 900 1; 0 send 1 0 1 0; 5 end 1 0 0 cut; " +
			"301 send 1 0 2 1; 302 abort 1", 2},
		"idempotency-keyed, rejected": {"0 take 1 mark 900 1; 0 send 1 0 1 0; 5 end 1 0 0 cut; 9 nack 1", 0},
		"draining, at the end of the grace time": {"0 told 1 draining; 0 take 1 any 900 1; 250 send 1 0 1 0; " +
			"251 abort 1", 0},
		"draining, after the grace time": {"0 told 1 draining; 0 take 1 any 900 1; 251 send 1 0 1 0; " +
			"252 abort 1", 3},
		"notified twice, the first counts": {"0 told 1 draining; 200 told 1 gone; 0 take 1 any 900 1; " +
			"251 send 1 0 1 0; 252 abort 1", 3},
		"back in service": {"0 told 1 draining; 200 told 1 running; 200 take 1 any 900 1; " +
			"300 send 1 0 1 0; 301 abort 1", 0},
		"slow start, at its limit": {"0 start 1; 0 told 1 running; 0 came 1 1200; 0 came 1 1200", 0},
		"slow start, above its limit": {"0 start 1; 0 told 1 running; 0 came 1 1200; 0 came 1 1200; " +
			"0 came 1 1", 4},
		"slow start, in another window": {"0 start 1; 0 told 1 running; 0 came 1 2400; 1001 came 1 2400", 0},
		"slow start, across two windows": {"0 start 1; 0 told 1 running; 0 came 1 1300; 900 came 1 1300; " +
			"1100 came 1 2400", 4},
		"slow start, sent by an uninformed one": {"0 start 1; 0 came 1 2500", 0},
		"after slow start":                      {"0 start 1; 0 told 1 running; 10000 came 1 90000", 0},
		"slow start, by all gatherers together": {"0 start 1; 0 told 1 running; 0 came 1 900; 1 came 1 900; " +
			"2 came 1 900", 4},
		"complete with the complete share":   {whole + "9 end 1 2 0 answered; 10 answer 1 whole 0 1 2", 0},
		"marked complete and is not":         {whole + "10 answer 1 whole 0 1", 5},
		"partial at its min share":           {whole + "10 answer 1 part 0 1", 0},
		"partial under its min share":        {whole + "10 answer 1 part 0", 5},
		"a shard counts twice":               {whole + "10 answer 1 whole 0 1 1", 5},
		"a shard counts that did not answer": {whole + "10 answer 1 whole 0 1 2", 5},
		"a shard counts by a proof": {"0 take 1 any 900 2; 0 send 1 0 1 0 first; 0 send 1 1 1 0 first; " +
			"1 end 1 0 0 answered first empty; 1 end 1 1 0 answered first empty; 2 answer 1 whole 0 1", 0},
		"a shard counts by a summary alone": {"0 take 1 any 900 2; 0 send 1 0 1 0 first; 0 send 1 1 1 0 first; " +
			"1 end 1 0 0 answered first; 1 end 1 1 0 answered first empty; 2 answer 1 whole 0 1", 5},
		"retry budget used up":                 {retriesScript(1, 0, 2), 0},
		"retry budget exceeded":                {retriesScript(1, 0, 3), 6},
		"retry budget exceeded across windows": {retriesScript(1, 0, 2) + retriesScript(2, 1999, 1), 6},
		"in another window":                    {retriesScript(1, 0, 2) + retriesScript(2, 2001, 2), 0},
		"an old query earns no retries": {"0 take 1 any 4000 30; 2500 send 1 0 1 0; 2500 send 1 0 2 1; " +
			"2501 send 1 1 1 0; 2501 send 1 1 2 1; 2502 send 1 2 1 0; 2502 send 1 2 2 1; 2503 nack 1", 6},
		"full after an answered first pass": {twoPassScript("answered", 6), 0},
		"full after a lost first pass":      {twoPassScript("late", 6), 6},
		"pieces of a shard, each once":      {pieces + "9 answer 1 whole 0:0..49 0:50..99 1", 0},
		"a piece is missing":                {pieces + "9 answer 1 whole 0:0..49 0:50..99", 5},
		"a piece counts twice":              {pieces + "9 answer 1 whole 0:0..49 0:40..99 1", 5},
		"a key without weight is missing": {"0 take 1 once 900 1; 0 send 1 0 1 0 0..98; " +
			"5 end 1 0 0 answered 0..98; 9 answer 1 whole 0:0..98", 5},
		"non-idempotent pieces, each sent once": {"0 take 1 once 900 1; 0 send 1 0 1 0 0..49; 0 send 1 0 2 0 50..99; " +
			"1 ran 1 0 0..49; 1 ran 1 0 50..99; 5 end 1 0 0 answered 0..49; 5 end 1 0 0 answered 50..99; " +
			"9 answer 1 whole 0:0..49 0:50..99", 0},
		"non-idempotent keys, sent again": {"0 take 1 once 900 1; 0 send 1 0 1 0 0..49; 5 end 1 0 0 cut 0..49; " +
			"6 send 1 0 2 0 40..99; 9 abort 1", 2},
		"non-idempotent keys, run again": {"0 take 1 once 900 1; 0 send 1 0 1 0 0..49; 1 ran 1 0 0..49; " +
			"5 end 1 0 0 unreached 0..49; 6 send 1 0 2 0 0..99; 7 ran 1 0 0..99; 9 abort 1", 2},
		"pieces of a shard are no retries": {"0 take 1 any 900 1; 0 send 1 0 1 0 0..19; 0 send 1 0 1 0 20..39; " +
			"0 send 1 0 1 0 40..59; 0 send 1 0 1 0 60..99; 9 abort 1", 0},
		"keys requested again are retries": {"0 take 1 any 900 1; 0 send 1 0 1 0; 1 end 1 0 0 full; " +
			"2 send 1 0 1 0 0..19; 2 send 1 0 1 0 20..39; 2 send 1 0 1 0 40..99; 9 abort 1", 6},
	} {
		t.Run(name, func(t *testing.T) {
			r := checkScript(t, testHeader(), c.text, 20000)
			for rule, n := range r.Counts {
				if rule != c.rule {
					t.Errorf("rule %d is violated %d times: %v", rule, n, r.Violations)
				}
			}
			if c.rule > 0 && (r.Counts[c.rule] == 0 || r.Passed()) {
				t.Errorf("rule %d passes", c.rule)
			}
			if c.rule == 0 && !r.Passed() {
				t.Errorf("incomplete: %q", r.Incomplete)
			}
		})
	}
}

// twoPassScript returns a query whose first passes end with this outcome, before full requests to all shards.
func twoPassScript(end string, parts int) string {
	text := fmt.Sprintf("0 take 1 any 900 %d;", parts)
	for i := range parts {
		text += fmt.Sprintf("0 send 1 %d 1 0 first; 0 end 1 %d 0 %s first;", i, i, end)
	}
	for i := range parts {
		text += fmt.Sprintf("5 send 1 %d 1 0;", i)
	}
	return text + "9 abort 1"
}

// TestReportNamesRulesThatTheTraceCannotShow checks that they do not count as violations.
func TestReportNamesRulesThatTheTraceCannotShow(t *testing.T) {
	h := testHeader()
	h.GroundTruth, h.Budget = false, nil
	r := checkScript(t, h, "0 start 1; 0 told 1 running; 0 came 1 99999;"+retriesScript(1, 0, 30), 9000)
	if !r.Passed() || r.Unchecked[4] == "" || r.Unchecked[6] == "" || len(r.Unchecked) != 2 {
		t.Errorf("%+v", r)
	}
}

// TestIncompleteTracesDoNotPass has traces that are truncated, out of order, of unknown things, or with open queries.
func TestIncompleteTracesDoNotPass(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		over float64 // when the trace ends; below 0 it lacks its last line
		want string
	}{
		"no last line":     {"0 take 1 any 900 1; 5 abort 1", -1, "cut off"},
		"an open query":    {"0 take 1 any 900 1", 500, "1 lookups were still open"},
		"out of order":     {"5 take 1 any 900 1; 4 abort 1", 900, "out of order"},
		"an unknown kind":  {"5 dance 1", 900, `"dance"`},
		"an unknown class": {"5 take 1 none 900 1", 900, `"none"`},
	} {
		r := checkScript(t, testHeader(), c.text, c.over)
		if r.Passed() || !strings.Contains(r.Incomplete, c.want) || len(r.Counts) > 0 {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

// TestReaderRefusesTruncatedAndChangedTraces reads a trace back as it was written. Truncated at any byte it never
// passes; with a byte changed it is refused or does not pass.
func TestReaderRefusesTruncatedAndChangedTraces(t *testing.T) {
	var file bytes.Buffer
	w := NewWriter(&file, testHeader())
	events := parseScript("0 take 1 any 900 4; 0 send 1 0 1 0; 0 send 1 1 1 0; 0 send 1 2 2 0; " +
		"9 end 1 0 0 answered; 9 end 1 1 0 answered; 9 end 1 2 0 answered; 10 answer 1 whole 0 1 2")
	for _, e := range events {
		w.Write(e)
	}
	if err := w.Close(900, ""); err != nil {
		t.Fatal(err)
	}
	text := file.Bytes()
	r, err := Check(bytes.NewReader(text))
	if err != nil || !r.Passed() || r.Queries != 1 || r.Attempts != 3 {
		t.Fatalf("%+v, %v", r, err)
	}
	head := bytes.IndexByte(text, '\n')
	for n := range text {
		r, err := Check(bytes.NewReader(text[:n]))
		if n > head && (err != nil || r.Passed() || !strings.Contains(r.Incomplete, "cut off")) || n <= head && err == nil {
			t.Fatalf("cut at %d of %d: %+v, %v", n, len(text), r, err)
		}
		changed := bytes.Clone(text)
		changed[n] ^= 1
		if r, err := Check(bytes.NewReader(changed)); err == nil && r.Passed() {
			t.Fatalf("byte %d changed from %q: passes", n, text[n])
		}
	}
	if _, err := Check(bytes.NewReader(append(bytes.Clone(text), "{}\n"...))); err == nil {
		t.Error("passes with a line behind its last")
	}
	other := strings.NewReader(`{"trace":"yokeroute trace 9"}` + "\n")
	if _, err := Check(other); err == nil || errors.Is(err, ErrTruncated) {
		t.Errorf("another form: %v", err)
	}
}
