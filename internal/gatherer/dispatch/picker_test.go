package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"yokeroute/gather"
	"yokeroute/internal/simwire"
)

// TestPickerDecidesLikeSimulatorWire tells the simulator's wire and a picker the same story, round by round, and
// wants the same decisions. Of six servers one never answers and one fails fast.
func TestPickerDecidesLikeSimulatorWire(t *testing.T) {
	p := newPicker(t, nil)
	toHost, in := io.Pipe()
	out, fromHost := io.Pipe()
	go simwire.Serve(toHost, fromHost)
	defer in.Close()
	reply := bufio.NewScanner(out)
	type answer struct {
		at      float64
		c       *Attempt
		outcome gather.Outcome
	}
	verdicts := map[gather.Outcome]string{gather.Succeeded: "pass", gather.Failed: "fault", gather.Cancelled: "undone"}
	var waiting []answer
	held := map[*Query]bool{}
	var last *Query
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
			if a.at <= now && !a.c.ended.Load() {
				p.Report(a.c, a.outcome, []byte("v"))
				fmt.Fprintf(&batch, `{"cmd":"ClosedAttempt","gathererId":0,"ref":%d,"server":%d,"verdict":%q,"sendNo":%d,"closed":%t}`+"\n",
					a.c.query.id+1+uint64(a.c.index), a.c.Server, verdicts[a.outcome], a.c.number, a.outcome == gather.Succeeded)
			}
			return a.at <= now
		})
		if step%4 == 1 && step < 300 {
			query := newQuery([]string{"any", "all"}[step/4%2], 2+step%5, now+2500)
			p.submit(query)
			held[query], last = true, query
			for i := range 1 + len(query.ShardRequests) {
				fmt.Fprintf(&batch, `{"cmd":"Accept","gathererId":0,"ref":%d,"cls":%q,"query":%d,"shard":%d,"amount":%v,"giveUpAt":%.0f}`+"\n",
					query.id+uint64(i), query.Class, query.id, i-1, 1/float64(len(query.ShardRequests)), query.Deadline*1000)
			}
		}
		if step%12 == 3 && held[last] { // its client goes away
			delete(held, last)
			p.intake.enqueue(func(in *inbox) { in.Abandoned = append(in.Abandoned, last.id) })
			fmt.Fprintf(&batch, `{"cmd":"CancelledByClient","gathererId":0,"ref":%d}`+"\n", last.id)
		}
		fmt.Fprintln(&batch, `{"cmd":"DeadlineHit","gathererId":0}`+"\n"+`{"cmd":"YourTurn"}`)
		if _, err := io.WriteString(in, batch.String()); err != nil {
			t.Fatal(err)
		}
		var wire, picker []string
		for reply.Scan() && !strings.Contains(reply.Text(), `"Ok"`) {
			if !strings.Contains(reply.Text(), "Schedule") {
				wire = append(wire, reply.Text())
			}
		}
		actions := p.runRound(now)
		for _, c := range actions.Send {
			picker = append(picker, fmt.Sprintf(`{"cmd":"PassOn","gathererId":0,"ref":%d,"server":%d,"cap":%.0f}`,
				c.query.id+1+uint64(c.index), c.Server, c.Timeout*1000))
			switch c.Server {
			case 12: // says nothing
			case 13:
				waiting = append(waiting, answer{now + 5, c, gather.Failed})
			default:
				waiting = append(waiting, answer{now + 20 + float64(c.Server), c, gather.Succeeded})
			}
		}
		for _, c := range actions.Cancel {
			picker = append(picker, fmt.Sprintf(`{"cmd":"UndoSend","gathererId":0,"ref":%d,"sendNo":%d}`, c.query.id+1+uint64(c.index), c.number))
			waiting = append(waiting, answer{now + 5, c, gather.Cancelled})
		}
		for query := range held {
			select {
			case v := <-query.result:
				delete(held, query)
				ends++
				switch v.Kind {
				case Served:
					picker = append(picker, fmt.Sprintf(`{"cmd":"SettleQuery","gathererId":0,"ref":%d,"complete":%t}`, query.id, v.Complete))
				case Rejected:
					picker = append(picker, fmt.Sprintf(`{"cmd":"PushBack","gathererId":0,"ref":%d,"pause":%.0f}`, query.id, v.RetryAfter*1000))
				case Failed:
					picker = append(picker, fmt.Sprintf(`{"cmd":"EndFailed","gathererId":0,"ref":%d}`, query.id))
				}
			default:
			}
		}
		sent, off = sent+len(actions.Send), off+len(actions.Cancel)
		slices.Sort(wire)
		slices.Sort(picker)
		if !slices.Equal(wire, picker) {
			t.Fatalf("at %v the wire says\n%s\nthe picker\n%s", now, strings.Join(wire, "\n"), strings.Join(picker, "\n"))
		}
	}
	if sent < 200 || off < 10 || ends < 40 {
		t.Errorf("the story was too short to tell: %d attempts, %d cancelled, %d queries ended", sent, off, ends)
	}
}

// TestNoAttemptIsWrittenAfterPickReturns has a client go while an attempt of its query is written: none may begin
// once Pick has returned, and Pick does not return while one is being written.
func TestNoAttemptIsWrittenAfterPickReturns(t *testing.T) {
	p := newPicker(t, nil)
	runDueRound(t, p)
	ctx, leave := context.WithCancel(t.Context())
	done := pickAsync(ctx, p, newQuery("all", 2, p.Now()+2000))
	o := runDueRound(t, p)
	if len(o.Send) != 2 || !o.Send[0].BeginWrite() {
		t.Fatalf("orders %+v", o)
	}
	leave()
	for o.Send[1].BeginWrite() { // until the query is being sealed
		o.Send[1].EndWrite()
	}
	select {
	case <-done:
		t.Error("Pick returned while an attempt was being written")
	default:
	}
	o.Send[0].EndWrite()
	if v := <-done; v.Kind != Abandoned {
		t.Errorf("result %+v", v)
	}
	if o.Send[0].BeginWrite() {
		t.Error("an attempt began after the end")
	}
	if off := runDueRound(t, p).Cancel; len(off) != 2 {
		t.Errorf("%d attempts cancelled", len(off))
	}
}

// TestPanicInPickWritesNothing panics in Pick. No attempt of the query may begin: its request has been answered
// already.
func TestPanicInPickWritesNothing(t *testing.T) {
	p := newPicker(t, nil)
	runDueRound(t, p)
	query := newQuery("all", 1, p.Now()+2000)
	func() {
		defer func() { recover() }()
		p.Pick(brokenContext{}, query)
	}()
	for _, c := range runDueRound(t, p).Send {
		if c.BeginWrite() {
			t.Error("an attempt began")
		}
	}
}

// TestOpenRequestsAreBounded keeps the platform's limit of open requests, and frees what has ended.
func TestOpenRequestsAreBounded(t *testing.T) {
	p := newPicker(t, func(s *gather.Settings) { s.MaxOpenRequests = 5 })
	runDueRound(t, p)
	ctx, leave := context.WithCancel(t.Context())
	done := pickAsync(ctx, p, newQuery("all", 3, p.Now()+2000))
	runDueRound(t, p)
	if v := p.Pick(t.Context(), newQuery("all", 1, p.Now()+2000)); v.Kind != Rejected || v.RetryAfter != 0 {
		t.Errorf("result %+v", v)
	}
	leave()
	<-done
	runDueRound(t, p)
	pickAsync(t.Context(), p, newQuery("all", 1, p.Now()+2000))
	if o := runDueRound(t, p); len(o.Send) != 1 {
		t.Errorf("orders %+v", o)
	}
}

// TestNothingIsKeptOfEndedQueriesAndServers replaces servers and ends queries by the thousand, and wants nothing
// kept of them.
func TestNothingIsKeptOfEndedQueriesAndServers(t *testing.T) {
	p := newPicker(t, nil)
	p.runRound(1000)
	for i := range uint32(2000) {
		p.UpdateEndpoints(gather.EndpointList{Endpoints: []gather.Endpoint{{ID: 100 + i}, {ID: 99 + i, State: gather.Removed}}})
		query := newQuery("any", 2, 1000+float64(i)*5+1000)
		p.submit(query)
		for _, c := range p.runRound(1000 + float64(i)*5).Send {
			p.Report(c, gather.Succeeded, []byte("v"))
		}
	}
	p.runRound(1000 + 2001*5)
	if len(p.endpoints.byID) != 7 || len(p.endpoints.order) != 7 || len(p.queries.byID) > 1 || len(p.queries.requests) > 2 || p.intake.open > 3 {
		t.Errorf("%d servers, %d ids, %d queries, %d shard requests, %d open", len(p.endpoints.byID), len(p.endpoints.order), len(p.queries.byID), len(p.queries.requests), p.intake.open)
	}
}

// TestRoundsTellHowLongTheyWereHeldUp guards against a process that was held up and takes answers it has not read yet
// for late ones: a round says by how much it comes after the time that the module requested.
func TestRoundsTellHowLongTheyWereHeldUp(t *testing.T) {
	p := newPicker(t, nil)
	var heldUp []float64
	p.module.Module = heldUpRecorder{Module: p.module.Module, heldUp: &heldUp}
	p.clock.override = func() float64 { return p.schedule.lastAt }
	p.runRound(1000)
	p.submit(newQuery("all", 1, 5000))
	p.runRound(1005) // requests the next one for 1015
	p.runRound(1015)
	p.submit(newQuery("all", 1, 5000))
	p.runRound(1020) // by an input, before the one that is requested for 1025
	p.runRound(1325)
	p.runRound(1335)
	if want := []float64{0, 0, 0, 0, 300, 0}; !slices.Equal(heldUp, want) {
		t.Errorf("held up for %v, want %v", heldUp, want)
	}
}

// heldUpRecorder is a module that records for how long its rounds were held up.
type heldUpRecorder struct {
	gather.Module
	heldUp *[]float64
}

func (m heldUpRecorder) Round(in *gather.Round, w gather.Writer) {
	*m.heldUp = append(*m.heldUp, in.HeldUp)
	m.Module.Round(in, w)
}
