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

// TestPickerDecisionsMatchSimulatorWire guards against a picker that gives the module other input than package simwire
// gives it. Both get the same events, round by round, and must make the same decisions. Of six servers, one never
// answers and one fails fast.
func TestPickerDecisionsMatchSimulatorWire(t *testing.T) {
	p := newPicker(t, nil)
	serveInput, in := io.Pipe()
	out, serveOutput := io.Pipe()
	go simwire.Serve(serveInput, serveOutput)
	defer in.Close()
	reply := bufio.NewScanner(out)
	type scheduledEnd struct {
		at      float64
		attempt *Attempt
		outcome gather.Outcome
	}
	verdicts := map[gather.Outcome]string{gather.Succeeded: "pass", gather.Failed: "fault", gather.Cancelled: "undone"}
	var waiting []scheduledEnd
	open := map[*Query]bool{}
	var lastQuery *Query
	sent, cancelled, ended := 0, 0, 0
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
		waiting = slices.DeleteFunc(waiting, func(a scheduledEnd) bool {
			if a.at <= now && !a.attempt.ended.Load() {
				p.Report(a.attempt, a.outcome, []byte("v"))
				fmt.Fprintf(&batch, `{"cmd":"ClosedAttempt","gathererId":0,"ref":%d,"server":%d,"verdict":%q,"sendNo":%d,"closed":%t}`+"\n",
					a.attempt.query.id+1+uint64(a.attempt.index), a.attempt.Server, verdicts[a.outcome], a.attempt.number, a.outcome == gather.Succeeded)
			}
			return a.at <= now
		})
		if step%4 == 1 && step < 300 {
			query := newQuery([]string{"any", "all"}[step/4%2], 2+step%5, now+2500)
			p.submit(query)
			open[query], lastQuery = true, query
			for i := range 1 + len(query.ShardRequests) {
				fmt.Fprintf(&batch, `{"cmd":"Accept","gathererId":0,"ref":%d,"cls":%q,"query":%d,"shard":%d,"amount":%v,"giveUpAt":%.0f}`+"\n",
					query.id+uint64(i), query.Class, query.id, i-1, 1/float64(len(query.ShardRequests)), query.Deadline*1000)
			}
		}
		if step%12 == 3 && open[lastQuery] { // the client disconnects
			delete(open, lastQuery)
			p.intake.enqueue(func(in *inbox) { in.Abandoned = append(in.Abandoned, lastQuery.id) })
			fmt.Fprintf(&batch, `{"cmd":"CancelledByClient","gathererId":0,"ref":%d}`+"\n", lastQuery.id)
		}
		fmt.Fprintln(&batch, `{"cmd":"DeadlineHit","gathererId":0}`+"\n"+`{"cmd":"YourTurn"}`)
		if _, err := io.WriteString(in, batch.String()); err != nil {
			t.Fatal(err)
		}
		var wireActions, pickerActions []string
		for reply.Scan() && !strings.Contains(reply.Text(), `"Ok"`) {
			if !strings.Contains(reply.Text(), "Schedule") {
				wireActions = append(wireActions, reply.Text())
			}
		}
		actions := p.runRound(now)
		for _, attempt := range actions.Send {
			pickerActions = append(pickerActions, fmt.Sprintf(`{"cmd":"PassOn","gathererId":0,"ref":%d,"server":%d,"cap":%.0f}`,
				attempt.query.id+1+uint64(attempt.index), attempt.Server, attempt.Timeout*1000))
			switch attempt.Server {
			case 12: // never answers
			case 13:
				waiting = append(waiting, scheduledEnd{now + 5, attempt, gather.Failed})
			default:
				waiting = append(waiting, scheduledEnd{now + 20 + float64(attempt.Server), attempt, gather.Succeeded})
			}
		}
		for _, attempt := range actions.Cancel {
			pickerActions = append(pickerActions, fmt.Sprintf(`{"cmd":"UndoSend","gathererId":0,"ref":%d,"sendNo":%d}`,
				attempt.query.id+1+uint64(attempt.index), attempt.number))
			waiting = append(waiting, scheduledEnd{now + 5, attempt, gather.Cancelled})
		}
		for query := range open {
			select {
			case result := <-query.result:
				delete(open, query)
				ended++
				switch result.Kind {
				case Served:
					pickerActions = append(pickerActions, fmt.Sprintf(`{"cmd":"SettleQuery","gathererId":0,"ref":%d,"complete":%t}`, query.id, result.Complete))
				case Rejected:
					pickerActions = append(pickerActions, fmt.Sprintf(`{"cmd":"PushBack","gathererId":0,"ref":%d,"pause":%.0f}`, query.id, result.RetryAfter*1000))
				case Failed:
					pickerActions = append(pickerActions, fmt.Sprintf(`{"cmd":"EndFailed","gathererId":0,"ref":%d}`, query.id))
				}
			default:
			}
		}
		sent, cancelled = sent+len(actions.Send), cancelled+len(actions.Cancel)
		slices.Sort(wireActions)
		slices.Sort(pickerActions)
		if !slices.Equal(wireActions, pickerActions) {
			t.Fatalf("at %v ms simwire decided\n%s\nthe picker decided\n%s",
				now, strings.Join(wireActions, "\n"), strings.Join(pickerActions, "\n"))
		}
	}
	if sent < 200 || cancelled < 10 || ended < 40 {
		t.Errorf("too few events: %d attempts, %d cancelled, %d queries ended, want 200, 10 and 40", sent, cancelled, ended)
	}
}

// TestNoAttemptIsWrittenAfterPickReturns guards against writing to a shard server after the query's client has its
// result. The client disconnects while an attempt is written: Pick must not return during the write, and no other write
// may begin after it has returned.
func TestNoAttemptIsWrittenAfterPickReturns(t *testing.T) {
	p := newPicker(t, nil)
	runDueRound(t, p)
	ctx, disconnect := context.WithCancel(t.Context())
	done := pickAsync(ctx, p, newQuery("all", 2, p.Now()+2000))
	actions := runDueRound(t, p)
	if len(actions.Send) != 2 || !actions.Send[0].BeginWrite() {
		t.Fatalf("actions %+v, want two attempts that may be written", actions)
	}
	disconnect()
	for actions.Send[1].BeginWrite() { // until Pick seals the query
		actions.Send[1].EndWrite()
	}
	select {
	case <-done:
		t.Error("Pick returned while an attempt was being written")
	default:
	}
	actions.Send[0].EndWrite()
	if result := <-done; result.Kind != Abandoned {
		t.Errorf("result %+v, want Abandoned", result)
	}
	if actions.Send[0].BeginWrite() {
		t.Error("BeginWrite permits an attempt after Pick returned")
	}
	if cancelled := runDueRound(t, p).Cancel; len(cancelled) != 2 {
		t.Errorf("%d attempts cancelled, want 2", len(cancelled))
	}
}

// TestPanicInPickWritesNothing guards against writing attempts of a query after a panic in Pick, when its client has
// already been answered.
func TestPanicInPickWritesNothing(t *testing.T) {
	p := newPicker(t, nil)
	runDueRound(t, p)
	query := newQuery("all", 1, p.Now()+2000)
	func() {
		defer func() { recover() }()
		p.Pick(panickingContext{}, query)
	}()
	for _, attempt := range runDueRound(t, p).Send {
		if attempt.BeginWrite() {
			t.Error("BeginWrite permits an attempt after Pick panicked")
		}
	}
}

// TestOpenRequestsAreBounded checks that queries beyond the platform's limit on open requests are rejected, and that
// ended queries no longer count.
func TestOpenRequestsAreBounded(t *testing.T) {
	p := newPicker(t, func(s *gather.Settings) { s.MaxOpenRequests = 5 })
	runDueRound(t, p)
	ctx, disconnect := context.WithCancel(t.Context())
	done := pickAsync(ctx, p, newQuery("all", 3, p.Now()+2000))
	runDueRound(t, p)
	if result := p.Pick(t.Context(), newQuery("all", 1, p.Now()+2000)); result.Kind != Rejected || result.RetryAfter != 0 {
		t.Errorf("result %+v, want Rejected without RetryAfter", result)
	}
	disconnect()
	<-done
	runDueRound(t, p)
	pickAsync(t.Context(), p, newQuery("all", 1, p.Now()+2000))
	if actions := runDueRound(t, p); len(actions.Send) != 1 {
		t.Errorf("actions %+v, want one attempt", actions)
	}
}

// TestEndedQueriesAndRemovedServersAreFreed guards against memory that grows with the number of ended queries and
// removed servers. It replaces thousands of servers and ends thousands of queries.
func TestEndedQueriesAndRemovedServersAreFreed(t *testing.T) {
	p := newPicker(t, nil)
	p.runRound(1000)
	for i := range uint32(2000) {
		p.UpdateEndpoints(gather.EndpointList{
			Endpoints: []gather.Endpoint{{ID: 100 + i}, {ID: 99 + i, State: gather.Removed}},
		})
		query := newQuery("any", 2, 1000+float64(i)*5+1000)
		p.submit(query)
		for _, attempt := range p.runRound(1000 + float64(i)*5).Send {
			p.Report(attempt, gather.Succeeded, []byte("v"))
		}
	}
	p.runRound(1000 + 2001*5)
	if len(p.endpoints.byID) != 7 || len(p.endpoints.order) != 7 || len(p.queries.byID) > 1 ||
		len(p.queries.requests) > 2 || p.intake.openRequests > 3 {
		t.Errorf("left over: %d servers, %d server IDs, %d queries, %d shard requests, %d open requests",
			len(p.endpoints.byID), len(p.endpoints.order), len(p.queries.byID), len(p.queries.requests), p.intake.openRequests)
	}
}

// TestRoundReportsItsDelay guards against a process that was suspended and takes answers that it has not read yet for
// late ones. Each round must report by how much it starts later than the module requested.
func TestRoundReportsItsDelay(t *testing.T) {
	p := newPicker(t, nil)
	var heldUp []float64
	p.module.Module = heldUpRecorder{Module: p.module.Module, heldUp: &heldUp}
	p.clock.override = func() float64 { return p.schedule.lastRoundAt }
	p.runRound(1000)
	p.submit(newQuery("all", 1, 5000))
	p.runRound(1005) // the module requests the next round for 1015
	p.runRound(1015)
	p.submit(newQuery("all", 1, 5000))
	p.runRound(1020) // due because of input, before the round requested for 1025
	p.runRound(1325)
	p.runRound(1335)
	if want := []float64{0, 0, 0, 0, 300, 0}; !slices.Equal(heldUp, want) {
		t.Errorf("rounds delayed by %v ms, want %v", heldUp, want)
	}
}

// heldUpRecorder is a module that records the reported delay of each round.
type heldUpRecorder struct {
	gather.Module
	heldUp *[]float64
}

func (m heldUpRecorder) Round(in *gather.Round, w gather.Writer) {
	*m.heldUp = append(*m.heldUp, in.WakeDelay)
	m.Module.Round(in, w)
}
