package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["id-of-an-open-request"] = idOfAnOpenRequest }

const (
	case1Lookups  = 24
	case1PartTime = 330 * time.Millisecond // a part waits and works that long at its shard server: a busy hour
	case1BadAt    = 100 * time.Millisecond // after the usual client's request
	case1Patience = 250 * time.Millisecond // of the usual client, which then closes its connection
)

// idOfAnOpenRequest has usual clients send build-claim lookups and give up early. A bad client sends a request with the
// id of a lookup that is open.
func idOfAnOpenRequest(w *World) {
	onPart := func(p *Part) {
		time.Sleep(case1PartTime)
		value := w.Work.Run(p) // a cancel doesn't stop what has begun
		if p.GivenUp() {
			return
		}
		w.Rec.Add("answer    %s ok from %s value %s", p.ID, p.Server.Name, value)
		p.Conn.WriteFrame('A', AnswerText(p.ID, "ok", value))
	}
	if !w.StartFleet(onPart) {
		return
	}
	g := w.StartGatherer("n1", Limits{1, 64, 384}, Settings())
	if g == nil {
		return
	}
	bad := NewClients(w.Rec, g.Address)
	defer bad.Close()
	usual := NewClients(w.Rec, g.Address)
	defer usual.Close()
	var all sync.WaitGroup
	served := 0
	var mu sync.Mutex
	for i := range case1Lookups {
		shard := i % shards
		lookup := &Query{ID: w.RequestID(), Class: "build-claim", Tenant: "mainline", TimeoutMS: 3000,
			Text: fmt.Sprintf("c41e%04x", i), Parts: EvenParts(shard)}
		patient := &Query{ID: w.RequestID(), Class: "build-claim", Tenant: "mainline", TimeoutMS: 3000,
			Text: fmt.Sprintf("d52f%04x", i), Parts: EvenParts((shard + 1) % shards)}
		all.Go(func() { w.CheckValues(usual.Send(patient, time.Second)) })
		answered := make(chan struct{})
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", g.Address, time.Second)
			if err != nil {
				w.Rec.Cannot("a client: %v", err)
				return
			}
			defer conn.Close()
			w.Rec.Add("request   %s /build-claim from a usual client", lookup.ID)
			conn.Write(lookup.Bytes())
			conn.SetReadDeadline(time.Now().Add(case1Patience))
			answer := make([]byte, 512)
			if n, err := conn.Read(answer); err == nil {
				close(answered)
				w.Rec.Add("response  %s %.12s", lookup.ID, answer[:n])
				return
			}
			w.Rec.Add("client    the usual client of %s gives up and closes its connection", lookup.ID)
		})
		if w.Trouble {
			all.Go(func() {
				select {
				case <-answered: // the id is not of an open request any more
					return
				case <-time.After(case1BadAt):
				}
				copied := *lookup
				copied.Text = fmt.Sprintf("bad0%04x", i)
				w.Rec.Add("client    a bad client sends a request with the id %s, which is open", copied.ID)
				if r := bad.Send(&copied, time.Second); r.Status == 200 {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		time.Sleep(400 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(2 * case1PartTime)
	w.Work.mu.Lock()
	defer w.Work.mu.Unlock()
	for id, n := range w.Work.ran {
		if n > 1 {
			w.Rec.Broken("part %s of the once-only index build-claim ran %d times", id, n)
		}
	}
	w.Rec.Add("note      bad clients served with 200 in place of an error: %d", served)
}
