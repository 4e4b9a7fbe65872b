package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config/settings"
	"yokeroute/internal/simwire"
)

const settingsText = `{"balancers":2,"tick":5000,"classes":[{"name":"any","effect":"pure","goalTime":1000000,"hardLimit":3000000,` +
	`"lateValue":0.1},{"name":"all","effect":"side_effect","goalTime":1000000,"hardLimit":3000000}],` +
	`"domain":{"cells":2,"inARow":1,"call":27000,"partsACall":16,"classFloor":[0.5,1],"completeFrom":[0.5,1]},` +
	`"limits":{"attemptsCap":3,"cancel":true,"secondCopies":true,"maxRetryAfter":1000000,"retryAfter":true}}`

func newPicker(t *testing.T, change func(s *gather.Settings)) *Picker {
	of, err := settings.Read([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(of)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := New(5, of, log)
	list := gather.EndpointList{Full: true}
	for i := range uint32(6) {
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: 10 + i, ReplicaSet: int(i % 2)})
	}
	p.Follow(list)
	return p
}

func lookup(index string, parts int, giveUpAt float64) *Lookup {
	lk := &Lookup{ID: "a", Index: index, GiveUpAt: giveUpAt}
	for shard := range parts {
		lk.Parts = append(lk.Parts, Part{Shard: shard, Weight: 1 / float64(parts)})
	}
	return lk
}

// TestSameDecisions tells the simulator's wire and the facade the same story, round by round, and wants the
// same decisions. Of six servers one never answers and one fails fast.
func TestSameDecisions(t *testing.T) {
	p := newPicker(t, nil)
	toHost, in := io.Pipe()
	out, fromHost := io.Pipe()
	go simwire.Serve(toHost, fromHost)
	defer in.Close()
	reply := bufio.NewScanner(out)
	type answer struct {
		at      float64
		c       *Call
		outcome gather.Outcome
	}
	verdicts := map[gather.Outcome]string{gather.Succeeded: "pass", gather.Failed: "fault", gather.Cancelled: "undone"}
	var waiting []answer
	held := map[*Lookup]bool{}
	var last *Lookup
	sent, off, ends := 0, 0, 0
	for step := range 400 {
		now := 1000 + 5*float64(step)
		var batch strings.Builder
		fmt.Fprintf(&batch, `{"cmd":"BeginBatch","now":%.0f,"batch":1}`+"\n", now*1000)
		if step == 0 {
			batch.WriteString(`{"cmd":"Hello","gathererId":0,"initSeed":5,"info":` + settingsText + "}\n" + `{"cmd":"DefineList","sheet":0,"members":[`)
			for i := range 6 {
				fmt.Fprintf(&batch, `%.*s{"setNo":%d,"server":%d,"condition":"Running"}`, min(i, 1), ",", i%2, 10+i)
			}
			batch.WriteString("]}\n" + `{"cmd":"RosterChange","gathererId":0,"form":"F","sheet":0,"index":1}` + "\n")
		}
		waiting = slices.DeleteFunc(waiting, func(a answer) bool {
			if a.at <= now && !a.c.told.Load() {
				p.Report(a.c, a.outcome, []byte("v"))
				fmt.Fprintf(&batch, `{"cmd":"ClosedAttempt","gathererId":0,"ref":%d,"server":%d,"verdict":%q,"sendNo":%d,"closed":%t}`+"\n",
					a.c.lk.ref+1+uint64(a.c.part), a.c.Server, verdicts[a.outcome], a.c.number, a.outcome == gather.Succeeded)
			}
			return a.at <= now
		})
		if step%4 == 1 && step < 300 {
			lk := lookup([]string{"any", "all"}[step/4%2], 2+step%5, now+2500)
			p.admit(lk)
			held[lk], last = true, lk
			for i := range 1 + len(lk.Parts) {
				fmt.Fprintf(&batch, `{"cmd":"Accept","gathererId":0,"ref":%d,"cls":%q,"query":%d,"shard":%d,"amount":%v,"giveUpAt":%.0f}`+"\n",
					lk.ref+uint64(i), lk.Index, lk.ref, i-1, 1/float64(len(lk.Parts)), lk.GiveUpAt*1000)
			}
		}
		if step%12 == 3 && held[last] { // its client goes away
			delete(held, last)
			p.tell(func(in *inbox) { in.Abandoned = append(in.Abandoned, last.ref) })
			fmt.Fprintf(&batch, `{"cmd":"CancelledByClient","gathererId":0,"ref":%d}`+"\n", last.ref)
		}
		fmt.Fprintln(&batch, `{"cmd":"DeadlineHit","gathererId":0}`+"\n"+`{"cmd":"YourTurn"}`)
		if _, err := io.WriteString(in, batch.String()); err != nil {
			t.Fatal(err)
		}
		var wire, facade []string
		for reply.Scan() && !strings.Contains(reply.Text(), `"Ok"`) {
			if !strings.Contains(reply.Text(), "Schedule") {
				wire = append(wire, reply.Text())
			}
		}
		orders := p.round(now)
		for _, c := range orders.Calls {
			facade = append(facade, fmt.Sprintf(`{"cmd":"PassOn","gathererId":0,"ref":%d,"server":%d,"cap":%.0f}`,
				c.lk.ref+1+uint64(c.part), c.Server, c.Timeout*1000))
			switch c.Server {
			case 12: // says nothing
			case 13:
				waiting = append(waiting, answer{now + 5, c, gather.Failed})
			default:
				waiting = append(waiting, answer{now + 20 + float64(c.Server), c, gather.Succeeded})
			}
		}
		for _, c := range orders.Off {
			facade = append(facade, fmt.Sprintf(`{"cmd":"UndoSend","gathererId":0,"ref":%d,"sendNo":%d}`, c.lk.ref+1+uint64(c.part), c.number))
			waiting = append(waiting, answer{now + 5, c, gather.Cancelled})
		}
		for lk := range held {
			select {
			case v := <-lk.done:
				delete(held, lk)
				ends++
				switch v.Kind {
				case Satisfied:
					facade = append(facade, fmt.Sprintf(`{"cmd":"SettleQuery","gathererId":0,"ref":%d,"complete":%t}`, lk.ref, v.Whole))
				case Nacked:
					facade = append(facade, fmt.Sprintf(`{"cmd":"PushBack","gathererId":0,"ref":%d,"pause":%.0f}`, lk.ref, v.ComeBack*1000))
				case Aborted:
					facade = append(facade, fmt.Sprintf(`{"cmd":"EndFailed","gathererId":0,"ref":%d}`, lk.ref))
				}
			default:
			}
		}
		sent, off = sent+len(orders.Calls), off+len(orders.Off)
		slices.Sort(wire)
		slices.Sort(facade)
		if !slices.Equal(wire, facade) {
			t.Fatalf("at %v the wire says\n%s\nthe facade\n%s", now, strings.Join(wire, "\n"), strings.Join(facade, "\n"))
		}
	}
	if sent < 200 || off < 10 || ends < 40 {
		t.Errorf("the story was too short to tell: %d calls, %d given up, %d lookups ended", sent, off, ends)
	}
}

// tick runs one round and fails where none comes due.
func tick(t *testing.T, p *Picker) Orders {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	o, err := p.Tick(ctx)
	if err != nil {
		t.Fatal("no round came due")
	}
	return o
}

func pickOf(ctx context.Context, p *Picker, lk *Lookup) <-chan Verdict {
	done := make(chan Verdict, 1)
	go func() { done <- p.Pick(ctx, lk) }()
	return done
}

// TestLeft guards against a part call that is written after its lookup is over: none may begin once Pick has
// returned, and Pick does not return while one is being written.
func TestLeft(t *testing.T) {
	p := newPicker(t, nil)
	tick(t, p)
	ctx, leave := context.WithCancel(t.Context())
	done := pickOf(ctx, p, lookup("all", 2, p.Now()+2000))
	o := tick(t, p)
	if len(o.Calls) != 2 || !o.Calls[0].Begin() {
		t.Fatalf("orders %+v", o)
	}
	leave()
	for o.Calls[1].Begin() { // until the lookup is being sealed
		o.Calls[1].End()
	}
	select {
	case <-done:
		t.Error("Pick returned while a call was being written")
	default:
	}
	o.Calls[0].End()
	if v := <-done; v.Kind != Left {
		t.Errorf("verdict %+v", v)
	}
	if o.Calls[0].Begin() {
		t.Error("a call began after the end")
	}
	if off := tick(t, p).Off; len(off) != 2 {
		t.Errorf("%d calls given up", len(off))
	}
}

// TestPanic wants what the module held answered, and the next lookup served by a module that knows the list.
func TestPanic(t *testing.T) {
	p := newPicker(t, nil)
	tick(t, p)
	done := pickOf(t.Context(), p, lookup("all", 2, p.Now()+2000))
	calls := tick(t, p).Calls
	bad := lookup("all", 1, p.Now()+2000)
	bad.Parts[0].Shard = -1 // the front turns such a shard away; the module does not expect it
	worse := pickOf(t.Context(), p, bad)
	off := tick(t, p).Off
	if a, b := <-done, <-worse; a.Kind != Broken || b.Kind != Broken {
		t.Errorf("verdicts %+v, %+v", a, b)
	}
	if len(off) != len(calls) {
		t.Errorf("%d of %d calls given up", len(off), len(calls))
	}
	for _, c := range off {
		p.Report(c, gather.Cancelled, nil)
	}
	tick(t, p)
	done = pickOf(t.Context(), p, lookup("all", 1, p.Now()+2000))
	c := tick(t, p).Calls[0]
	p.Report(c, gather.Succeeded, []byte("v"))
	p.Report(c, gather.ConnectionReset, nil) // only the first counts
	tick(t, p)
	if v := <-done; v.Kind != Satisfied || len(v.Hits) != 1 || string(v.Hits[0].Value) != "v" {
		t.Errorf("verdict %+v", v)
	}
}

// TestWeigh wants weights to reach the module, and the one that comes after a panic as well.
func TestWeigh(t *testing.T) {
	p := newPicker(t, nil)
	tick(t, p)
	shares := [][]gather.Weight{{{Server: 12, Share: 1}, {Server: 10}, {Server: 14}}}
	p.Weigh(shares)
	to := func() uint32 {
		pickOf(t.Context(), p, lookup("all", 1, p.Now()+2000))
		c := tick(t, p).Calls[0]
		p.Report(c, gather.Succeeded, []byte("v"))
		tick(t, p)
		return c.Server
	}
	for range 5 {
		if s := to(); s != 12 {
			t.Errorf("sent to %d", s)
		}
	}
	bad := lookup("all", 1, p.Now()+2000)
	bad.Parts[0].Shard = -1
	done := pickOf(t.Context(), p, bad)
	tick(t, p)
	<-done
	for range 5 {
		if s := to(); s != 12 {
			t.Errorf("after a panic, sent to %d", s)
		}
	}
	p.Weigh([][]gather.Weight{})
	seen := map[uint32]bool{}
	for range 6 {
		seen[to()] = true
	}
	if len(seen) != 3 {
		t.Errorf("plain turns went to %v", seen)
	}
}

// brokenContext panics under its user.
type brokenContext struct{ context.Context }

// TestPickPanics guards against part calls of a lookup whose request has already been answered as failed.
func TestPickPanics(t *testing.T) {
	p := newPicker(t, nil)
	tick(t, p)
	lk := lookup("all", 1, p.Now()+2000)
	func() {
		defer func() { recover() }()
		p.Pick(brokenContext{}, lk)
	}()
	for _, c := range tick(t, p).Calls {
		if c.Begin() {
			t.Error("a call began")
		}
	}
}

// TestMostHeld keeps the platform's limit on what is held at once, and frees what has ended.
func TestMostHeld(t *testing.T) {
	p := newPicker(t, func(s *gather.Settings) { s.MaxOpenRequests = 5 })
	tick(t, p)
	ctx, leave := context.WithCancel(t.Context())
	done := pickOf(ctx, p, lookup("all", 3, p.Now()+2000))
	tick(t, p)
	if v := p.Pick(t.Context(), lookup("all", 1, p.Now()+2000)); v.Kind != Nacked || v.ComeBack != 0 {
		t.Errorf("verdict %+v", v)
	}
	leave()
	<-done
	tick(t, p)
	pickOf(t.Context(), p, lookup("all", 1, p.Now()+2000))
	if o := tick(t, p); len(o.Calls) != 1 {
		t.Errorf("orders %+v", o)
	}
}

// TestWake wants the module's wake-ups kept: a lookup whose part is not answered ends in time by itself.
func TestWake(t *testing.T) {
	p := newPicker(t, nil)
	tick(t, p)
	go func() {
		for {
			if _, err := p.Tick(t.Context()); err != nil {
				return
			}
		}
	}()
	start := time.Now()
	v := p.Pick(t.Context(), lookup("all", 1, p.Now()+120))
	if late := time.Since(start) - 120*time.Millisecond; v.Kind != Aborted || late > 5*time.Second {
		t.Errorf("verdict %+v, %v late", v, late)
	}
}

// TestBounds replaces servers and ends lookups by the thousand, and wants nothing kept of them.
func TestBounds(t *testing.T) {
	p := newPicker(t, nil)
	p.round(1000)
	for i := range uint32(2000) {
		p.Follow(gather.EndpointList{Endpoints: []gather.Endpoint{{ID: 100 + i}, {ID: 99 + i, State: gather.Removed}}})
		lk := lookup("any", 2, 1000+float64(i)*5+1000)
		p.admit(lk)
		for _, c := range p.round(1000 + float64(i)*5).Calls {
			p.Report(c, gather.Succeeded, []byte("v"))
		}
	}
	p.round(1000 + 2001*5)
	if len(p.servers) != 7 || len(p.ids) != 7 || len(p.lookups) > 1 || len(p.parts) > 2 || p.held > 3 {
		t.Errorf("%d servers, %d ids, %d lookups, %d parts, %d held", len(p.servers), len(p.ids), len(p.lookups), len(p.parts), p.held)
	}
}
