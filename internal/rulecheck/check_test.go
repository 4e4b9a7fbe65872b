package rulecheck

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
)

func header() Header {
	return Header{Recorder: "test", GroundTruth: true, DrainGrace: 250, DeadlineSlack: 20, Budget: &Budget{Window: 2000, FreeRetries: 2, Ratio: 0.1},
		SlowStart: &SlowStart{InitialShare: 0.2, Duration: 10_000, Window: 1000, OverloadFactor: 3}, Servers: map[uint32]Server{1: {4}, 2: {4}, 3: {4}},
		Classes: map[string]Class{"any": {Effect: "idempotent", CompleteShare: 0.75, MinShare: 0.5}, "once": {Effect: "once-only", CompleteShare: 1, MinShare: 1},
			"mark": {Effect: "fingerprinted", IdempotencyWindow: 300, CompleteShare: 1, MinShare: 1}}}
}

// script writes events in a short form, a word each, parted by blanks; lines by semicolons:
//
//	AT take ID INDEX UNTIL PARTS | AT send ID SHARD SERVER CALL [first] | AT end ID SHARD CALL OUTCOME [first] [empty]
//	AT answer ID whole|part SHARDS.. | AT nack ID | AT abort ID | AT left ID | AT died | AT told SERVER STATE
//	AT came SERVER WORK | AT ran ID SHARD | AT start SERVER
//
// A word LO..HI is the keys of a call, an end or a run; a shard's keys are 0..99. In an answer SHARD:LO..HI stands for
// some of a shard's keys.
func script(text string) (events []Event) {
	for line := range strings.SplitSeq(text, ";") {
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		num := func(i int) (f float64) { fmt.Sscan(w[i], &f); return f }
		e := Event{At: num(0), Kind: EventKind(w[1]), Gatherer: 1}
		for _, word := range w {
			if k := keysOf(word); k != nil && !strings.Contains(word, ":") {
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
			e.Shard, e.Attempt, e.Outcome, e.FirstPass, e.ProvenEmpty = int(num(3)), int(num(4)), w[5], has("first"), has("empty")
		case QueryServed:
			e.Complete = w[3] == "whole"
			for _, word := range w[4:] {
				shard, keys, _ := strings.Cut(word, ":")
				n, _ := strconv.Atoi(shard)
				e.IncludedShards, e.IncludedKeys = append(e.IncludedShards, n), append(e.IncludedKeys, keysOf(keys))
			}
		case WorkStarted:
			e.Shard = int(num(3))
		}
		events = append(events, e)
	}
	return events
}

func keysOf(word string) *KeyRange {
	var k KeyRange
	if n, _ := fmt.Sscanf(word, "%d..%d", &k.Lo, &k.Hi); n < 2 {
		return nil
	}
	return &k
}

func check(t *testing.T, h Header, text string, over float64) *Report {
	c, err := NewChecker(h)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range script(text) {
		c.Observe(e)
	}
	if over >= 0 {
		c.Observe(Event{At: over, Kind: TraceEnd})
	}
	return c.Finish()
}

// further is a lookup whose part is sent so many times beyond its first, from a time on.
func further(id, at, n int) string {
	text := fmt.Sprintf("%d take %d any %d 1; %d send %d 0 1 0;", at, id, at+900, at, id)
	for i := range n {
		text += fmt.Sprintf("%d end %d 0 %d full; %d send %d 0 2 %d;", at, id, i, at, id, i+1)
	}
	return text + fmt.Sprintf("%d nack %d;", at, id)
}

// TestRules breaks each rule alone, and nearly.
func TestRules(t *testing.T) {
	const whole = "0 take 1 any 1000 4; 0 send 1 0 1 0; 0 send 1 1 1 0; 0 send 1 2 2 0; 9 end 1 0 0 answered; 9 end 1 1 0 answered;"
	const pieces = "0 take 1 any 1000 2; 0 send 1 0 1 0 0..49; 0 send 1 0 2 0 50..99; 0 send 1 1 1 0; 5 end 1 0 0 answered 0..49; 5 end 1 0 0 answered 50..99; 5 end 1 1 0 answered;"
	for name, c := range map[string]struct {
		text string
		rule int // broken, 0 for none
	}{
		"answered at the last moment":          {whole + "9 end 1 2 0 answered; 1020 answer 1 whole 0 1 2", 0},
		"answered too late":                    {whole + "9 end 1 2 0 answered; 1021 answer 1 whole 0 1 2", 1},
		"never answered":                       {whole, 1},
		"answered twice":                       {whole + "10 abort 1; 11 abort 1", 1},
		"a call after the answer":              {whole + "10 abort 1; 11 send 1 3 2 0", 1},
		"a call after the client left":         {whole + "10 left 1; 11 send 1 3 2 0", 1},
		"a call for a part never taken":        {whole + "10 send 1 9 2 0; 11 abort 1", 1},
		"the client left":                      {whole + "10 left 1", 0},
		"the gatherer died":                    {whole + "10 died", 0},
		"once-only, resent after proof":        {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 end 1 0 0 unreached; 5 send 1 0 2 1; 6 ran 1 0; 9 end 1 0 1 answered; 9 answer 1 whole 0", 0},
		"once-only, resent after a cut":        {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 end 1 0 0 cut; 5 send 1 0 2 1; 9 abort 1", 2},
		"once-only, resent while out":          {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 send 1 0 2 1; 9 abort 1", 2},
		"once-only, nacked after proof":        {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 end 1 0 0 full; 9 nack 1", 0},
		"once-only, nacked with a call out":    {"0 take 1 once 900 1; 0 send 1 0 1 0; 9 nack 1", 2},
		"once-only, ran twice":                 {"0 take 1 once 900 1; 0 send 1 0 1 0; 1 ran 1 0; 2 end 1 0 0 unreached; 3 send 1 0 2 1; 4 ran 1 0; 9 abort 1", 2},
		"once-only, runs after its nack":       {"0 take 1 once 900 1; 0 send 1 0 1 0; 5 end 1 0 0 full; 9 nack 1; 10 ran 1 0", 2},
		"once-only, runs after its abort":      {"0 take 1 once 900 1; 0 send 1 0 1 0; 9 abort 1; 10 ran 1 0", 0},
		"fingerprinted, inside its window":     {"0 take 1 mark 900 1; 0 send 1 0 1 0; 5 end 1 0 0 cut; 300 send 1 0 2 1; 301 abort 1", 0},
		"fingerprinted, outside its window":    {"0 take 1 mark 900 1; 0 send 1 0 1 0; 5 end 1 0 0 cut; 301 send 1 0 2 1; 302 abort 1", 2},
		"fingerprinted, nacked":                {"0 take 1 mark 900 1; 0 send 1 0 1 0; 5 end 1 0 0 cut; 9 nack 1", 0},
		"a drain at the end of its grace":      {"0 told 1 draining; 0 take 1 any 900 1; 250 send 1 0 1 0; 251 abort 1", 0},
		"a drain after its grace":              {"0 told 1 draining; 0 take 1 any 900 1; 251 send 1 0 1 0; 252 abort 1", 3},
		"told twice, the first counts":         {"0 told 1 draining; 200 told 1 gone; 0 take 1 any 900 1; 251 send 1 0 1 0; 252 abort 1", 3},
		"back in service":                      {"0 told 1 draining; 200 told 1 running; 200 take 1 any 900 1; 300 send 1 0 1 0; 301 abort 1", 0},
		"cold, all that it bears":              {"0 start 1; 0 told 1 running; 0 came 1 1200; 0 came 1 1200", 0},
		"cold, one more":                       {"0 start 1; 0 told 1 running; 0 came 1 1200; 0 came 1 1200; 0 came 1 1", 4},
		"cold, in another window":              {"0 start 1; 0 told 1 running; 0 came 1 2400; 1001 came 1 2400", 0},
		"cold, across two windows":             {"0 start 1; 0 told 1 running; 0 came 1 1300; 900 came 1 1300; 1100 came 1 2400", 4},
		"cold, sent by who could not know":     {"0 start 1; 0 came 1 2500", 0},
		"warm by now":                          {"0 start 1; 0 told 1 running; 10000 came 1 90000", 0},
		"cold, by all gatherers together":      {"0 start 1; 0 told 1 running; 0 came 1 900; 1 came 1 900; 2 came 1 900", 4},
		"whole from what makes it":             {whole + "9 end 1 2 0 answered; 10 answer 1 whole 0 1 2", 0},
		"marked whole and is not":              {whole + "10 answer 1 whole 0 1", 5},
		"partial at its least share":           {whole + "10 answer 1 part 0 1", 0},
		"partial under its least share":        {whole + "10 answer 1 part 0", 5},
		"a part counts twice":                  {whole + "10 answer 1 whole 0 1 1", 5},
		"a part counts that did not answer":    {whole + "10 answer 1 whole 0 1 2", 5},
		"a part counts by a proof":             {"0 take 1 any 900 2; 0 send 1 0 1 0 first; 0 send 1 1 1 0 first; 1 end 1 0 0 answered first empty; 1 end 1 1 0 answered first empty; 2 answer 1 whole 0 1", 0},
		"a part counts by a summary alone":     {"0 take 1 any 900 2; 0 send 1 0 1 0 first; 0 send 1 1 1 0 first; 1 end 1 0 0 answered first; 1 end 1 1 0 answered first empty; 2 answer 1 whole 0 1", 5},
		"the budget used up":                   {further(1, 0, 2), 0},
		"one over the budget":                  {further(1, 0, 3), 6},
		"over it in a window across":           {further(1, 0, 2) + further(2, 1999, 1), 6},
		"in another window":                    {further(1, 0, 2) + further(2, 2001, 2), 0},
		"a lookup taken does not count beyond": {"0 take 1 any 4000 30; 2500 send 1 0 1 0; 2500 send 1 0 2 1; 2501 send 1 1 1 0; 2501 send 1 1 2 1; 2502 send 1 2 1 0; 2502 send 1 2 2 1; 2503 nack 1", 6},
		"in full after a first pass answered":  {firstThenFull("answered", 6), 0},
		"in full after first passes lost":      {firstThenFull("late", 6), 6},
		"pieces of a part, each once":          {pieces + "9 answer 1 whole 0:0..49 0:50..99 1", 0},
		"a piece is missing":                   {pieces + "9 answer 1 whole 0:0..49 0:50..99", 5},
		"a piece counts twice":                 {pieces + "9 answer 1 whole 0:0..49 0:40..99 1", 5},
		"a key is missing and weighs nothing":  {"0 take 1 once 900 1; 0 send 1 0 1 0 0..98; 5 end 1 0 0 answered 0..98; 9 answer 1 whole 0:0..98", 5},
		"once-only pieces, each sent once":     {"0 take 1 once 900 1; 0 send 1 0 1 0 0..49; 0 send 1 0 2 0 50..99; 1 ran 1 0 0..49; 1 ran 1 0 50..99; 5 end 1 0 0 answered 0..49; 5 end 1 0 0 answered 50..99; 9 answer 1 whole 0:0..49 0:50..99", 0},
		"once-only keys, sent to another":      {"0 take 1 once 900 1; 0 send 1 0 1 0 0..49; 5 end 1 0 0 cut 0..49; 6 send 1 0 2 0 40..99; 9 abort 1", 2},
		"once-only keys, run by another":       {"0 take 1 once 900 1; 0 send 1 0 1 0 0..49; 1 ran 1 0 0..49; 5 end 1 0 0 unreached 0..49; 6 send 1 0 2 0 0..99; 7 ran 1 0 0..99; 9 abort 1", 2},
		"pieces of a part are no further":      {"0 take 1 any 900 1; 0 send 1 0 1 0 0..19; 0 send 1 0 1 0 20..39; 0 send 1 0 1 0 40..59; 0 send 1 0 1 0 60..99; 9 abort 1", 0},
		"keys asked for again are further":     {"0 take 1 any 900 1; 0 send 1 0 1 0; 1 end 1 0 0 full; 2 send 1 0 1 0 0..19; 2 send 1 0 1 0 20..39; 2 send 1 0 1 0 40..99; 9 abort 1", 6},
	} {
		t.Run(name, func(t *testing.T) {
			r := check(t, header(), c.text, 20000)
			for rule, n := range r.Counts {
				if rule != c.rule {
					t.Errorf("rule %d is broken %d times: %v", rule, n, r.Violations)
				}
			}
			if c.rule > 0 && (r.Counts[c.rule] == 0 || r.Passed()) {
				t.Errorf("rule %d counts as kept", c.rule)
			}
			if c.rule == 0 && !r.Passed() {
				t.Errorf("incomplete: %q", r.Incomplete)
			}
		})
	}
}

// firstThenFull is a lookup whose parts are asked first, with such an end, and then in full.
func firstThenFull(end string, parts int) string {
	text := fmt.Sprintf("0 take 1 any 900 %d;", parts)
	for i := range parts {
		text += fmt.Sprintf("0 send 1 %d 1 0 first; 0 end 1 %d 0 %s first;", i, i, end)
	}
	for i := range parts {
		text += fmt.Sprintf("5 send 1 %d 1 0;", i)
	}
	return text + "9 abort 1"
}

// TestUnchecked: what a trace cannot show is said, and is not counted as a break.
func TestUnchecked(t *testing.T) {
	h := header()
	h.GroundTruth, h.Budget = false, nil
	r := check(t, h, "0 start 1; 0 told 1 running; 0 came 1 99999;"+further(1, 0, 30), 9000)
	if !r.Passed() || r.Unchecked[4] == "" || r.Unchecked[6] == "" || len(r.Unchecked) != 2 {
		t.Errorf("%+v", r)
	}
}

// TestIncomplete: a trace that is cut off, out of order, of unknown things or with lookups open does not pass.
func TestIncomplete(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		over float64
		want string
	}{
		"no last line":     {"0 take 1 any 900 1; 5 abort 1", -1, "cut off"},
		"a lookup open":    {"0 take 1 any 900 1", 500, "1 lookups were still open"},
		"out of order":     {"5 take 1 any 900 1; 4 abort 1", 900, "out of order"},
		"an unknown kind":  {"5 dance 1", 900, `"dance"`},
		"an unknown index": {"5 take 1 none 900 1", 900, `"none"`},
	} {
		if r := check(t, header(), c.text, c.over); r.Passed() || !strings.Contains(r.Incomplete, c.want) || len(r.Counts) > 0 {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

// TestFile: a trace is read back as it was written; cut off at any byte it never passes, and with a byte changed it
// is refused or does not pass.
func TestFile(t *testing.T) {
	var file bytes.Buffer
	w := NewWriter(&file, header())
	events := script("0 take 1 any 900 4; 0 send 1 0 1 0; 0 send 1 1 1 0; 0 send 1 2 2 0; 9 end 1 0 0 answered; 9 end 1 1 0 answered; 9 end 1 2 0 answered; 10 answer 1 whole 0 1 2")
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
	if _, err := Check(strings.NewReader(`{"trace":"yokeroute trace 9"}` + "\n")); err == nil || errors.Is(err, ErrTruncated) {
		t.Errorf("another form: %v", err)
	}
}
