package logic

import (
	"fmt"
	"os"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"yokeroute/gather"
)

// The notation of testdata/*.txt, a line each:
//
//	term NAME = VALUE               before the first round; a number, yes, no or a word
//	at MS[: LINE]                   the next round begins; what follows comes in with it
//	list SERVER:GROUP[:STARTED][:draining][:brief][:zone=ZONE] ...      the full list; the first tells how many groups there are
//	nolist                          asking for the list has failed
//	lookup ID,ID.. INDEX PARTS GIVEUPAT [COST]   its parts are ID+1.. at shards 0.., of equal weight;
//	                                each part costs 10 more than the one before
//	again ...                       the same for lookups that a client repeats
//	first ID,ID.. INDEX PARTS GIVEUPAT LEAD       first passes
//	rest ID INDEX PARTS GIVEUPAT IN [again]       a second pass, so much weight of it in; its calls are further ones
//	second ID PARTS                 the parts of its second step, ID+101..
//	weights SERVER=SHARE ... / ...  weights by group, groups parted by a slash; none for plain turns again
//	end PART[/CALL],.. OUTCOME      part calls end
//	sample SERVER WAITING LATENCY [WAITED]       a probe is answered with a load; without one, it has failed
//	left ID                         the client has gone
//	+ MESSAGE                       the round has written it; * stands for any run of characters
//	- MESSAGE                       it has not
//	N MESSAGE                       it has, N times
//
// Every further line of a round comes in before any is checked.
type player struct {
	t       *testing.T
	terms   gather.Terms
	g       *Gatherer
	in      gather.Round
	pending bool
	wrote   []string
	to      map[string]uint32
	sent    map[uint64]int
}

var outcomes = map[string]gather.Outcome{"answered": gather.Answered, "erred": gather.Erred, "full": gather.Full,
	"late": gather.TimedOut, "unreached": gather.Unreached, "cut": gather.Cut, "off": gather.CalledOff,
	"over": gather.Stale}

func (p *player) write(format string, args ...any) {
	p.wrote = append(p.wrote, fmt.Sprintf(format, args...))
}

func (p *player) Send(part uint64, server uint32, timeout float64) {
	p.to[fmt.Sprint(part, p.sent[part])] = server
	p.sent[part]++
	p.write("send %d %d %g", part, server, timeout)
}
func (p *player) CallOff(part uint64, call int)        { p.write("calloff %d %d", part, call) }
func (p *player) Answer(lookup uint64, whole bool)     { p.write("answer %d %t", lookup, whole) }
func (p *player) Nack(lookup uint64, comeBack float64) { p.write("nack %d %g", lookup, comeBack) }
func (p *player) Abort(lookup uint64)                  { p.write("abort %d", lookup) }
func (p *player) Wake(after float64)                   { p.write("wake %g", after) }
func (p *player) Subscribe()                           { p.write("subscribe") }
func (p *player) Probe(server uint32)                  { p.write("probe %d", server) }

func (p *player) play() {
	if !p.pending {
		return
	}
	if p.g == nil {
		p.g = New(7, p.terms)
	}
	p.wrote = nil
	p.g.Round(&p.in, p)
	p.in, p.pending = gather.Round{Now: p.in.Now}, false
}

func (p *player) line(text string) {
	w := strings.Fields(text)
	num := func(i int) float64 {
		if i >= len(w) {
			return 0
		}
		v, err := strconv.ParseFloat(w[i], 64)
		if err != nil {
			p.t.Fatalf("%q: %v", text, err)
		}
		return v
	}
	times, err := strconv.Atoi(w[0])
	switch {
	case w[0] == "term":
		name, value, _ := strings.Cut(strings.TrimPrefix(text, "term "), " = ")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			p.terms[name] = v
		} else if value == "yes" || value == "no" {
			p.terms[name] = value == "yes"
		} else {
			p.terms[name] = value
		}
		if index, _, found := strings.Cut(name, "/"); found {
			p.terms["indexes"] = append(p.terms.Names("indexes"), index)
		}
	case w[0] == "at":
		p.play()
		when, rest, _ := strings.Cut(strings.TrimPrefix(text, "at "), ":")
		p.in.Now, _ = strconv.ParseFloat(when, 64)
		if p.pending = true; rest != "" {
			p.line(strings.TrimSpace(rest))
		}
	case w[0] == "list":
		list := gather.List{Full: true}
		for _, entry := range w[1:] {
			f := append(strings.Split(entry, ":"), "0", "")
			id, _ := strconv.Atoi(f[0])
			group, _ := strconv.Atoi(f[1])
			started, _ := strconv.ParseFloat(f[2], 64)
			s := gather.Server{ID: uint32(id), Group: group, Started: started}
			if strings.HasSuffix(entry, ":draining") {
				s.State = gather.Draining
			}
			s.Brief = strings.HasSuffix(entry, ":brief")
			_, s.Zone, _ = strings.Cut(entry, "zone=")
			list.Servers = append(list.Servers, s)
			if p.g == nil {
				p.terms["groups"] = max(p.terms.Num("groups"), float64(group+1))
			}
		}
		p.in.Lists = append(p.in.Lists, list)
	case w[0] == "lookup", w[0] == "again":
		for _, name := range strings.Split(w[1], ",") {
			id, _ := strconv.ParseUint(name, 10, 64)
			p.in.Lookups = append(p.in.Lookups, gather.Lookup{ID: id, Number: id, Index: w[2], GiveUpAt: num(4),
				Retry: w[0] == "again"})
			p.parts(id, id+1, int(num(3)), num(5))
		}
	case w[0] == "first":
		for _, name := range strings.Split(w[1], ",") {
			id, _ := strconv.ParseUint(name, 10, 64)
			p.in.Lookups = append(p.in.Lookups, gather.Lookup{ID: id, Number: id, Index: w[2], GiveUpAt: num(4), Pass: gather.First, Lead: num(5)})
			p.parts(id, id+1, int(num(3)), 0)
		}
	case w[0] == "rest":
		id := uint64(num(1))
		p.in.Lookups = append(p.in.Lookups, gather.Lookup{ID: id, Number: id, Index: w[2], GiveUpAt: num(4), Pass: gather.Second, Since: 1, In: num(5)})
		from := len(p.in.Parts)
		p.parts(id, id+1, int(num(3)), 0)
		for i := range p.in.Parts[from:] {
			p.in.Parts[from+i].Weight *= 1 - num(5)
			p.in.Parts[from+i].Again = len(w) > 6
		}
	case w[0] == "second":
		p.parts(uint64(num(1)), uint64(num(1))+101, int(num(2)), 0)
	case w[0] == "weights":
		p.in.Weights = [][]gather.Weight{nil}
		for _, word := range w[1:] {
			if word == "/" {
				p.in.Weights = append(p.in.Weights, nil)
				continue
			}
			id, share, _ := strings.Cut(word, "=")
			server, _ := strconv.Atoi(id)
			v, err := strconv.ParseFloat(share, 64)
			if err != nil {
				p.t.Fatalf("%q: %v", text, err)
			}
			group := &p.in.Weights[len(p.in.Weights)-1]
			*group = append(*group, gather.Weight{Server: uint32(server), Share: v})
		}
	case w[0] == "end":
		for _, name := range strings.Split(w[1], ",") {
			part, call, _ := strings.Cut(name+"/0", "/")
			p.end(part, strings.TrimSuffix(call, "/0"), outcomes[w[2]])
		}
	case w[0] == "nolist":
		p.in.Lists = append(p.in.Lists, gather.List{Failed: true})
	case w[0] == "sample":
		p.in.Samples = append(p.in.Samples, gather.Sample{Server: uint32(num(1)), Passed: len(w) > 2, Waiting: num(2),
			Latency: num(3), Waited: num(4)})
	case w[0] == "left":
		p.in.Left = append(p.in.Left, uint64(num(1)))
	default:
		p.play()
		want, got := strings.Join(w[1:], " "), 0
		for _, line := range p.wrote {
			if ok, err := path.Match(want, line); err != nil {
				p.t.Fatalf("%q: %v", text, err)
			} else if ok {
				got++
			}
		}
		if w[0] != "+" && w[0] != "-" && err != nil {
			p.t.Fatalf("unknown line %q", text)
		}
		if w[0] == "+" && got == 0 || w[0] == "-" && got > 0 || err == nil && got != times {
			p.t.Errorf("at %g: %q, but written was %q", p.in.Now, text, p.wrote)
		}
	}
}

func (p *player) parts(number, first uint64, k int, cost float64) {
	for i := range k {
		pt := gather.Part{ID: first + uint64(i), Number: number, Shard: i, Weight: 1 / float64(k)}
		if cost > 0 {
			pt.Cost = cost + 10*float64(i)
		}
		p.in.Parts = append(p.in.Parts, pt)
	}
}

func (p *player) end(part, call string, o gather.Outcome) {
	id, _ := strconv.ParseUint(part, 10, 64)
	no, _ := strconv.Atoi(call)
	server, sent := p.to[part+" "+call]
	if !sent {
		p.t.Fatalf("at %g: call %s of part %s was never sent; written was %q", p.in.Now, call, part, p.wrote)
	}
	p.in.Endings = append(p.in.Endings, gather.Ending{Part: id, Server: server, Call: no, Outcome: o,
		Over: o == gather.Stale})
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			p := &player{t: t, to: map[string]uint32{}, sent: map[uint64]int{}, terms: gather.Terms{
				"groups in a row": 1.0, "most calls": 3.0, "call off": true, "second copies": true,
				"tick": 5.0, "gatherers": 1.0, "longest come back": 1000.0}}
			for _, index := range []string{"any", "all", "once", "marked"} {
				p.terms[index+"/soft deadline"], p.terms[index+"/late share"] = 1000.0, 0.1
				p.terms[index+"/whole from"], p.terms[index+"/least share"] = 1.0, 1.0
				p.terms[index+"/effect"] = "idempotent"
			}
			p.terms["indexes"] = []string{"any", "all", "once", "marked"}
			p.terms["any/whole from"], p.terms["any/least share"] = 0.75, 0.75
			p.terms["once/effect"], p.terms["marked/effect"] = "once-only", "fingerprinted"
			p.terms["marked/window"] = 500.0
			for _, line := range strings.Split(string(text), "\n") {
				if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
					p.line(line)
				}
			}
			p.play()
		})
	}
}

// TestFullWindow guards against garbage in each round by the number of records in the window, of which a busy
// gatherer has thousands: on part of a core and 32 MB it took most of what there is.
func TestFullWindow(t *testing.T) {
	g := New(1, gather.Terms{"indexes": []string{"i"}, "i/soft deadline": 1000.0, "groups": 1.0, "groups in a row": 1.0,
		"i/whole from": 1.0, "i/least share": 1.0, "i/effect": "once-only", "most calls": 1.0, "tick": 5.0})
	p := &player{t: t, to: map[string]uint32{}, sent: map[uint64]int{}}
	round := func(in gather.Round) {
		p.wrote = p.wrote[:0]
		g.Round(&in, p)
	}
	round(gather.Round{Now: 1000, Lists: []gather.List{{Full: true, Servers: []gather.Server{{ID: 1}, {ID: 2}}}}})
	now := 1000.0
	for id := uint64(10); id < 4000; id += 2 {
		now++
		round(gather.Round{Now: now, Lookups: []gather.Lookup{{ID: id, Number: id, Index: "i", GiveUpAt: now + 900}},
			Parts: []gather.Part{{ID: id + 1, Number: id, Weight: 1}}})
		now++
		round(gather.Round{Now: now, Endings: []gather.Ending{{Part: id + 1, Outcome: gather.Answered, Over: true}}})
	}
	if n := g.records.Len(0) + g.records.Len(1); n < 1900 {
		t.Fatalf("%d records are too few to tell", n)
	}
	if n := testing.AllocsPerRun(20, func() { now++; round(gather.Round{Now: now}) }); n > 2 {
		t.Errorf("%v allocations in a round with nothing in it", n)
	}
}

// TestReplaced guards against arrays and maps that grow where each server is replaced by one of a new id.
func TestReplaced(t *testing.T) {
	g := New(1, gather.Terms{"indexes": []string{"i"}, "i/soft deadline": 1000.0, "groups": 1.0, "groups in a row": 1.0})
	p := &player{t: t, to: map[string]uint32{}, sent: map[uint64]int{}}
	for i := range uint32(1000) {
		g.Round(&gather.Round{Now: 1000 + float64(i), Lists: []gather.List{{Servers: []gather.Server{{ID: i, State: gather.Gone}, {ID: i + 1}}}}}, p)
	}
	if len(g.ids) > 3 || len(g.dense) > 3 || len(g.out) > 3 {
		t.Errorf("%d ids, %d in the map, %d rows of calls", len(g.ids), len(g.dense), len(g.out))
	}
}
